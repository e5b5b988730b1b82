//! Delays between tries: exponential backoff with full jitter, and tries that
//! overlap.
//!
//! Full jitter draws each delay anywhere between nothing and the current bound.
//! Many instances that lose the platform at the same moment thus come back
//! spread over time and not in waves.

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
    /// Bound of every later delay.
    pub max_delay: Duration,
}

/// State of one row of tries.
#[derive(Debug)]
pub struct Backoff {
    bounds: BackoffBounds,
    current: Duration,
    has_failed: bool,
    random: SmallRng,
}

impl Backoff {
    /// A fresh backoff whose delays depend on the seed only.
    pub fn new(bounds: BackoffBounds, seed: u64) -> Self {
        Self {
            bounds,
            current: bounds.first_delay,
            has_failed: false,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// The delay before the next try; its bound doubles each time.
    pub fn next_delay(&mut self) -> Duration {
        self.has_failed = true;
        let bound = self.current.min(self.bounds.max_delay);
        self.current = self.current.saturating_mul(2).min(self.bounds.max_delay);
        bound.mul_f64(self.random.random_range(0.0..=1.0))
    }

    /// Starts again from the first bound, after a success.
    pub fn reset(&mut self) {
        self.current = self.bounds.first_delay;
        self.has_failed = false;
    }

    /// Whether there was a delay since the last success.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }
}

/// Result of the first of several tries to end; each further one begins so long after
/// the one before, while all of these still wait.
pub async fn hedge<F: Future>(every: Duration, begin: impl Fn() -> F) -> F::Output {
    let mut tries = FuturesUnordered::new();
    loop {
        tries.push(begin());
        tokio::select! {
            Some(result) = tries.next() => return result,
            () = time::sleep(every) => {}
        }
    }
}
