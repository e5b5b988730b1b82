//! Unused loopback addresses for processes that a test is about to start.
//!
//! Each test process claims a loopback host of its own, so that ports need not be
//! probed. Probing is unreliable: if another thread spawns a program while the
//! probe socket is open, the child inherits the socket and holds it until it
//! executes its own code, and whoever got the address then fails to bind it.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::RangeInclusive;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Port whose listener marks a host as claimed. It lies below the range of
/// ephemeral ports.
const CLAIM_PORT: u16 = 9_999;

/// Ports that are allocated, also below the range of ephemeral ports.
const PORTS: RangeInclusive<u16> = 10_000..=32_000;

/// Number of hosts that processes choose from.
const HOSTS: u32 = 60_000;

static PROCESS_BLOCK: LazyLock<Block> = LazyLock::new(|| Block::claim(std::process::id()));

/// A loopback host with one owner; each of its ports is allocated once.
#[derive(Debug)]
pub struct Block {
    host: Ipv4Addr,
    allocated: AtomicU16,
    /// Keeps other processes from claiming the host.
    _listener: TcpListener,
}

impl Block {
    /// Claims the first unclaimed host, searching from an index that should differ
    /// between owners.
    ///
    /// # Panics
    ///
    /// If all hosts are claimed.
    pub fn claim(first_index: u32) -> Self {
        for offset in 0..HOSTS {
            let host = host(first_index.wrapping_add(offset) % HOSTS);
            if let Ok(listener) = TcpListener::bind((host, CLAIM_PORT)) {
                return Self {
                    host,
                    allocated: AtomicU16::new(0),
                    _listener: listener,
                };
            }
        }
        panic!("every loopback host is claimed");
    }

    /// Allocates an address for UDP and TCP.
    ///
    /// # Panics
    ///
    /// If all ports are allocated.
    pub fn address(&self) -> SocketAddr {
        let port = PORTS.start() + self.allocated.fetch_add(1, Ordering::Relaxed);
        assert!(PORTS.contains(&port), "every port is allocated");
        (self.host, port).into()
    }
}

/// Allocates an address for UDP and TCP that is unique among all test processes.
///
/// # Panics
///
/// If all hosts are claimed or all ports allocated.
pub fn free() -> SocketAddr {
    PROCESS_BLOCK.address()
}

/// Host with this index, in a part of 127.0.0.0/8 that no test deployment uses.
fn host(index: u32) -> Ipv4Addr {
    const SECOND_OCTET: u8 = 250;
    let [_, _, high, low] = index.to_be_bytes();
    Ipv4Addr::new(127, SECOND_OCTET, high, low.max(1))
}
