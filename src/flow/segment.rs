//! One packet of a flow, as far as the decisions look at it.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use crate::flow::Tag;

/// The two ends that name a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service's public address and port.
    pub service: SocketAddrV4,
}

/// Hashes two words. What the compiler derives hashes each address as a slice
/// with its length, which takes twice as long.
impl Hash for FlowKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let word = |end: &SocketAddrV4| u64::from(end.ip().to_bits()) << 16 | u64::from(end.port());
        state.write_u64(word(&self.caller));
        state.write_u64(word(&self.service));
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// Control flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// The acknowledgement number counts.
    pub ack: bool,
    /// The sender has sent everything.
    pub fin: bool,
    /// The flow is abandoned.
    pub rst: bool,
}

/// A packet from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow.
    pub flow_key: FlowKey,
    /// Control flags.
    pub flags: Flags,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Next byte that the caller expects; for an opening packet, which copy it is.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
    /// Routing tag that the caller saw last; [`Tag::NONE`] when it saw none.
    pub tag: Tag,
}

impl Segment {
    /// Whether it asks for a new flow.
    pub fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Sequence number after its last byte.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }
}

/// Whether a sequence number lies after another, across the wrap.
pub(crate) fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}
