//! Identities of backend servers in packets.

use std::fmt;
use std::hash::Hasher;
use std::num::ParseIntError;
use std::str::FromStr;

use siphasher::sip::SipHasher13;

/// Identity of a backend server in the datagrams that it receives.
///
/// A server ignores datagrams for other identities, so that a packet to a reassigned
/// address has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Serial(pub u64);

impl Serial {
    /// Addresses whichever server is at the address. No server has this identity.
    pub const ANY: Self = Self(0);
}

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

/// One incarnation of a backend server: the time of its start in Unix milliseconds.
///
/// A server that restarts with the same serial has no state of the incarnation before.
/// Incarnations are compared only with others of the same server, so that clock
/// differences between machines have no effect.
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

/// Routing tag: 32 bits of a packet that both endpoints echo.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u32);

impl Tag {
    /// The tag of packets before any server has answered.
    pub const NONE: Self = Self(0);

    /// The tag of a server.
    ///
    /// It is a hash of the serial, so that all instances compute the same tag without
    /// communication. A serial is longer than a tag, so that the tags of two servers may
    /// collide.
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
