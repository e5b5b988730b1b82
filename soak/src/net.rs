//! Addresses on the loopback range, and packets as the ends write them.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use godwitreel::flow::Tag;
use platform::packet;
use platform::packet::HEADER_LEN;
use tokio::net::UdpSocket;

use crate::Error;
use crate::Result;

/// Flags as they stand in a packet.
pub const SYN: u8 = 2;
/// The acknowledgement counts.
pub const ACK: u8 = 4;
/// Abandons a flow.
pub const RST: u8 = 32;
/// Ends a flow.
pub const FIN: u8 = 64;

/// Where the ends' checksum stands, and where what it leaves out does.
const SUM: usize = 30;
const UNSUMMED: std::ops::Range<usize> = 3..10;

/// The addresses of one run; runs side by side differ in their block.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Second byte of all addresses.
    pub block: u8,
    /// Port at which callers take packets and instances receive them.
    pub port: u16,
}

impl Plan {
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

    /// Where an instance finds the store, by a link of its own.
    pub fn store_link(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 5, number), self.port)
    }

    /// Where other instances find an instance, by a link.
    pub fn peer_link(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 6, number), self.port)
    }
}

/// Binds a socket.
pub(crate) async fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|source| Error::Bind { address, source })
}

/// A packet as an end writes it.
#[derive(Clone, Copy, Debug)]
pub struct Packet<'a> {
    /// Who sends it.
    pub from: SocketAddrV4,
    /// Who it is for.
    pub to: SocketAddrV4,
    /// Flags.
    pub flags: u8,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number.
    pub ack: u32,
    /// The tag that the end saw last.
    pub tag: Tag,
    /// Data.
    pub data: &'a [u8],
}

impl Packet<'_> {
    /// The bytes, with the ends' checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_LEN];
        bytes[..2].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[2] = self.flags;
        bytes[10..14].copy_from_slice(&self.seq.to_be_bytes());
        bytes[14..18].copy_from_slice(&self.ack.to_be_bytes());
        put(&mut bytes, 18, self.from);
        put(&mut bytes, 24, self.to);
        packet::set_tag(&mut bytes, self.tag);
        bytes.extend_from_slice(self.data);
        let sum = sum(&bytes);
        bytes[SUM..HEADER_LEN].copy_from_slice(&sum.to_be_bytes());
        bytes
    }
}

fn put(bytes: &mut [u8], at: usize, end: SocketAddrV4) {
    bytes[at..at + 2].copy_from_slice(&end.port().to_be_bytes());
    bytes[at + 2..at + 6].copy_from_slice(&end.ip().octets());
}

/// FNV-1a over what the checksum covers; never 0, which marks the system's own.
fn sum(bytes: &[u8]) -> u32 {
    let covered = |at: &usize| !UNSUMMED.contains(at) && !(SUM..HEADER_LEN).contains(at);
    let indexes = (0..bytes.len()).filter(covered);
    let hash = indexes.fold(0x811c_9dc5_u32, |hash, at| {
        (hash ^ u32::from(bytes[at])).wrapping_mul(0x0100_0193)
    });
    hash.max(1)
}

/// Who wrote a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Author {
    /// The end, and nobody changed it.
    End,
    /// The system, which may only reset.
    System,
    /// Somebody else.
    Altered,
}

/// Tells by the checksum who wrote a packet.
pub fn author(bytes: &[u8]) -> Author {
    let written = bytes.get(SUM..HEADER_LEN).map(|b| [b[0], b[1], b[2], b[3]]);
    match written.map(u32::from_be_bytes) {
        Some(0) => Author::System,
        Some(written) if written == sum(bytes) => Author::End,
        _ => Author::Altered,
    }
}
