//! Addresses for programs that a test is about to start.
//!
//! Each process has a loopback host of its own, so that ports need no probe: a
//! socket that is bound and closed again to see whether a port is free is still
//! held by any program that another thread starts at that moment, until that
//! program's own code runs, and the receiver of the address then fails to bind it.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::RangeInclusive;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Port that marks a host as taken, below the range from which the system gives
/// ports to sockets that name none.
const GUARD_PORT: u16 = 9_999;

/// Ports that are given, below that range, too.
const PORTS: RangeInclusive<u16> = 10_000..=32_000;

/// Hosts that processes choose from.
const HOSTS: u32 = 60_000;

static BLOCK: LazyLock<Block> = LazyLock::new(|| Block::claim(std::process::id()));

/// A loopback host of one owner, whose ports are given once each.
#[derive(Debug)]
pub struct Block {
    host: Ipv4Addr,
    given: AtomicU16,
    /// Keeps the host from other processes.
    _guard: TcpListener,
}

impl Block {
    /// Takes the first host that nobody has, beginning at a place that differs
    /// between owners.
    ///
    /// # Panics
    ///
    /// If all hosts are taken.
    pub fn claim(place: u32) -> Self {
        for offset in 0..HOSTS {
            let host = host(place.wrapping_add(offset) % HOSTS);
            if let Ok(guard) = TcpListener::bind((host, GUARD_PORT)) {
                return Self {
                    host,
                    given: AtomicU16::new(0),
                    _guard: guard,
                };
            }
        }
        panic!("every loopback host is taken");
    }

    /// An address, for UDP and TCP, that is given to nobody else.
    ///
    /// # Panics
    ///
    /// If all ports are given.
    pub fn address(&self) -> SocketAddr {
        let port = PORTS.start() + self.given.fetch_add(1, Ordering::Relaxed);
        assert!(PORTS.contains(&port), "every port is given");
        (self.host, port).into()
    }
}

/// An address, for UDP and TCP, that no other caller and no other process gets.
///
/// # Panics
///
/// If all hosts or ports are taken.
pub fn free() -> SocketAddr {
    BLOCK.address()
}

/// Host of a place, in a part of 127.0.0.0/8 where no deployment of a test lies.
fn host(place: u32) -> Ipv4Addr {
    const PART: u8 = 250;
    let [_, _, high, low] = place.to_be_bytes();
    Ipv4Addr::new(127, PART, high, low.max(1))
}
