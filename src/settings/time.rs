//! Times in settings, whole or with a fraction.
//!
//! Times are used in whole milliseconds. A time within which something must happen is
//! rounded down, and one for which something must last is rounded up.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Milliseconds(pub f64);

impl Milliseconds {
    /// The longest whole number of milliseconds that is not above this time.
    pub fn rounded_down(self) -> Duration {
        Duration::from_millis(self.0.floor() as u64)
    }

    /// The shortest whole number of milliseconds that is not below this time.
    pub fn rounded_up(self) -> Duration {
        Duration::from_millis(self.0.ceil() as u64)
    }
}

impl fmt::Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl FromStr for Milliseconds {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        let number = text.strip_suffix("ms").unwrap_or(text);
        number.trim().parse().map(Self)
    }
}

/// A time in seconds.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seconds(pub f64);

impl From<Seconds> for Milliseconds {
    fn from(seconds: Seconds) -> Self {
        Self(seconds.0 * 1e3)
    }
}

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} s", self.0)
    }
}

impl FromStr for Seconds {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        let number = text.strip_suffix('s').unwrap_or(text);
        number.trim().parse().map(Self)
    }
}
