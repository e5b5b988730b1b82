//! What callers went through at a server, as counts that fade.
//!
//! A server that hangs takes a request and never answers it; one that fails
//! answers at once, with little, and so looks like the least loaded of all. Health
//! and handshakes show neither. What shows is that requests stay open for much
//! longer than others do at the same service, or end much sooner with much less.
//! The counts give a share of bad ends with its uncertainty, and the share makes a
//! server look busier, so that there is no threshold at which a crowd of servers
//! is left all at once, and a good end brings work back.

use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Incarnation;
use crate::flow::Serial;

/// Time in which counts of answers fade to half: a server that hangs is known by
/// what it does now, not by the forty answers that the zone got from it before.
const ANSWER_HALF_LIFE: Duration = Duration::from_secs(1);

/// The same for requests that are not answered, which take long to be seen and cost
/// their callers most; a server that is well again has its work back after about
/// three times this.
const STALL_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of a request that is never answered against one that ends badly: its
/// caller waits until its deadline and cannot try again.
const STALL_WEIGHT: f64 = 4.0;

/// Ends that are taken for good before anything was seen, so that a single bad
/// one is no verdict.
const PRIOR: f64 = 2.0;

/// Counts below this are nothing.
const LEAST: f64 = 0.05;

/// Ends of requests at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that were answered.
    pub answers: f64,
    /// Those of them whose answers came much sooner and were much smaller than
    /// usual.
    pub premature: f64,
    /// Requests that were open for much longer than usual.
    pub stalls: f64,
}

impl OutcomeCounts {
    /// Share of requests that end badly, from 0 to 1.
    pub fn bad_share(&self) -> f64 {
        let stalls = self.stalls * STALL_WEIGHT;
        (self.premature + stalls) / (self.answers + stalls + PRIOR)
    }

    /// Requests that ended well.
    fn good(&self) -> f64 {
        (self.answers - self.premature).max(0.0)
    }

    /// What is left of the counts after a while.
    fn faded(&self, age: Duration) -> Self {
        let left = |half_life| (-age.div_duration_f64(half_life)).exp2();
        let answers = left(ANSWER_HALF_LIFE);
        Self {
            answers: self.answers * answers,
            premature: self.premature * answers,
            stalls: self.stalls * left(STALL_HALF_LIFE),
        }
    }

    /// Whether nothing speaks against the server.
    fn is_clean(&self) -> bool {
        self.premature < LEAST && self.stalls < LEAST
    }
}

/// What an instance, or several, counted at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerOutcomes {
    /// The server.
    pub serial: Serial,
    /// The life of it that is meant.
    pub incarnation: Option<Incarnation>,
    /// The counts.
    pub counts: OutcomeCounts,
}

/// Counts at one moment.
#[derive(Clone, Copy, Debug)]
struct Faded {
    counts: OutcomeCounts,
    at: Instant,
}

impl Faded {
    fn at(&self, now: Instant) -> OutcomeCounts {
        self.counts.faded(now.saturating_duration_since(self.at))
    }
}

/// What is known of the ends of requests at one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestOutcomes {
    own: Option<Faded>,
    /// What all instances of the zone counted together.
    zone: Option<Faded>,
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
        let faded = self.own.insert(Faded { counts, at: now });
        &mut faded.counts
    }

    /// This instance's own counts.
    pub(crate) fn own(&self, now: Instant) -> OutcomeCounts {
        self.own
            .map_or(OutcomeCounts::default(), |faded| faded.at(now))
    }

    /// Takes over what the zone counted.
    pub(crate) fn hear(&mut self, now: Instant, counts: OutcomeCounts) {
        self.zone = Some(Faded { counts, at: now });
    }

    /// Share of requests that end badly there, from 0 to 1.
    ///
    /// What others say counts less the more requests of this instance's own ended
    /// well: another one may be cut off from a server that works for all others.
    pub(crate) fn bad_share(&self, now: Instant) -> f64 {
        // Most servers give no cause for any arithmetic.
        let is_clean = |faded: Faded| faded.counts.is_clean();
        if self.own.is_none_or(is_clean) && self.zone.is_none_or(is_clean) {
            return 0.0;
        }
        let own = self.own(now);
        let zone = self.zone.map_or(0.0, |faded| faded.at(now).bad_share());
        let trust = PRIOR / (PRIOR + own.good());
        own.bad_share().max(zone * trust)
    }

    /// What to tell the others; `None` when nobody has anything against the server.
    ///
    /// Where others have, this instance's good ends count too: one stall seen by one
    /// instance is little beside forty answers that the others got.
    pub(crate) fn reported_counts(&self, now: Instant) -> Option<OutcomeCounts> {
        let own = self.own(now);
        let is_suspect = |faded: Faded| !faded.at(now).is_clean();
        let is_told = !own.is_clean() || self.zone.is_some_and(is_suspect);
        is_told.then_some(own)
    }
}
