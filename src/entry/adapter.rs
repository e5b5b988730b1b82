//! Interface between godwitreel and a platform adapter.

use crate::flow::Routes;
use crate::flow::Segment;
use crate::flow::Serial;
use crate::flow::Server;
use crate::flow::Tag;
use crate::id;
use crate::platform;
use crate::platform::gateway::DecodeResult;
use crate::platform::poll::Dialect;

/// Length in bytes of the header in front of a packet, which names the server that the
/// packet is sent to.
pub const SERVER_HEADER_LEN: usize = 8;

/// Decodes and encodes the platform's packets.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Largest packet, in bytes.
    pub max_packet_len: usize,
    /// Decodes a packet; the error is a short code for logs and metrics.
    pub decode: fn(&[u8]) -> Result<Segment, &'static str>,
    /// Writes the routing tag into a valid packet.
    pub set_tag: fn(&mut [u8], Tag),
    /// Builds the packet that resets the flow of a caller's packet.
    pub reset_packet: fn(&Segment) -> Vec<u8>,
    /// Encodes the header that names the server.
    pub server_header: fn(Serial) -> [u8; SERVER_HEADER_LEN],
}

/// A decoded entry of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedEntry {
    /// A backend server.
    Server(Server),
    /// The configuration.
    Routes(Routes),
    /// The evacuation of a zone, whose servers then get no new flows.
    Evacuation(id::Zone),
    /// An entry that entry instances don't use.
    Other,
}

/// The server or zone that a key refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A backend server.
    Server(id::Server),
    /// The evacuation of a zone; it is in force while the key exists.
    Evacuation(id::Zone),
}

/// Key prefixes of the store, and decoders of its entries.
#[derive(Clone, Copy, Debug)]
pub struct StoreSchema {
    /// Prefix of all keys that are read.
    pub root_prefix: &'static str,
    /// Prefix of the servers' entries, which are small and urgent.
    pub server_prefix: &'static str,
    /// Prefix of all that operators write: evacuations and the configuration.
    pub operator_prefix: &'static str,
    /// Prefix of the evacuations, which are small and few; part of the operators' prefix.
    pub evacuation_prefix: &'static str,
    /// Key of the configuration, the only large value; below the operators' prefix.
    pub config_key: &'static str,
    /// Decodes an entry.
    pub decode_entry: fn(&platform::Entry) -> DecodeResult<DecodedEntry>,
    /// The server or zone that a key refers to; `None` for other keys.
    pub key_subject: fn(&str) -> Option<Subject>,
}

/// Everything that godwitreel needs to know about a platform.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Packet format.
    pub codec: Codec,
    /// Format of the store's calls.
    pub dialect: Dialect,
    /// Layout of the store's entries.
    pub schema: StoreSchema,
}
