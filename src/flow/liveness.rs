//! What callers' packets prove about servers: how fast they answer, and silence.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time that a handshake is given.
///
/// The two ways between caller and instance take 2 to 6 ms on the deployments
/// known; 25 ms leave room for a packet that waits for the processor.
const LEAST_WAIT: Duration = Duration::from_millis(25);

/// Longest time that a handshake is given.
///
/// Callers repeat the opening packet after 200 ms by themselves.
const MOST_WAIT: Duration = Duration::from_millis(180);

/// What a handshake is given before anything was measured.
const FIRST_WAIT: Duration = Duration::from_millis(60);

/// Multiple of the smoothed round trip that a handshake is given.
const PATIENCE: u32 = 4;

/// Part of a new sample in the smoothed round trip: an eighth, as in TCP.
const SMOOTHING: u32 = 8;

/// Smoothed time from an opening packet to the caller's next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundTrip {
    smoothed: Option<Duration>,
}

impl RoundTrip {
    /// Takes in a handshake that needed one opening packet.
    pub fn sample(&mut self, taken: Duration) {
        let smoothed = match self.smoothed {
            None => taken,
            Some(old) => (old * (SMOOTHING - 1) + taken) / SMOOTHING,
        };
        self.smoothed = Some(smoothed);
    }

    /// How long the caller's next packet takes when all is well.
    pub fn usual(&self) -> Duration {
        self.smoothed.unwrap_or(LEAST_WAIT)
    }

    /// How long a handshake is given before its server counts as silent.
    pub fn wait(&self) -> Duration {
        let wait = self.smoothed.map_or(FIRST_WAIT, |s| s * PATIENCE);
        wait.clamp(LEAST_WAIT, MOST_WAIT)
    }
}

/// How long a silent server gets no new flows.
///
/// A crashed server's entry lapses after about 3.6 s; until then one flow a
/// second tries it, at the cost of one [`RoundTrip::wait`]. A server that lives
/// is back after one second at most.
const REST: Duration = Duration::from_secs(1);

/// Doublings of [`REST`] at most.
const MOST_DOUBLINGS: u32 = 2;

/// Silences and answers of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    misses: u32,
    suspected_until: Option<Instant>,
    last_answer: Option<Instant>,
}

impl Liveness {
    /// Notes that the server answered something sent at or before `now`; says
    /// whether it was suspected.
    pub(crate) fn answered(&mut self, now: Instant) -> bool {
        self.last_answer = Some(now);
        self.misses = 0;
        self.suspected_until.take().is_some()
    }

    /// Notes that something sent at `since` got no answer; says whether this
    /// makes the server suspected.
    ///
    /// An answer to anything later shows that the server lives and a packet was
    /// lost, which happens on good links too.
    pub(crate) fn missed(&mut self, since: Instant, now: Instant) -> bool {
        if self.last_answer.is_some_and(|alive| alive >= since) {
            return false;
        }
        let was_suspected = self.is_suspected(now);
        let doublings = self.misses.min(MOST_DOUBLINGS);
        self.misses = self.misses.saturating_add(1);
        self.suspected_until = Some(now + REST * (1 << doublings));
        !was_suspected
    }

    /// Whether new flows should go elsewhere.
    pub(crate) fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Silences in a row.
    pub(crate) fn misses(&self) -> u32 {
        self.misses
    }

    /// When the server last answered.
    pub(crate) fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }
}
