//! The parts of a packet that the forwarding decisions use.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use crate::flow::Tag;

/// The two endpoints that identify a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service's public address and port.
    pub service: SocketAddrV4,
}

/// Hashes each endpoint as one 64-bit word. The derived implementation hashes each address
/// as a slice with its length, which takes twice as long.
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
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender has sent all of its data.
    pub fin: bool,
    /// The flow is aborted.
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
    /// Next sequence number that the caller expects; in a SYN, the number of the
    /// retransmission.
    pub ack: u32,
    /// Length of the data in bytes.
    pub len: u16,
    /// Routing tag that the caller received last; [`Tag::NONE`] before the first one.
    pub tag: Tag,
}

impl Segment {
    /// Whether the packet is a SYN that opens a flow.
    pub fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Sequence number after the last byte.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }
}

/// Whether sequence number `a` is after `b`, modulo 2^32.
pub(crate) fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}
