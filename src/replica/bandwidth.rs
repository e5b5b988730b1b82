//! Rate of a link.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Rate of a link, in Mbit/s.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bandwidth(pub f64);

impl Bandwidth {
    /// What is assumed of a link that nobody tells anything of.
    pub const DEFAULT: Self = Self(1_000.0);

    /// Bytes that it carries in a second.
    pub fn bytes_per_second(self) -> f64 {
        self.0 * 1e6 / 8.0
    }

    /// Links of one class differ by less than half; by class, instances are
    /// ranked.
    pub(crate) fn class(self) -> i32 {
        self.0.max(f64::MIN_POSITIVE).log2().floor() as i32
    }
}

impl Eq for Bandwidth {}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} Mbit/s", self.0)
    }
}

impl FromStr for Bandwidth {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        let number = text.strip_suffix("Mbit/s").unwrap_or(text);
        number.trim().parse().map(Self)
    }
}
