//! What an adapter has to supply.

use crate::flow::Routes;
use crate::flow::Segment;
use crate::flow::Serial;
use crate::flow::Server;
use crate::flow::Tag;
use crate::id;
use crate::platform;
use crate::platform::gateway::DecodeResult;
use crate::platform::poll::Dialect;

/// Bytes in front of a packet that name the server it is meant for.
pub const SERVER_HEADER_LEN: usize = 8;

/// How packets look.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Largest packet, in bytes.
    pub max_packet_len: usize,
    /// Reads a packet; the error is a short code for logs and metrics.
    pub decode: fn(&[u8]) -> Result<Segment, &'static str>,
    /// Writes the routing tag into a packet that was decoded.
    pub set_tag: fn(&mut [u8], Tag),
    /// The packet that resets the flow of a caller's packet.
    pub reset_packet: fn(&Segment) -> Vec<u8>,
    /// What names the server in front of a packet.
    pub server_header: fn(Serial) -> [u8; SERVER_HEADER_LEN],
}

/// What an entry of the store means.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedEntry {
    /// A backend server.
    Server(Server),
    /// The configuration.
    Routes(Routes),
    /// An order that a zone's servers are to get no new flows.
    Evacuation(id::Zone),
    /// Nothing that concerns an entry instance.
    Other,
}

/// What an entry is about, as its key alone tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A backend server.
    Server(id::Server),
    /// The evacuation of a zone; the order is in force while the key exists.
    Evacuation(id::Zone),
}

/// How the store's entries look.
#[derive(Clone, Copy, Debug)]
pub struct StoreSchema {
    /// Prefix of all keys that are read.
    pub root_prefix: &'static str,
    /// Prefix under it of small values that are urgent.
    pub server_prefix: &'static str,
    /// Prefix under it of all that operators write: orders and the large value.
    pub operator_prefix: &'static str,
    /// Prefix under that of their orders, which are small and few.
    pub evacuation_prefix: &'static str,
    /// Key under it of the large value.
    pub config_key: &'static str,
    /// Reads an entry.
    pub decode_entry: fn(&platform::Entry) -> DecodeResult<DecodedEntry>,
    /// What the entry of this key is about; `None` for what has no subject.
    pub key_subject: fn(&str) -> Option<Subject>,
}

/// Everything that translates between the product and a platform.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Packets.
    pub codec: Codec,
    /// Calls to the store.
    pub dialect: Dialect,
    /// The store's entries.
    pub schema: StoreSchema,
}
