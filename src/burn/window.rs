//! Sliding windows over counts of events.
//!
//! A window is a ring of equal buckets, coarser for a longer window, so that its
//! memory does not depend on the traffic. The newest bucket is still being filled,
//! so a window covers between its length less one bucket and its length, and never
//! more.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;

/// Period over which events are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Window {
    /// Five minutes, in buckets of 10 s.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour, in buckets of 1 min.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours, in buckets of 5 min.
    #[serde(rename = "6h")]
    SixHours,
    /// Three days, in buckets of 1 h.
    #[serde(rename = "3d")]
    ThreeDays,
}

impl Window {
    /// Every window, the shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Length of the window.
    pub const fn length(self) -> Duration {
        let buckets = self.buckets() as u64;
        Duration::from_secs(buckets * self.bucket().as_secs())
    }

    /// Length of one bucket.
    pub const fn bucket(self) -> Duration {
        let seconds = match self {
            Self::FiveMinutes => 10,
            Self::Hour => 60,
            Self::SixHours => 5 * 60,
            Self::ThreeDays => 60 * 60,
        };
        Duration::from_secs(seconds)
    }

    /// Number of buckets.
    pub const fn buckets(self) -> usize {
        match self {
            Self::FiveMinutes => 30,
            Self::Hour => 60,
            Self::SixHours | Self::ThreeDays => 72,
        }
    }

    /// Short name, as in JSON.
    pub const fn label(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.label())
    }
}

impl FromStr for Window {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let found = Self::ALL.into_iter().find(|window| window.label() == text);
        found.ok_or_else(|| Error::Name {
            kind: "window",
            value: text.chars().take(crate::id::MAX_NAME).collect(),
        })
    }
}

/// Number of good and of bad events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Events that met the objective.
    pub good: u64,
    /// Events that did not meet the objective.
    pub bad: u64,
}

impl Count {
    /// Number of all events.
    pub fn total(self) -> u64 {
        self.good.saturating_add(self.bad)
    }

    /// Sum of both counts, saturating.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            bad: self.bad.saturating_add(other.bad),
        }
    }
}

/// The counts of one window, as a ring of buckets.
#[derive(Clone, Debug)]
pub(crate) struct BucketRing {
    bucket: Duration,
    buckets: Box<[Count]>,
    /// Number of the newest bucket, counted from the start.
    newest_number: u64,
}

impl BucketRing {
    pub(crate) fn new(window: Window) -> Self {
        Self {
            bucket: window.bucket(),
            buckets: vec![Count::default(); window.buckets()].into(),
            newest_number: 0,
        }
    }

    /// Counts events that occurred `elapsed` after the start.
    ///
    /// Workers read the clock before they take the lock, so an event may arrive
    /// after a newer one. It is added to its own bucket if the ring still holds it.
    pub(crate) fn add(&mut self, elapsed: Duration, events: Count) {
        let number = self.bucket_number(elapsed);
        self.advance(number);
        if self.newest_number - number < self.bucket_count() {
            let index = self.index(number);
            self.buckets[index] = self.buckets[index].saturating_add(events);
        }
    }

    /// Counts in the window at the time `elapsed` after the start.
    pub(crate) fn sum(&mut self, elapsed: Duration) -> Count {
        self.advance(self.bucket_number(elapsed));
        let counts = self.buckets.iter().copied();
        counts.fold(Count::default(), Count::saturating_add)
    }

    /// Clears the buckets that have left the window.
    fn advance(&mut self, number: u64) {
        let steps = number
            .saturating_sub(self.newest_number)
            .min(self.bucket_count());
        self.newest_number = self.newest_number.max(number);
        for back in 0..steps {
            let index = self.index(self.newest_number - back);
            self.buckets[index] = Count::default();
        }
    }

    fn bucket_number(&self, elapsed: Duration) -> u64 {
        elapsed.as_secs() / self.bucket.as_secs()
    }

    fn index(&self, number: u64) -> usize {
        // The remainder is less than the ring's length, which is a `usize`.
        (number % self.bucket_count()) as usize
    }

    fn bucket_count(&self) -> u64 {
        self.buckets.len() as u64
    }
}
