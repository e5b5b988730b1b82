//! Documents that operators write: profiles and services.
//!
//! A document is stored in the platform inside an [`Envelope`] with its revision.
//! An instance applies only a revision greater than the one in force, so that a
//! late or stale copy never reverts an accepted change.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// A stored document with its revision and author.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope<T> {
    /// Version; raised by one with each accepted change.
    pub revision: id::Revision,
    /// The operator who made the change.
    pub operator: id::Operator,
    /// Random identifier of this write. Reading it back shows whether an unanswered
    /// write took effect.
    pub write_id: String,
    /// The document itself.
    pub body: T,
}

/// How a backend server is chosen for new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Weighted rendezvous hashing by caller, regardless of load.
    Rendezvous,
    /// Rendezvous hashing that skips servers above the bounded load.
    BoundedLoad,
    /// The less loaded of two servers drawn at random.
    TwoChoices,
    /// The least loaded of all servers.
    #[default]
    LeastLoaded,
}

/// Service level objective of a service, used by the burn report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// Target share of good events, in percent: at least 50 and less than 100.
    pub good_percent: f64,
    /// A request answered later than this counts as bad, in milliseconds.
    pub latency_ms: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            good_percent: 99.9,
            latency_ms: 2_000,
        }
    }
}

/// Traffic policy of the services that use this profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// Longest time from the first copy of a request to its final answer, in
    /// milliseconds.
    pub deadline_ms: u64,
    /// Time limit of one attempt of an idempotent request at a backend server, in
    /// milliseconds.
    pub attempt_timeout_ms: u64,
    /// Maximum number of servers that an idempotent request is sent to, including the first.
    pub max_attempts: u32,
    /// Retry budget, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// How long after a request was first sent a duplicate may still arrive, in seconds.
    pub copy_lifetime_s: u64,
    /// Time without a notification after which a feed is checked, in seconds.
    pub feed_silence_s: u64,
    /// How servers are chosen for new work.
    pub policy: Policy,
    /// How much even load matters compared with keeping feeds at their server: 0 never
    /// moves a feed for balance, 100 moves feeds whenever load is uneven.
    pub balance_weight: u32,
    /// Requests per slot that may wait at a server before it counts as full.
    pub queue_per_slot: u32,
    /// Limit of requests in progress for the service at one entry instance.
    pub max_in_progress: u32,
    /// Limit of requests in progress for one caller.
    pub max_per_caller: u32,
    /// Limit of open feeds for the service at one entry instance.
    pub max_feeds: u32,
    /// Delay before a retry, as reported to a refused caller, in seconds.
    pub retry_after_s: u32,
    /// Time over which a new server's share of the load grows to its full share, in
    /// seconds.
    pub slow_start_s: u64,
    /// Consecutive failures after which a server is ejected.
    pub eject_after: u32,
    /// How long an ejected server gets no new work, in seconds.
    pub eject_rest_s: u64,
    /// Share of a service's servers that must stay in use despite failures, in percent.
    pub eject_floor_percent: u32,
    /// Utilization of the local zone's slots above which servers of other zones are used,
    /// in percent.
    pub spill_percent: u32,
    /// Service level objective.
    pub objective: Objective,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            deadline_ms: 8_000,
            attempt_timeout_ms: 1_000,
            max_attempts: 3,
            retry_budget_percent: 10,
            copy_lifetime_s: 60,
            feed_silence_s: 30,
            policy: Policy::default(),
            balance_weight: 50,
            queue_per_slot: 4,
            max_in_progress: 10_000,
            max_per_caller: 64,
            max_feeds: 500_000,
            retry_after_s: 2,
            slow_start_s: 10,
            eject_after: 3,
            eject_rest_s: 10,
            eject_floor_percent: 50,
            spill_percent: 80,
            objective: Objective::default(),
        }
    }
}

impl Profile {
    /// Longest time from the first copy of a request to its final answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Time limit of one attempt.
    pub fn attempt_timeout(&self) -> Duration {
        Duration::from_millis(self.attempt_timeout_ms)
    }

    /// How long duplicates of a request may arrive.
    pub fn copy_lifetime(&self) -> Duration {
        Duration::from_secs(self.copy_lifetime_s)
    }

    /// Time without a notification after which a feed is checked.
    pub fn feed_silence(&self) -> Duration {
        Duration::from_secs(self.feed_silence_s)
    }

    /// The first field whose value is out of range, if any.
    pub fn conflict(&self) -> Option<Conflict> {
        let checks = [
            check_range("deadline_ms", self.deadline_ms, 100, 120_000),
            check_range(
                "attempt_timeout_ms",
                self.attempt_timeout_ms,
                20,
                self.deadline_ms,
            ),
            check_range("max_attempts", self.max_attempts.into(), 1, 10),
            check_range(
                "retry_budget_percent",
                self.retry_budget_percent.into(),
                0,
                100,
            ),
            check_range("copy_lifetime_s", self.copy_lifetime_s, 1, 600),
            check_range("feed_silence_s", self.feed_silence_s, 1, 3_600),
            check_range("balance_weight", self.balance_weight.into(), 0, 100),
            check_range("queue_per_slot", self.queue_per_slot.into(), 0, 1_000),
            check_range("max_in_progress", self.max_in_progress.into(), 1, 1_000_000),
            check_range("max_per_caller", self.max_per_caller.into(), 1, 100_000),
            check_range("max_feeds", self.max_feeds.into(), 0, 1_000_000),
            check_range("retry_after_s", self.retry_after_s.into(), 1, 600),
            check_range("slow_start_s", self.slow_start_s, 0, 600),
            check_range("eject_after", self.eject_after.into(), 1, 1_000),
            check_range("eject_rest_s", self.eject_rest_s, 1, 600),
            check_range(
                "eject_floor_percent",
                self.eject_floor_percent.into(),
                0,
                100,
            ),
            check_range("spill_percent", self.spill_percent.into(), 1, 100),
            check_range(
                "objective.latency_ms",
                self.objective.latency_ms,
                1,
                120_000,
            ),
        ];
        let good = self.objective.good_percent;
        let objective = (!(50.0..100.0).contains(&good)).then(|| Conflict {
            field: "objective.good_percent",
            value: good.to_string(),
            allowed: "at least 50 and less than 100".to_owned(),
        });
        checks.into_iter().flatten().next().or(objective)
    }
}

/// A field whose value is out of range or conflicts with another field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Dotted path of the field.
    pub field: &'static str,
    /// The refused value.
    pub value: String,
    /// The allowed values.
    pub allowed: String,
}

fn check_range(field: &'static str, value: u64, min: u64, max: u64) -> Option<Conflict> {
    let is_allowed = (min..=max).contains(&value);
    (!is_allowed).then(|| Conflict {
        field,
        value: value.to_string(),
        allowed: format!("{min} to {max}"),
    })
}

/// A service: its address for callers and its profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's profile.
    pub profile: id::Profile,
    /// The address that callers use.
    pub address: id::Endpoint,
}

/// State of a backend server or entry instance in the platform's own list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Started, possibly not ready for requests yet.
    Starting,
    /// In service.
    #[default]
    Up,
    /// Leaving: takes no new work.
    Leaving,
}

/// A backend server as the platform lists it. The list may be outdated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The service that the server ran when it was listed.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Address for requests (CoAP over UDP).
    pub address: id::Endpoint,
    /// Address for health checks (HTTP).
    pub health: id::Endpoint,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// The server's state according to the platform.
    #[serde(default)]
    pub state: State,
}
