//! Messages between instances.
//!
//! The structs derive `prost::Message` themselves, so the build needs no code generator.
//! Field numbers are part of the protocol and must never be reused.

pub(crate) mod link;
pub mod member;
pub mod wire;

use std::net::IpAddr;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::request;
use crate::request::Flow;

/// Encoding of a flow in messages.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct WireFlow {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address of the caller: 4 or 16 bytes of IP, then the port.
    #[prost(bytes = "vec", tag = "2")]
    pub caller: Vec<u8>,
}

/// A datagram relayed to the instance that is home of the flow's slice.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Relay {
    /// Flow of the datagram.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<WireFlow>,
    /// The datagram as received from the caller.
    #[prost(bytes = "bytes", tag = "2")]
    pub datagram: Bytes,
    /// Number of relays so far.
    #[prost(uint32, tag = "3")]
    pub hops: u32,
    /// Whether the sender, the previous home, claimed the request but has not forwarded
    /// it and never will.
    #[prost(bool, tag = "4")]
    pub released: bool,
}

/// Claim of a request: once it is acknowledged, its home may forward the request, and
/// no later home runs it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Claim {
    /// Flow of the request.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<WireFlow>,
    /// Identity of the request, big-endian without leading zeros.
    #[prost(bytes = "vec", tag = "2")]
    pub id: Vec<u8>,
    /// Home that made the claim, if it is not the sender.
    #[prost(string, tag = "3")]
    pub claimer: String,
    /// Time since the request was received, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// A feed with the data needed to register it again.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Feed {
    /// Flow of the feed.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<WireFlow>,
    /// The caller's token, big-endian without leading zeros.
    #[prost(bytes = "vec", tag = "2")]
    pub token: Vec<u8>,
    /// Server that sends the feed's notifications.
    #[prost(string, tag = "3")]
    pub server: String,
    /// The caller's registration datagram as received.
    #[prost(bytes = "bytes", tag = "4")]
    pub datagram: Bytes,
    /// Last sequence number sent to the caller.
    #[prost(uint32, tag = "5")]
    pub sequence: u32,
}

/// The end of a feed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedEnd {
    /// Flow of the feed.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<WireFlow>,
    /// The caller's token.
    #[prost(bytes = "vec", tag = "2")]
    pub token: Vec<u8>,
}

/// Start of a new copy: the receiver's data about the slice's feeds is outdated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CopyStart {}

/// One element that a backup stores.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplicationItem {
    /// Start of a new copy.
    #[prost(message, tag = "4")]
    CopyStart(CopyStart),
    /// A claim.
    #[prost(message, tag = "5")]
    Claim(Claim),
    /// A feed opened or changed.
    #[prost(message, tag = "6")]
    Feed(Feed),
    /// A feed ended.
    #[prost(message, tag = "7")]
    FeedEnd(FeedEnd),
}

/// One step of replication from a home to a backup, repeated until acknowledged.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicationStep {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The epoch under which the sender is home.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Number of the step, to match its acknowledgement.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Element to store.
    #[prost(oneof = "ReplicationItem", tags = "4, 5, 6, 7")]
    pub item: Option<ReplicationItem>,
}

/// Acknowledges a replication step: the backup has stored the item and will respect it
/// when it becomes home.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicationAck {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// Epoch of the acknowledged step.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Number of the acknowledged step.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// The final outcome of a request that was in progress while its slice moved.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FinalOutcome {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// Flow of the request.
    #[prost(message, optional, tag = "2")]
    pub flow: Option<WireFlow>,
    /// Identity of the request.
    #[prost(bytes = "vec", tag = "3")]
    pub id: Vec<u8>,
    /// The caller's token.
    #[prost(bytes = "vec", tag = "4")]
    pub token: Vec<u8>,
    /// The server's answer.
    #[prost(bytes = "bytes", tag = "5")]
    pub answer: Bytes,
}

/// A feed transferred to the slice's home by an instance that served it meanwhile.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedTransfer {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The feed.
    #[prost(message, optional, tag = "2")]
    pub feed: Option<Feed>,
}

/// Load that one instance has at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Hash of the server's name.
    pub server: u32,
    /// Requests in progress.
    pub outstanding: u32,
    /// Open feeds.
    pub feeds: u32,
}

/// Loads of several servers as packed columns. With one message per server, the tags
/// would take as many bytes as the values in every heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// Hashes of the servers' names.
    #[prost(fixed32, repeated, tag = "1")]
    pub servers: Vec<u32>,
    /// Requests in progress, in the order of `servers`.
    #[prost(uint32, repeated, tag = "2")]
    pub outstanding: Vec<u32>,
    /// Open feeds, in the order of `servers`.
    #[prost(uint32, repeated, tag = "3")]
    pub feeds: Vec<u32>,
}

impl Loads {
    /// Iterates over the loads of the servers.
    pub fn iter(&self) -> impl Iterator<Item = Load> {
        let counts = self.outstanding.iter().zip(&self.feeds);
        let rows = self.servers.iter().zip(counts);
        rows.map(|(server, (outstanding, feeds))| Load {
            server: *server,
            outstanding: *outstanding,
            feeds: *feeds,
        })
    }
}

impl FromIterator<Load> for Loads {
    fn from_iter<I: IntoIterator<Item = Load>>(loads: I) -> Self {
        let mut columns = Self::default();
        for load in loads {
            columns.servers.push(load.server);
            columns.outstanding.push(load.outstanding);
            columns.feeds.push(load.feeds);
        }
        columns
    }
}

/// Periodic sign that the sender is alive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Availability zone of the sender.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Address at which the sender receives peer messages.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Digest of the revisions in the sender's active configuration.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Loads of the servers in use.
    #[prost(message, optional, tag = "8")]
    pub loads: Option<Loads>,
    /// Whether the loads were omitted because of the byte budget; the previous ones
    /// remain valid.
    #[prost(bool, tag = "7")]
    pub loads_omitted: bool,
}

/// Asks a backup to become home of slices whose current home is the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TakeoverRequest {
    /// The slices.
    #[prost(uint32, repeated, tag = "1")]
    pub slices: Vec<u32>,
}

/// Requests all entries that are newer than those of the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    /// Keys that the sender has, each with its version.
    #[prost(message, repeated, tag = "1")]
    pub known_versions: Vec<Version>,
}

/// A key of the platform with the version of an instance's copy.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Version {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The platform's modification revision.
    #[prost(uint64, tag = "2")]
    pub modified: u64,
}

/// Copies of platform entries, sent to a peer whose copies are older.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigResponse {
    /// The entries.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Keys of the requesting peer that no longer exist, each with the revision up to
    /// which that is known.
    #[prost(message, repeated, tag = "2")]
    pub deleted: Vec<Version>,
}

/// One entry of the platform.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The platform's modification revision.
    #[prost(uint64, tag = "2")]
    pub modified: u64,
    /// The value.
    #[prost(bytes = "bytes", tag = "3")]
    pub value: Bytes,
}

/// Any message between instances.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerMessage {
    /// See [`Relay`].
    #[prost(message, tag = "4")]
    Relay(Relay),
    /// See [`ReplicationStep`].
    #[prost(message, tag = "5")]
    ReplicationStep(ReplicationStep),
    /// See [`ReplicationAck`].
    #[prost(message, tag = "6")]
    ReplicationAck(ReplicationAck),
    /// See [`FinalOutcome`].
    #[prost(message, tag = "7")]
    FinalOutcome(FinalOutcome),
    /// See [`FeedTransfer`].
    #[prost(message, tag = "8")]
    FeedTransfer(FeedTransfer),
    /// See [`Heartbeat`].
    #[prost(message, tag = "9")]
    Heartbeat(Heartbeat),
    /// See [`TakeoverRequest`].
    #[prost(message, tag = "10")]
    TakeoverRequest(TakeoverRequest),
    /// See [`ConfigRequest`].
    #[prost(message, tag = "11")]
    ConfigRequest(ConfigRequest),
    /// See [`ConfigResponse`].
    #[prost(message, tag = "12")]
    ConfigResponse(ConfigResponse),
}

impl PeerMessage {
    /// Kind of the message, as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Relay(_) => "relay",
            Self::ReplicationStep(_) => "replicate",
            Self::ReplicationAck(_) => "replicated",
            Self::FinalOutcome(_) => "settle",
            Self::FeedTransfer(_) => "adopt",
            Self::Heartbeat(_) => "heartbeat",
            Self::TakeoverRequest(_) => "yield",
            Self::ConfigRequest(_) => "pull",
            Self::ConfigResponse(_) => "push",
        }
    }
}

/// Encodes a flow.
pub fn pack_flow(flow: &Flow) -> WireFlow {
    let AddressBytes { mut ip, port } = address_bytes(flow.caller.0);
    ip.extend_from_slice(&port.to_be_bytes());
    WireFlow {
        service: flow.service.as_str().to_owned(),
        caller: ip,
    }
}

/// Decodes a flow.
///
/// # Errors
///
/// [`Error::Decode`] if the flow is missing or malformed.
pub fn unpack_flow(flow: Option<&WireFlow>) -> Result<Flow> {
    let flow = flow.ok_or_else(|| malformed("flow is missing"))?;
    let (ip, port) = flow
        .caller
        .split_last_chunk::<2>()
        .ok_or_else(|| malformed("caller's address is too short"))?;
    let ip = match *ip {
        [a, b, c, d] => IpAddr::from([a, b, c, d]),
        _ => {
            let octets: [u8; 16] = ip
                .try_into()
                .map_err(|_| malformed("caller's address has neither 4 nor 16 bytes"))?;
            IpAddr::from(octets)
        }
    };
    Ok(Flow {
        service: flow.service.parse()?,
        caller: id::Endpoint(SocketAddr::new(ip, u16::from_be_bytes(*port))),
    })
}

/// Encodes a number of up to 128 bits, big-endian without leading zeros.
pub fn pack_number(number: u128) -> Vec<u8> {
    let bytes = number.to_be_bytes();
    let leading_zeros = bytes.iter().take_while(|byte| **byte == 0).count();
    bytes[leading_zeros..].to_vec()
}

/// Decodes a number of up to 128 bits.
///
/// # Errors
///
/// [`Error::Decode`] if the number is longer.
pub fn unpack_number(bytes: &[u8]) -> Result<u128> {
    const MAX_LENGTH: usize = 16;
    if bytes.len() > MAX_LENGTH {
        return Err(malformed("number is longer than 128 bits"));
    }
    Ok(bytes
        .iter()
        .fold(0, |number, byte| number << 8 | u128::from(*byte)))
}

/// Decodes a request's key.
///
/// # Errors
///
/// [`Error::Decode`] if a part is missing or malformed.
pub fn unpack_key(flow: Option<&WireFlow>, id: &[u8]) -> Result<request::Key> {
    Ok(request::Key {
        flow: unpack_flow(flow)?,
        id: request::Id(unpack_number(id)?),
    })
}

struct AddressBytes {
    ip: Vec<u8>,
    port: u16,
}

fn address_bytes(address: SocketAddr) -> AddressBytes {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    AddressBytes {
        ip,
        port: address.port(),
    }
}

fn malformed(reason: &str) -> Error {
    Error::Decode {
        step: "peer message",
        peer: "peer".to_owned(),
        reason: reason.to_owned(),
    }
}
