//! Error budget burn: how fast each service uses up its error budget.
//!
//! A profile's objective allows a share of bad events. The burn rate is the
//! measured share of bad events divided by the allowed share: at 1 the budget is
//! used up exactly, at 14.4 a month's budget is used up in two days.
//!
//! Each instance counts in its own [`BurnCounter`], whose counts are lost when the
//! instance stops. A [`Report`] merges the [`Sample`]s of many instances. Each
//! incarnation of an instance counts once. An instance that gave no sample is reported
//! as a gap and never counted as healthy.
//!
//! A request is counted by the instance that settles it, which is the home of its
//! slice, and only when it is first settled: duplicates that get the same outcome
//! are not counted. An answer counts by its latency alone, since the load balancer
//! does not interpret its contents.

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

use crate::burn::window::BucketRing;
use crate::document::Objective;
use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::request::Outcome;

pub use crate::burn::merge::Gap;
pub use crate::burn::merge::Report;
pub use crate::burn::merge::SampleSource;
pub use crate::burn::merge::ServiceBurn;
pub use crate::burn::merge::Verdict;
pub use crate::burn::merge::WindowBurn;
pub use crate::burn::window::Count;
pub use crate::burn::window::Window;

/// Memory of the windows of one service, in bytes, without the service's name.
pub const STATE_BYTES: usize = total_buckets() * size_of::<Count>() + size_of::<Windows>();

/// An objective's allowed share is rounded to a multiple of `1 / SHARE_STEPS`.
const SHARE_STEPS: f64 = 1e8;

/// A burn rate is rounded to a multiple of `1 / RATE_STEPS`.
const RATE_STEPS: f64 = 1e9;

const fn total_buckets() -> usize {
    let [a, b, c, d] = Window::ALL;
    a.buckets() + b.buckets() + c.buckets() + d.buckets()
}

/// Whether an event met the objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventClass {
    /// The event met the objective.
    Good,
    /// The event did not meet the objective.
    Bad,
}

/// Whether a request met its service's objective.
///
/// Only an answer within the latency bound is good: a refusal or an unknown outcome
/// does not meet the objective, however quickly the caller receives it.
pub fn classify(outcome: &Outcome, elapsed: Duration, objective: &Objective) -> EventClass {
    let in_time = elapsed <= Duration::from_millis(objective.latency_ms);
    match outcome {
        Outcome::Answered(_) if in_time => EventClass::Good,
        Outcome::Answered(_) | Outcome::NotRun { .. } | Outcome::Unknown => EventClass::Bad,
    }
}

/// Burn rate: share of bad events divided by the allowed share.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(pub f64);

impl Rate {
    /// Burn rate above which, in 1 h and in 5 min, an operator must act at once.
    pub const PAGE: Self = Self(14.4);

    /// Burn rate above which, in 3 d and in 6 h, an operator must act, though not at once.
    pub const TICKET: Self = Self(1.0);

    /// The burn rate of these events, or `None` if there are no events.
    ///
    /// Shares such as 0.1 % have no exact binary form, so both the allowed share
    /// and the rate are rounded. Without rounding, a rate exactly at a threshold
    /// would sometimes count as above the threshold.
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
    /// The objective in force at that instance.
    pub objective: Objective,
    /// Event counts by window.
    pub windows: BTreeMap<Window, Count>,
}

/// The counts of one instance at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The instance and its incarnation.
    pub holder: id::Holder,
    /// Time since the instance began to count, in milliseconds.
    pub covered_ms: u64,
    /// Counts by service.
    pub services: BTreeMap<id::Service, Tally>,
}

type Windows = [BucketRing; Window::ALL.len()];

#[derive(Debug)]
struct ServiceCounts {
    objective: Objective,
    windows: Windows,
}

impl ServiceCounts {
    fn new(objective: Objective) -> Self {
        Self {
            objective,
            windows: Window::ALL.map(BucketRing::new),
        }
    }

    fn tally(&mut self, elapsed: Duration) -> Tally {
        let sums = self.windows.iter_mut().map(|ring| ring.sum(elapsed));
        Tally {
            objective: self.objective,
            windows: Window::ALL.into_iter().zip(sums).collect(),
        }
    }
}

/// Counts the good and bad events of one instance, by service.
///
/// All workers share one counter behind a lock. Two counters must not have the same
/// holder: a [`Report`] treats the samples of one holder as copies and uses only the
/// newest.
#[derive(Debug)]
pub struct BurnCounter {
    holder: id::Holder,
    started: Instant,
    services: BTreeMap<id::Service, ServiceCounts>,
}

impl BurnCounter {
    /// An empty counter, without services.
    pub fn new(holder: id::Holder, started: Instant) -> Self {
        Self {
            holder,
            started,
            services: BTreeMap::new(),
        }
    }

    /// Sets the services and objectives in force.
    ///
    /// Counts of services that stay are kept, also under a new objective. Counts of
    /// removed services are dropped, which bounds the memory.
    pub fn configure(&mut self, objectives: &BTreeMap<id::Service, Objective>) {
        self.services
            .retain(|service, _| objectives.contains_key(service));
        for (service, objective) in objectives {
            self.services
                .entry(service.clone())
                .or_insert_with(|| ServiceCounts::new(*objective))
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

    /// Counts an answered request as good or bad by its latency.
    pub fn answered(&mut self, now: Instant, service: &id::Service, elapsed: Duration) {
        let Some(counts) = self.services.get(service) else {
            return;
        };
        let late = elapsed > Duration::from_millis(counts.objective.latency_ms);
        let class = if late {
            EventClass::Bad
        } else {
            EventClass::Good
        };
        self.add(now, service, class);
    }

    /// Counts a settled request as good or bad by its outcome and latency.
    pub fn settle(
        &mut self,
        now: Instant,
        service: &id::Service,
        outcome: &Outcome,
        elapsed: Duration,
    ) {
        let Some(counts) = self.services.get(service) else {
            return;
        };
        let class = classify(outcome, elapsed, &counts.objective);
        self.add(now, service, class);
    }

    /// The counts in all windows at `now`.
    pub fn sample(&mut self, now: Instant) -> Sample {
        let elapsed = self.since_start(now);
        let services = self.services.iter_mut();
        Sample {
            holder: self.holder.clone(),
            covered_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            services: services
                .map(|(service, counts)| (service.clone(), counts.tally(elapsed)))
                .collect(),
        }
    }

    fn add(&mut self, now: Instant, service: &id::Service, class: EventClass) {
        let elapsed = self.since_start(now);
        let Some(counts) = self.services.get_mut(service) else {
            return;
        };
        let (good, bad) = match class {
            EventClass::Good => (1, 0),
            EventClass::Bad => (0, 1),
        };
        for ring in &mut counts.windows {
            ring.add(elapsed, Count { good, bad });
        }
    }

    fn since_start(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
