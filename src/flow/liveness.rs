//! Evidence from callers' packets about servers: response times and missing answers.

use std::time::Duration;

use tokio::time::Instant;

/// Lower bound of the handshake timeout.
///
/// The round trip between caller and instance takes 2 to 6 ms in known deployments; 25 ms
/// leave room for scheduling delays.
const MIN_TIMEOUT: Duration = Duration::from_millis(25);

/// Upper bound of the handshake timeout.
///
/// Callers retransmit the SYN after 200 ms themselves.
pub(crate) const MAX_TIMEOUT: Duration = Duration::from_millis(180);

/// Handshake timeout before the first sample.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(60);

/// Handshake timeout as a multiple of the smoothed round-trip time.
const TIMEOUT_FACTOR: u32 = 4;

/// Inverse weight of a new sample in the smoothed round-trip time: one eighth, as in TCP.
const SMOOTHING_DIVISOR: u32 = 8;

/// Smoothed time between a SYN and the caller's next packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundTrip {
    smoothed: Option<Duration>,
}

impl RoundTrip {
    /// Adds a sample from a handshake that needed one SYN.
    pub fn sample(&mut self, duration: Duration) {
        let smoothed = match self.smoothed {
            None => duration,
            Some(old) => (old * (SMOOTHING_DIVISOR - 1) + duration) / SMOOTHING_DIVISOR,
        };
        self.smoothed = Some(smoothed);
    }

    /// Expected time until the caller's next packet.
    pub fn expected(&self) -> Duration {
        self.smoothed.unwrap_or(MIN_TIMEOUT)
    }

    /// Time after which the caller's next packet has arrived if nothing was lost; zero before
    /// the first sample.
    pub(crate) fn measured(&self) -> Duration {
        self.smoothed.unwrap_or_default()
    }

    /// Handshake timeout, after which the server counts as unresponsive.
    pub fn timeout(&self) -> Duration {
        let timeout = self
            .smoothed
            .map_or(INITIAL_TIMEOUT, |s| s * TIMEOUT_FACTOR);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}

/// How long an unresponsive server gets no new flows.
///
/// The entry of a crashed server lapses after about 3.6 s. Until then one flow per second
/// probes the server at the cost of one [`RoundTrip::timeout`]. A live server gets new flows
/// again after one second at most.
const SUSPICION_TIME: Duration = Duration::from_secs(1);

/// Upper bound of the exponential backoff of [`SUSPICION_TIME`], in doublings.
const MAX_DOUBLINGS: u32 = 2;

/// Answers and missed answers of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    misses: u32,
    suspected_until: Option<Instant>,
    last_answer: Option<Instant>,
    /// Whether the server left its last opening unanswered while it answered other packets,
    /// as a server does that has no room for further flows.
    ignores_openings: bool,
}

impl Liveness {
    /// Records that the server answered a packet sent at or before `now`. Returns whether the
    /// server was suspected.
    pub(crate) fn answered(&mut self, now: Instant) -> bool {
        self.last_answer = Some(now);
        self.misses = 0;
        self.suspected_until.take().is_some()
    }

    /// Records that a packet sent at `since` got no answer. Returns whether this makes the
    /// server suspected.
    ///
    /// An answer to a later packet shows that the server is alive and that a packet was
    /// lost, which happens on good links too.
    pub(crate) fn missed(&mut self, since: Instant, now: Instant) -> bool {
        if self.has_answered_since(since) {
            return false;
        }
        let was_suspected = self.is_suspected(now);
        let doublings = self.misses.min(MAX_DOUBLINGS);
        self.misses = self.misses.saturating_add(1);
        self.suspected_until = Some(now + SUSPICION_TIME * (1 << doublings));
        !was_suspected
    }

    /// Records that a caller has accepted the server's answer to an opening.
    pub(crate) fn accepted_opening(&mut self) {
        self.ignores_openings = false;
    }

    /// Records that a caller got no answer to an opening that the server got at `since`.
    pub(crate) fn ignored_opening(&mut self, since: Instant) {
        self.ignores_openings = self.has_answered_since(since);
    }

    /// Whether an opening that the server got at `since` was most likely answered: the server has
    /// answered other packets since, and is not known to ignore openings.
    pub(crate) fn has_likely_answered(&self, since: Instant) -> bool {
        self.has_answered_since(since) && !self.ignores_openings
    }

    fn has_answered_since(&self, since: Instant) -> bool {
        self.last_answer.is_some_and(|alive| alive >= since)
    }

    /// Whether new flows should avoid the server.
    pub(crate) fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Consecutive missed answers.
    pub(crate) fn misses(&self) -> u32 {
        self.misses
    }

    /// When the server last answered.
    pub(crate) fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }
}
