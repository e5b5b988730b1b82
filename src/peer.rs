//! Messages between entry instances.
//!
//! The structs carry their own `prost` derivations, so the build needs no
//! generator. Field numbers are part of the protocol: never reuse one.

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

/// A flow on the wire.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct WireFlow {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address of the caller: 4 or 16 bytes of IP, then the port.
    #[prost(bytes = "vec", tag = "2")]
    pub caller: Vec<u8>,
}

/// A datagram passed on to the instance that decides for it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Relay {
    /// Whose datagram it is.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<WireFlow>,
    /// The datagram as it came.
    #[prost(bytes = "bytes", tag = "2")]
    pub datagram: Bytes,
    /// Relays so far.
    #[prost(uint32, tag = "3")]
    pub hops: u32,
    /// Whether the sender, home until now, claimed the request but neither
    /// forwarded it nor ever will.
    #[prost(bool, tag = "4")]
    pub released: bool,
}

/// A request that may be forwarded from now on, or will never be.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Claim {
    /// Whose request it is.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<WireFlow>,
    /// Its identity, big-endian without leading zeros.
    #[prost(bytes = "vec", tag = "2")]
    pub id: Vec<u8>,
    /// The home that made the claim, if it is not the sender.
    #[prost(string, tag = "3")]
    pub claimer: String,
    /// Time since the request came, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// A feed, with what is needed to register it again.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Feed {
    /// Whose feed it is.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<WireFlow>,
    /// The caller's token, big-endian without leading zeros.
    #[prost(bytes = "vec", tag = "2")]
    pub token: Vec<u8>,
    /// The server that feeds it.
    #[prost(string, tag = "3")]
    pub server: String,
    /// The caller's registration as it came.
    #[prost(bytes = "bytes", tag = "4")]
    pub datagram: Bytes,
    /// Last sequence number given to the caller.
    #[prost(uint32, tag = "5")]
    pub sequence: u32,
}

/// The end of a feed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedEnd {
    /// Whose feed it was.
    #[prost(message, optional, tag = "1")]
    pub flow: Option<WireFlow>,
    /// The caller's token.
    #[prost(bytes = "vec", tag = "2")]
    pub token: Vec<u8>,
}

/// Start of a new copy: what the receiver has of the slice's feeds is outdated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CopyStart {}

/// One thing that a backup keeps.
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
    /// What to keep.
    #[prost(oneof = "ReplicationItem", tags = "4, 5, 6, 7")]
    pub item: Option<ReplicationItem>,
}

/// The backup has the item and will honour it if it becomes home.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicationAck {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The epoch of the message that is acknowledged.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The number of the message that is acknowledged.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// The final outcome of a request that was in progress while its slice moved.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FinalOutcome {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// Whose request it was.
    #[prost(message, optional, tag = "2")]
    pub flow: Option<WireFlow>,
    /// Its identity.
    #[prost(bytes = "vec", tag = "3")]
    pub id: Vec<u8>,
    /// The caller's token.
    #[prost(bytes = "vec", tag = "4")]
    pub token: Vec<u8>,
    /// The server's answer.
    #[prost(bytes = "bytes", tag = "5")]
    pub answer: Bytes,
}

/// A feed handed to the slice's home by an instance that served it meanwhile.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedTransfer {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The feed.
    #[prost(message, optional, tag = "2")]
    pub feed: Option<Feed>,
}

/// A server's load as one instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Hash of the server's name.
    pub server: u32,
    /// Requests in progress.
    pub outstanding: u32,
    /// Feeds open.
    pub feeds: u32,
}

/// Loads of several servers, as packed columns: a message for each server would
/// spend as many bytes on tags as on figures, in every heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// Hashes of the servers' names.
    #[prost(fixed32, repeated, tag = "1")]
    pub servers: Vec<u32>,
    /// Requests in progress, server by server.
    #[prost(uint32, repeated, tag = "2")]
    pub outstanding: Vec<u32>,
    /// Feeds open, server by server.
    #[prost(uint32, repeated, tag = "3")]
    pub feeds: Vec<u32>,
}

impl Loads {
    /// The loads one by one.
    pub fn iter(&self) -> impl Iterator<Item = Load> {
        let figures = self.outstanding.iter().zip(&self.feeds);
        let rows = self.servers.iter().zip(figures);
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

/// Sign of life.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Availability zone of the sender.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Where the sender takes peer messages.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Digest of the configuration revisions that the sender has in force.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Loads of the servers in use.
    #[prost(message, optional, tag = "8")]
    pub loads: Option<Loads>,
    /// Whether the loads were left out to keep the byte budget; the ones before
    /// stand.
    #[prost(bool, tag = "7")]
    pub loads_omitted: bool,
}

/// Asks a backup to become home of slices that the sender is home of.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TakeoverRequest {
    /// The slices.
    #[prost(uint32, repeated, tag = "1")]
    pub slices: Vec<u32>,
}

/// Asks for everything that is newer than what the sender has.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    /// What the sender has: a digest of each key with its version.
    #[prost(message, repeated, tag = "1")]
    pub known_versions: Vec<Version>,
}

/// A key of the platform and how new the holder's copy is.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Version {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The platform's modification number.
    #[prost(uint64, tag = "2")]
    pub modified: u64,
}

/// Copies of platform values, sent to a peer that is behind.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigResponse {
    /// The values.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Keys of the asker that do not exist any more, each with a modification
    /// number up to which that is known.
    #[prost(message, repeated, tag = "2")]
    pub deleted: Vec<Version>,
}

/// One value of the platform.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The platform's modification number.
    #[prost(uint64, tag = "2")]
    pub modified: u64,
    /// The value.
    #[prost(bytes = "bytes", tag = "3")]
    pub value: Bytes,
}

/// Any message.
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

/// Packs a flow for the wire.
pub fn pack_flow(flow: &Flow) -> WireFlow {
    let SocketAddrParts { mut ip, port } = parts(flow.caller.0);
    ip.extend_from_slice(&port.to_be_bytes());
    WireFlow {
        service: flow.service.as_str().to_owned(),
        caller: ip,
    }
}

/// Unpacks a flow.
///
/// # Errors
///
/// [`Error::Decode`] if it is missing or malformed.
pub fn unpack_flow(flow: Option<&WireFlow>) -> Result<Flow> {
    let flow = flow.ok_or_else(|| malformed("flow is missing"))?;
    let (ip, port) = flow
        .caller
        .split_last_chunk::<2>()
        .ok_or_else(|| malformed("caller is too short"))?;
    let ip = match *ip {
        [a, b, c, d] => IpAddr::from([a, b, c, d]),
        _ => {
            let long: [u8; 16] = ip.try_into().map_err(|_| malformed("caller's address"))?;
            IpAddr::from(long)
        }
    };
    Ok(Flow {
        service: flow.service.parse()?,
        caller: id::Endpoint(SocketAddr::new(ip, u16::from_be_bytes(*port))),
    })
}

/// Packs a number of up to 128 bits.
pub fn pack_number(number: u128) -> Vec<u8> {
    let bytes = number.to_be_bytes();
    let skip = bytes.iter().take_while(|byte| **byte == 0).count();
    bytes[skip..].to_vec()
}

/// Unpacks a number of up to 128 bits.
///
/// # Errors
///
/// [`Error::Decode`] if it is longer.
pub fn unpack_number(bytes: &[u8]) -> Result<u128> {
    const WIDTH: usize = 16;
    if bytes.len() > WIDTH {
        return Err(malformed("number is too long"));
    }
    Ok(bytes
        .iter()
        .fold(0, |number, byte| number << 8 | u128::from(*byte)))
}

/// Unpacks a request's identity.
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

struct SocketAddrParts {
    ip: Vec<u8>,
    port: u16,
}

fn parts(address: SocketAddr) -> SocketAddrParts {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    SocketAddrParts {
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
