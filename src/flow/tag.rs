//! Names of backend servers as packets carry them.

use std::fmt;
use std::hash::Hasher;
use std::num::ParseIntError;
use std::str::FromStr;

use siphasher::sip::SipHasher13;

/// Identity of a backend server, as its datagrams name it.
///
/// A server ignores what names another one, so that a packet sent to an address
/// that changed hands harms nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Serial(pub u64);

impl fmt::Display for Serial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Serial {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// One life of a backend server: when it started, in Unix milliseconds.
///
/// A server that starts again under its serial knows nothing of before. Lives of
/// one server are only compared with each other, so that clocks that differ
/// between machines do no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Routing tag: 32 bits of a packet that both ends repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u32);

impl Tag {
    /// What a packet carries before any server has answered.
    pub const NONE: Self = Self(0);

    /// The tag of a server.
    ///
    /// It depends on the serial alone, so that all instances agree on it
    /// without a word; serials are longer than a tag, which is why they are
    /// hashed and why two may collide.
    pub fn of(serial: Serial) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(serial.0);
        let hash = hasher.finish();
        let folded = (hash ^ (hash >> 32)) as u32;
        Self(folded.max(1))
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
