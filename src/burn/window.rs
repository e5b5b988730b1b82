//! Sliding windows over counts of events.
//!
//! A window is a ring of equal buckets, coarser for a longer window, so that its
//! memory is the same whatever the traffic. The newest bucket is the one that is
//! being filled: a window thus reaches back between its length less one bucket
//! and its length, and never further.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;

/// Time over which events are counted.
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

    /// Its length.
    pub const fn length(self) -> Duration {
        let buckets = self.buckets() as u64;
        Duration::from_secs(buckets * self.bucket().as_secs())
    }

    /// Length of one of its buckets.
    pub const fn bucket(self) -> Duration {
        let seconds = match self {
            Self::FiveMinutes => 10,
            Self::Hour => 60,
            Self::SixHours => 5 * 60,
            Self::ThreeDays => 60 * 60,
        };
        Duration::from_secs(seconds)
    }

    /// Count of its buckets.
    pub const fn buckets(self) -> usize {
        match self {
            Self::FiveMinutes => 30,
            Self::Hour => 60,
            Self::SixHours | Self::ThreeDays => 72,
        }
    }

    /// Its short name, as in JSON.
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

/// Good and bad events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Events that met the objective.
    pub good: u64,
    /// Events that did not.
    pub bad: u64,
}

impl Count {
    /// All events.
    pub fn total(self) -> u64 {
        self.good.saturating_add(self.bad)
    }

    /// These and those.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            bad: self.bad.saturating_add(other.bad),
        }
    }
}

/// The counts of one window.
#[derive(Clone, Debug)]
pub(crate) struct Ring {
    bucket: Duration,
    buckets: Box<[Count]>,
    /// Number of the newest bucket since the start.
    newest: u64,
}

impl Ring {
    pub(crate) fn new(window: Window) -> Self {
        Self {
            bucket: window.bucket(),
            buckets: vec![Count::default(); window.buckets()].into(),
            newest: 0,
        }
    }

    /// Counts events at a time since the start.
    ///
    /// Workers take the time before they take the lock, so an event may come
    /// after a newer one. It goes into its own bucket, if that is still kept.
    pub(crate) fn add(&mut self, at: Duration, events: Count) {
        let number = self.number(at);
        self.advance(number);
        if self.newest - number < self.size() {
            let place = self.place(number);
            self.buckets[place] = self.buckets[place].plus(events);
        }
    }

    /// What the window holds at a time since the start.
    pub(crate) fn sum(&mut self, at: Duration) -> Count {
        self.advance(self.number(at));
        let counts = self.buckets.iter().copied();
        counts.fold(Count::default(), Count::plus)
    }

    /// Empties the buckets that the window has left behind.
    fn advance(&mut self, number: u64) {
        let steps = number.saturating_sub(self.newest).min(self.size());
        self.newest = self.newest.max(number);
        for back in 0..steps {
            let place = self.place(self.newest - back);
            self.buckets[place] = Count::default();
        }
    }

    fn number(&self, at: Duration) -> u64 {
        at.as_secs() / self.bucket.as_secs()
    }

    fn place(&self, number: u64) -> usize {
        // The remainder is less than the ring's length, which is a `usize`.
        (number % self.size()) as usize
    }

    fn size(&self) -> u64 {
        self.buckets.len() as u64
    }
}
