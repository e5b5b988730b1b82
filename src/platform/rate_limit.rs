//! Token buckets that keep this instance inside its share of what others serve.
//!
//! A call that finds its bucket empty is refused at once. Queueing it instead
//! would only hide the overload until its caller has given up.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Something counted per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(pub u32);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.strip_suffix("/s").unwrap_or(text).parse().map(Self)
    }
}

/// Share of a bucket, as a divisor, that only urgent calls may use.
const RESERVE: f64 = 10.0;

/// Longest time in which a debt is paid off, in seconds. A copy of everything
/// must not silence a peer for good.
const LONGEST_DEBT: f64 = 60.0;

/// A token bucket that holds at most one second's worth of calls.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: Rate,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            tokens: f64::from(rate.0),
            filled: now,
        }
    }

    /// Calls allowed per second.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Takes a token for an ordinary call, if one is left beside the reserve.
    pub fn take(&mut self, now: Instant) -> bool {
        self.take_above((f64::from(self.rate.0) / RESERVE).floor(), now)
    }

    /// Takes a token for a call that must not wait behind ordinary ones.
    ///
    /// Without the reserve a burst of ordinary calls would starve the keepalive
    /// of a lease, which shows as an instance dying in good health. Keepalives
    /// come less than once a second, so a tenth of the bucket is enough.
    pub fn take_urgent(&mut self, now: Instant) -> bool {
        self.take_above(0.0, now)
    }

    /// Takes this many tokens, if they are left.
    pub fn take_many(&mut self, count: usize, now: Instant) -> bool {
        self.fill(now);
        let enough = self.tokens >= count as f64;
        if enough {
            self.tokens -= count as f64;
        }
        enough
    }

    /// Takes what is left of this many tokens, for what goes out in any case.
    pub fn take_available(&mut self, count: usize, now: Instant) {
        self.fill(now);
        let left = self.tokens.max(0.0);
        self.tokens -= left.min(count as f64);
    }

    /// Takes this many tokens, on credit if need be, unless there is a debt.
    ///
    /// What is larger than the bucket can only go out on credit; the debt keeps
    /// the mean at the rate.
    pub fn take_on_credit(&mut self, count: usize, now: Instant) -> bool {
        self.fill(now);
        if self.tokens < 0.0 {
            return false;
        }
        let least = -LONGEST_DEBT * f64::from(self.rate.0);
        self.tokens = (self.tokens - count as f64).max(least);
        true
    }

    /// Whether it is as good as new.
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.fill(now);
        self.tokens >= f64::from(self.rate.0)
    }

    fn take_above(&mut self, floor: f64, now: Instant) -> bool {
        self.fill(now);
        if self.tokens < floor + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fill(&mut self, now: Instant) {
        let most = f64::from(self.rate.0);
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * most).min(most);
        self.filled = self.filled.max(now);
    }
}
