//! Outcomes of requests at each server, as decaying counts.
//!
//! A server that hangs accepts requests and never answers them. One that fails answers at
//! once with a small response and therefore looks like the least loaded server. Neither
//! shows in health checks or handshakes. Both show in the requests: these stay open for
//! much longer than others of the same service, or end much sooner with a much smaller
//! answer. The counts yield a share of failures that allows for the small number of
//! samples, and that share adds to the server's load. There is thus no threshold at which
//! all instances abandon a group of servers at once, and successful requests bring load
//! back.

use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Incarnation;
use crate::flow::Serial;

/// Half-life of the counts of answers. A server that hangs is recognized by its current
/// behavior and not by the forty answers that the zone got from it before.
const ANSWER_HALF_LIFE: Duration = Duration::from_secs(1);

/// Half-life of the count of unanswered requests, which take long to detect and cost their
/// callers most. A server that has recovered gets its full load back after about three
/// times this.
const STALL_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of an unanswered request relative to one that fails at once: its caller waits
/// until the deadline and cannot retry.
const STALL_WEIGHT: f64 = 4.0;

/// Successful requests that are assumed before the first sample, so that a single failure
/// is not conclusive.
const PRIOR_SUCCESSES: f64 = 2.0;

/// Counts below this are treated as zero.
const NEGLIGIBLE: f64 = 0.05;

/// Outcomes of requests at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that were answered.
    pub answers: f64,
    /// Answered requests whose answers came much sooner and were much smaller than
    /// usual.
    pub premature: f64,
    /// Requests that were open for much longer than usual.
    pub stalls: f64,
}

impl OutcomeCounts {
    /// Share of requests that fail, from 0 to 1.
    pub fn bad_share(&self) -> f64 {
        let stalls = self.stalls * STALL_WEIGHT;
        (self.premature + stalls) / (self.answers + stalls + PRIOR_SUCCESSES)
    }

    /// Requests that succeeded.
    fn successes(&self) -> f64 {
        (self.answers - self.premature).max(0.0)
    }

    /// The counts after a decay of `age`.
    fn decayed(&self, age: Duration) -> Self {
        let decay = |half_life| (-age.div_duration_f64(half_life)).exp2();
        let answer_decay = decay(ANSWER_HALF_LIFE);
        Self {
            answers: self.answers * answer_decay,
            premature: self.premature * answer_decay,
            stalls: self.stalls * decay(STALL_HALF_LIFE),
        }
    }

    /// Whether no failures are counted.
    fn is_clean(&self) -> bool {
        self.premature < NEGLIGIBLE && self.stalls < NEGLIGIBLE
    }
}

/// Outcomes at one server as counted by one or several instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerOutcomes {
    /// Identity of the server.
    pub serial: Serial,
    /// Incarnation of the server that the counts refer to.
    pub incarnation: Option<Incarnation>,
    /// The counts.
    pub counts: OutcomeCounts,
}

/// Counts as of a point in time.
#[derive(Clone, Copy, Debug)]
struct DecayingCounts {
    counts: OutcomeCounts,
    at: Instant,
}

impl DecayingCounts {
    fn at(&self, now: Instant) -> OutcomeCounts {
        self.counts.decayed(now.saturating_duration_since(self.at))
    }
}

/// Outcomes of requests at one server, by source.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestOutcomes {
    own: Option<DecayingCounts>,
    /// Counts of all instances of the zone together.
    zone: Option<DecayingCounts>,
}

impl RequestOutcomes {
    pub(crate) fn answered(&mut self, now: Instant, is_premature: bool) {
        let counts = self.count(now);
        counts.answers += 1.0;
        counts.premature += f64::from(u8::from(is_premature));
    }

    pub(crate) fn stalled(&mut self, now: Instant) {
        self.count(now).stalls += 1.0;
    }

    fn count(&mut self, now: Instant) -> &mut OutcomeCounts {
        let counts = self.own(now);
        let own = self.own.insert(DecayingCounts { counts, at: now });
        &mut own.counts
    }

    /// This instance's own counts.
    pub(crate) fn own(&self, now: Instant) -> OutcomeCounts {
        self.own
            .map_or(OutcomeCounts::default(), |decaying| decaying.at(now))
    }

    /// Replaces the zone's counts.
    pub(crate) fn set_zone_counts(&mut self, now: Instant, counts: OutcomeCounts) {
        self.zone = Some(DecayingCounts { counts, at: now });
    }

    /// Share of requests that fail at the server, from 0 to 1.
    ///
    /// The zone's counts weigh less the more of this instance's own requests succeeded:
    /// another instance may be unable to reach a server that works for all others.
    pub(crate) fn bad_share(&self, now: Instant) -> f64 {
        // Most servers have no failures, which skips the computation.
        let is_clean = |decaying: DecayingCounts| decaying.counts.is_clean();
        if self.own.is_none_or(is_clean) && self.zone.is_none_or(is_clean) {
            return 0.0;
        }
        let own = self.own(now);
        let zone = self
            .zone
            .map_or(0.0, |decaying| decaying.at(now).bad_share());
        let zone_weight = PRIOR_SUCCESSES / (PRIOR_SUCCESSES + own.successes());
        own.bad_share().max(zone * zone_weight)
    }

    /// Counts to report to the other instances; `None` if no instance counted a failure.
    ///
    /// If another instance counted failures, this instance's successful requests are
    /// reported too: one stall seen by one instance weighs little beside forty answers that
    /// the others got.
    pub(crate) fn reported_counts(&self, now: Instant) -> Option<OutcomeCounts> {
        self.has_failures(now).then(|| self.own(now))
    }

    /// Whether this instance or another one counted failures that have not decayed.
    pub(crate) fn has_failures(&self, now: Instant) -> bool {
        let has_failures = |decaying: DecayingCounts| !decaying.at(now).is_clean();
        self.own.is_some_and(has_failures) || self.zone.is_some_and(has_failures)
    }
}
