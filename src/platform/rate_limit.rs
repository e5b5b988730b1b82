//! Token buckets that limit how much this instance sends to a shared service.
//!
//! A call is rejected at once if its bucket is empty. Queueing it instead would
//! only hide the overload until its caller has given up.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// A number of calls or bytes per second.
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

/// Divisor of the capacity that gives the share reserved for urgent calls.
const RESERVE_DIVISOR: f64 = 10.0;

/// Longest time in which a debt is paid off, in seconds. Without the bound, a
/// full copy of the store would block a peer for too long.
const MAX_DEBT_SECONDS: f64 = 60.0;

/// A token bucket whose capacity is the tokens of one second.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: Rate,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            tokens: f64::from(rate.0),
            refilled_at: now,
        }
    }

    /// Tokens added per second.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Takes a token for an ordinary call, unless only the reserve is left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.take_above((f64::from(self.rate.0) / RESERVE_DIVISOR).floor(), now)
    }

    /// Takes a token for an urgent call, from the reserve if need be.
    ///
    /// Without the reserve, a burst of ordinary calls would starve the lease
    /// keepalives, and a healthy instance would appear to have failed. Keepalives
    /// are sent less than once a second, so a tenth of the bucket is enough.
    pub fn take_urgent(&mut self, now: Instant) -> bool {
        self.take_above(0.0, now)
    }

    /// Takes `count` tokens if the bucket holds that many.
    pub fn take_many(&mut self, count: usize, now: Instant) -> bool {
        self.refill(now);
        let has_enough = self.tokens >= count as f64;
        if has_enough {
            self.tokens -= count as f64;
        }
        has_enough
    }

    /// Takes up to `count` tokens, as many as are left, for data that is sent in
    /// any case.
    pub fn take_available(&mut self, count: usize, now: Instant) {
        self.refill(now);
        let available = self.tokens.max(0.0);
        self.tokens -= available.min(count as f64);
    }

    /// Takes `count` tokens, on credit if need be, unless there is a debt.
    ///
    /// Data larger than the capacity can only be sent on credit; the debt keeps
    /// the mean at the rate.
    pub fn take_on_credit(&mut self, count: usize, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 0.0 {
            return false;
        }
        let min_tokens = -MAX_DEBT_SECONDS * f64::from(self.rate.0);
        self.tokens = (self.tokens - count as f64).max(min_tokens);
        true
    }

    /// Whether the bucket is filled to its capacity.
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= f64::from(self.rate.0)
    }

    fn take_above(&mut self, floor: f64, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < floor + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let capacity = f64::from(self.rate.0);
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * capacity).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
