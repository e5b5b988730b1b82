//! Addresses on the loopback range, and packets as callers and servers write them.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use godwitreel::flow::Tag;
use platform::packet;
use platform::packet::HEADER_LEN;
use tokio::net::UdpSocket;

use crate::Error;
use crate::Result;

/// Flag of a packet that opens a flow.
pub const SYN: u8 = 2;
/// Flag of a packet whose acknowledgement number is valid.
pub const ACK: u8 = 4;
/// Flag of a packet that resets a flow.
pub const RST: u8 = 32;
/// Flag of a packet that closes a flow.
pub const FIN: u8 = 64;

/// Offset of the endpoints' checksum in a packet.
const CHECKSUM_OFFSET: usize = 30;
/// Bytes of a packet that the checksum does not cover.
const UNCHECKED_BYTES: std::ops::Range<usize> = 3..10;

/// Addresses of one run; runs at the same time need different blocks.
#[derive(Clone, Copy, Debug)]
pub struct AddressPlan {
    /// Second byte of all addresses.
    pub block: u8,
    /// Port on all addresses for packets, the store and the links.
    pub port: u16,
}

impl AddressPlan {
    /// Address of an instance.
    pub fn instance(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 1, number)
    }

    /// Address of a caller.
    pub fn caller(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, 2, number)
    }

    /// Address of a backend server.
    pub fn backend(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 3, number), self.port)
    }

    /// Address of the store.
    pub fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 4, 1), self.port)
    }

    /// Address of an instance's link to the store.
    pub fn store_link(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 5, number), self.port)
    }

    /// Address of the link by which other instances reach an instance.
    pub fn peer_link(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 6, number), self.port)
    }
}

/// Binds a UDP socket.
pub(crate) async fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|source| Error::Bind { address, source })
}

/// A packet as a caller or a server writes it.
#[derive(Clone, Copy, Debug)]
pub struct Packet<'a> {
    /// Source of the packet.
    pub from: SocketAddrV4,
    /// Destination of the packet.
    pub to: SocketAddrV4,
    /// Flags, such as `SYN | ACK`.
    pub flags: u8,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number.
    pub ack: u32,
    /// Tag of the last packet that the endpoint received in this flow.
    pub tag: Tag,
    /// Payload.
    pub data: &'a [u8],
}

impl Packet<'_> {
    /// Encodes the packet with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_LEN];
        bytes[..2].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[2] = self.flags;
        bytes[10..14].copy_from_slice(&self.seq.to_be_bytes());
        bytes[14..18].copy_from_slice(&self.ack.to_be_bytes());
        write_endpoint(&mut bytes, 18, self.from);
        write_endpoint(&mut bytes, 24, self.to);
        packet::set_tag(&mut bytes, self.tag);
        bytes.extend_from_slice(self.data);
        let checksum = checksum(&bytes);
        bytes[CHECKSUM_OFFSET..HEADER_LEN].copy_from_slice(&checksum.to_be_bytes());
        bytes
    }
}

fn write_endpoint(bytes: &mut [u8], at: usize, endpoint: SocketAddrV4) {
    bytes[at..at + 2].copy_from_slice(&endpoint.port().to_be_bytes());
    bytes[at + 2..at + 6].copy_from_slice(&endpoint.ip().octets());
}

/// FNV-1a over the covered bytes. Never 0, which marks packets that the system writes.
fn checksum(bytes: &[u8]) -> u32 {
    let covered =
        |at: &usize| !UNCHECKED_BYTES.contains(at) && !(CHECKSUM_OFFSET..HEADER_LEN).contains(at);
    let indexes = (0..bytes.len()).filter(covered);
    let hash = indexes.fold(0x811c_9dc5_u32, |hash, at| {
        (hash ^ u32::from(bytes[at])).wrapping_mul(0x0100_0193)
    });
    hash.max(1)
}

/// Author of a packet, by its checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Author {
    /// A caller or a server; the packet is unchanged.
    Endpoint,
    /// The system, which may only write resets.
    System,
    /// The checksum does not match: the packet was altered on its way.
    Altered,
}

/// Determines the author of a packet by its checksum.
pub fn author(bytes: &[u8]) -> Author {
    let checksum_bytes = bytes
        .get(CHECKSUM_OFFSET..HEADER_LEN)
        .map(|b| [b[0], b[1], b[2], b[3]]);
    match checksum_bytes.map(u32::from_be_bytes) {
        Some(0) => Author::System,
        Some(written) if written == checksum(bytes) => Author::Endpoint,
        _ => Author::Altered,
    }
}
