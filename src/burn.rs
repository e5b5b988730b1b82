//! Service-level burn: how fast each service uses up the bad events it may have.
//!
//! A profile's objective allows a share of bad events. The burn rate is the bad
//! share that was measured over the share that is allowed: at 1 the allowance is
//! used up exactly, at 14.4 a month's allowance is gone in two days.
//!
//! Each instance counts in its own [`BurnCounter`], which it loses when it stops. A
//! [`Report`] merges the [`Sample`]s of many instances: each life of each
//! instance counts once, and an instance that was not heard from is a gap, which
//! is never read as health.
//!
//! A request is an event of the instance that settles it, which is the home of
//! its slice, and only when it is first settled: copies that get the same outcome
//! again are not counted. An answer counts by its latency alone, since its
//! contents are opaque here.

mod chart;
mod merge;
pub mod report;
mod window;

use std::collections::BTreeMap;
use std::fmt;
use std::mem::size_of;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::burn::window::Ring;
use crate::document::Objective;
use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::request::Outcome;

pub use crate::burn::merge::Figure;
pub use crate::burn::merge::Gap;
pub use crate::burn::merge::Heard;
pub use crate::burn::merge::Line;
pub use crate::burn::merge::Report;
pub use crate::burn::merge::Verdict;
pub use crate::burn::window::Count;
pub use crate::burn::window::Window;

/// Memory of the windows of one service, in bytes; its name comes on top.
pub const STATE_BYTES: usize = buckets() * size_of::<Count>() + size_of::<Windows>();

/// Finest step of an objective's allowed share, in parts of one.
const SHARE_STEPS: f64 = 1e8;

/// Finest step of a burn rate, in parts of one.
const RATE_STEPS: f64 = 1e9;

const fn buckets() -> usize {
    let [a, b, c, d] = Window::ALL;
    a.buckets() + b.buckets() + c.buckets() + d.buckets()
}

/// What an event means for the objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventClass {
    /// It met the objective.
    Good,
    /// It did not.
    Bad,
}

/// Whether a request met its service's objective.
///
/// Only an answer within the latency is good: a caller that was refused or told
/// "unknown" did not get what was promised, however quickly it was told.
pub fn classify(outcome: &Outcome, elapsed: Duration, objective: &Objective) -> EventClass {
    let in_time = elapsed <= Duration::from_millis(objective.latency_ms);
    match outcome {
        Outcome::Answered(_) if in_time => EventClass::Good,
        Outcome::Answered(_) | Outcome::NotRun { .. } | Outcome::Unknown => EventClass::Bad,
    }
}

/// Share of bad events over the allowed share.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(pub f64);

impl Rate {
    /// Burn rate above which, in 1 h and in 5 min, somebody must act now.
    pub const PAGE: Self = Self(14.4);

    /// Burn rate above which, in 3 d and in 6 h, somebody must act in time.
    pub const TICKET: Self = Self(1.0);

    /// The burn rate of these events; none without events.
    ///
    /// Shares such as 0.1 % have no exact binary form, so both the allowed share
    /// and the rate are rounded. A rate that is exactly at a threshold would
    /// otherwise sometimes count as above it.
    pub fn of(count: Count, objective: &Objective) -> Option<Self> {
        if count.total() == 0 {
            return None;
        }
        let allowed = (1.0 - objective.good_percent / 100.0) * SHARE_STEPS;
        let allowed = allowed.round().max(1.0) / SHARE_STEPS;
        let share = count.bad as f64 / count.total() as f64;
        Some(Self((share / allowed * RATE_STEPS).round() / RATE_STEPS))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| Error::Number {
            kind: "burn rate",
            value: text.to_owned(),
        })
    }
}

/// One service's counts at one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// The objective in force there.
    pub objective: Objective,
    /// Events by window.
    pub windows: BTreeMap<Window, Count>,
}

/// What one instance has counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Which instance, in which of its lives.
    pub holder: id::Holder,
    /// Time since it began to count, in milliseconds.
    pub covered_ms: u64,
    /// Counts by service.
    pub services: BTreeMap<id::Service, Tally>,
}

type Windows = [Ring; Window::ALL.len()];

#[derive(Debug)]
struct Account {
    objective: Objective,
    windows: Windows,
}

impl Account {
    fn new(objective: Objective) -> Self {
        Self {
            objective,
            windows: Window::ALL.map(Ring::new),
        }
    }

    fn tally(&mut self, at: Duration) -> Tally {
        let sums = self.windows.iter_mut().map(|ring| ring.sum(at));
        Tally {
            objective: self.objective,
            windows: Window::ALL.into_iter().zip(sums).collect(),
        }
    }
}

/// The events of one instance.
///
/// One ledger serves all workers, behind a lock of the daemon's: several under
/// one holder would look like copies of each other to a [`Report`].
#[derive(Debug)]
pub struct BurnCounter {
    holder: id::Holder,
    started: Instant,
    accounts: BTreeMap<id::Service, Account>,
}

impl BurnCounter {
    /// An empty ledger, which knows no service yet.
    pub fn new(holder: id::Holder, started: Instant) -> Self {
        Self {
            holder,
            started,
            accounts: BTreeMap::new(),
        }
    }

    /// Takes the services and objectives in force.
    ///
    /// Counts of services that stay are kept, also under a new objective. Those of
    /// services that are gone are dropped, so that memory stays bounded.
    pub fn configure(&mut self, objectives: &BTreeMap<id::Service, Objective>) {
        self.accounts
            .retain(|service, _| objectives.contains_key(service));
        for (service, objective) in objectives {
            self.accounts
                .entry(service.clone())
                .or_insert_with(|| Account::new(*objective))
                .objective = *objective;
        }
    }

    /// Counts a good event, if the service is known.
    pub fn good(&mut self, now: Instant, service: &id::Service) {
        self.add(now, service, EventClass::Good);
    }

    /// Counts a bad event, if the service is known.
    pub fn bad(&mut self, now: Instant, service: &id::Service) {
        self.add(now, service, EventClass::Bad);
    }

    /// Counts an answered request by the time that it took.
    pub fn answered(&mut self, now: Instant, service: &id::Service, elapsed: Duration) {
        let Some(account) = self.accounts.get(service) else {
            return;
        };
        let late = elapsed > Duration::from_millis(account.objective.latency_ms);
        let mark = if late {
            EventClass::Bad
        } else {
            EventClass::Good
        };
        self.add(now, service, mark);
    }

    /// Counts a settled request by its outcome and the time that it took.
    pub fn settle(
        &mut self,
        now: Instant,
        service: &id::Service,
        outcome: &Outcome,
        elapsed: Duration,
    ) {
        let Some(account) = self.accounts.get(service) else {
            return;
        };
        let mark = classify(outcome, elapsed, &account.objective);
        self.add(now, service, mark);
    }

    /// What the windows hold now.
    pub fn sample(&mut self, now: Instant) -> Sample {
        let at = self.since_start(now);
        let accounts = self.accounts.iter_mut();
        Sample {
            holder: self.holder.clone(),
            covered_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            services: accounts
                .map(|(service, account)| (service.clone(), account.tally(at)))
                .collect(),
        }
    }

    fn add(&mut self, now: Instant, service: &id::Service, mark: EventClass) {
        let at = self.since_start(now);
        let Some(account) = self.accounts.get_mut(service) else {
            return;
        };
        let (good, bad) = match mark {
            EventClass::Good => (1, 0),
            EventClass::Bad => (0, 1),
        };
        for ring in &mut account.windows {
            ring.add(at, Count { good, bad });
        }
    }

    fn since_start(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
