//! Operators' documents: profiles and services.
//!
//! A document is stored in the platform inside an [`Envelope`] that carries its
//! revision. An instance applies only a greater revision than the one it has, so
//! that a late or stale copy never reverts an accepted change.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// One stored document with its history marks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope<T> {
    /// Version; each accepted change raises it by one.
    pub revision: id::Revision,
    /// Who made the change.
    pub operator: id::Operator,
    /// Random mark of this write, to find out by reading back whether it took effect.
    pub write_id: String,
    /// The document itself.
    pub body: T,
}

/// How a backend server is chosen for new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Weighted rendezvous hashing by caller, whatever the load.
    Rendezvous,
    /// Rendezvous hashing that skips servers above the bounded load.
    BoundedLoad,
    /// The less loaded of two servers drawn at random.
    TwoChoices,
    /// The least loaded of all servers.
    #[default]
    LeastLoaded,
}

/// What is promised to the callers of a service, for the burn report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// Share of good events, in percent, over 50 and under 100.
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

/// How traffic of the services that choose this profile is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// Time from the first copy of a request to its final answer, in milliseconds.
    pub deadline_ms: u64,
    /// Time one backend server gets for an idempotent request, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// Servers that an idempotent request may be sent to, the first included.
    pub max_attempts: u32,
    /// Retries allowed, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// How long after its first sending a copy of a request may still arrive, in seconds.
    pub copy_lifetime_s: u64,
    /// A feed with no notification for this long is checked, in seconds.
    pub feed_silence_s: u64,
    /// How servers are chosen for new work.
    pub policy: Policy,
    /// Weight of even load against keeping flows where they are: 0 keeps every
    /// feed in place, 100 moves feeds whenever load is uneven.
    pub balance_weight: u32,
    /// Requests waiting at one server before it counts as full, per slot.
    pub queue_per_slot: u32,
    /// Requests in progress for the service at one entry instance.
    pub max_in_progress: u32,
    /// Requests in progress for one caller.
    pub max_per_caller: u32,
    /// Feeds held open for the service at one entry instance.
    pub max_feeds: u32,
    /// What a refused caller is told to wait, in seconds.
    pub retry_after_s: u32,
    /// Time over which a new server is given its full share, in seconds.
    pub slow_start_s: u64,
    /// Failures in a row after which a server is ejected.
    pub eject_after: u32,
    /// How long an ejected server rests, in seconds.
    pub eject_rest_s: u64,
    /// Share of servers that are never ejected, in percent.
    pub eject_floor_percent: u32,
    /// Share of local slots in use above which other zones' servers are used, in percent.
    pub spill_percent: u32,
    /// What is promised.
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
    /// Time from the first copy to the final answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Time for one attempt.
    pub fn attempt_timeout(&self) -> Duration {
        Duration::from_millis(self.attempt_timeout_ms)
    }

    /// How long a copy may still arrive.
    pub fn copy_lifetime(&self) -> Duration {
        Duration::from_secs(self.copy_lifetime_s)
    }

    /// How long a feed may be silent.
    pub fn feed_silence(&self) -> Duration {
        Duration::from_secs(self.feed_silence_s)
    }

    /// The first field out of range: its name, its value and what is allowed.
    pub fn conflict(&self) -> Option<Conflict> {
        let checks = [
            range("deadline_ms", self.deadline_ms, 100, 120_000),
            range(
                "attempt_timeout_ms",
                self.attempt_timeout_ms,
                20,
                self.deadline_ms,
            ),
            range("max_attempts", self.max_attempts.into(), 1, 10),
            range(
                "retry_budget_percent",
                self.retry_budget_percent.into(),
                0,
                100,
            ),
            range("copy_lifetime_s", self.copy_lifetime_s, 1, 600),
            range("feed_silence_s", self.feed_silence_s, 1, 3_600),
            range("balance_weight", self.balance_weight.into(), 0, 100),
            range("queue_per_slot", self.queue_per_slot.into(), 0, 1_000),
            range("max_in_progress", self.max_in_progress.into(), 1, 1_000_000),
            range("max_per_caller", self.max_per_caller.into(), 1, 100_000),
            range("max_feeds", self.max_feeds.into(), 0, 1_000_000),
            range("retry_after_s", self.retry_after_s.into(), 1, 600),
            range("slow_start_s", self.slow_start_s, 0, 600),
            range("eject_after", self.eject_after.into(), 1, 1_000),
            range("eject_rest_s", self.eject_rest_s, 1, 600),
            range(
                "eject_floor_percent",
                self.eject_floor_percent.into(),
                0,
                100,
            ),
            range("spill_percent", self.spill_percent.into(), 1, 100),
            range(
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
            allowed: "50 or more and under 100".to_owned(),
        });
        checks.into_iter().flatten().next().or(objective)
    }
}

/// A field whose value is out of range or at odds with another field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Name of the field, dotted.
    pub field: &'static str,
    /// Its value.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

fn range(field: &'static str, value: u64, least: u64, most: u64) -> Option<Conflict> {
    let inside = (least..=most).contains(&value);
    (!inside).then(|| Conflict {
        field,
        value: value.to_string(),
        allowed: format!("{least} to {most}"),
    })
}

/// One service: where callers reach it and which profile it has chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The chosen profile.
    pub profile: id::Profile,
    /// The address that callers use.
    pub address: id::Endpoint,
}

/// State of a backend server or entry instance in the platform's own list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Started, perhaps not warm yet.
    Starting,
    /// In service.
    #[default]
    Up,
    /// Leaving: it takes no new work.
    Leaving,
}

/// A backend server as the platform lists it; the list lags behind reality.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The service that it ran when it was listed.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes requests (CoAP over UDP).
    pub address: id::Endpoint,
    /// Where it answers health checks (HTTP).
    pub health: id::Endpoint,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What the platform believes.
    #[serde(default)]
    pub state: State,
}
