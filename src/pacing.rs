//! Delays between attempts: exponential backoff with full jitter, and hedged
//! attempts that overlap.
//!
//! Full jitter draws each delay uniformly between zero and the current bound.
//! Instances that lose the platform at the same moment thus reconnect spread over
//! time instead of all at once.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time;

/// Bounds of a backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffBounds {
    /// Bound of the first delay.
    pub first_delay: Duration,
    /// Bound of all delays.
    pub max_delay: Duration,
}

/// State of a series of attempts.
#[derive(Debug)]
pub struct Backoff {
    bounds: BackoffBounds,
    current: Duration,
    has_failed: bool,
    random: SmallRng,
}

impl Backoff {
    /// Creates a backoff whose delays are determined by the seed.
    pub fn new(bounds: BackoffBounds, seed: u64) -> Self {
        Self {
            bounds,
            current: bounds.first_delay,
            has_failed: false,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next attempt and doubles the bound.
    pub fn next_delay(&mut self) -> Duration {
        self.has_failed = true;
        let bound = self.current.min(self.bounds.max_delay);
        self.current = self.current.saturating_mul(2).min(self.bounds.max_delay);
        bound.mul_f64(self.random.random_range(0.0..=1.0))
    }

    /// Returns to the first bound, after a success.
    pub fn reset(&mut self) {
        self.current = self.bounds.first_delay;
        self.has_failed = false;
    }

    /// Whether an attempt has failed since the last success.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }
}

/// Result of the first of several overlapping attempts to end. Another attempt begins
/// each `interval`, as long as none has ended.
pub async fn hedge<F: Future>(interval: Duration, start_attempt: impl Fn() -> F) -> F::Output {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(start_attempt());
        tokio::select! {
            Some(result) = attempts.next() => return result,
            () = time::sleep(interval) => {}
        }
    }
}
