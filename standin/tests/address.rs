//! Allocation of addresses for the processes that a test starts.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use standin::address;
use standin::address::Block;

/// Number of addresses to allocate.
const COUNT: usize = 4_000;

/// Guards against instances that fail to start because their address is in use. The
/// tests of a file run in parallel threads, and a program that one of them spawns holds
/// all open sockets of the process until it executes its own code. If allocating an
/// address opened a socket on it, an instance could then fail to bind the address and
/// end at its start, and the deployment would never settle.
#[test]
fn an_address_can_be_bound_while_programs_are_started() {
    let is_done = AtomicBool::new(false);
    let unbindable = thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let status = Command::new("true").status();
                    assert!(status.expect("a program").success());
                }
            });
        }
        let mut unbindable = Vec::new();
        for _ in 0..COUNT {
            let address = address::free();
            if UdpSocket::bind(address).is_err() || TcpListener::bind(address).is_err() {
                unbindable.push(address);
            }
        }
        is_done.store(true, Ordering::Relaxed);
        unbindable
    });
    assert_eq!(unbindable, []);
}

/// Covers two processes whose IDs lead to the same host.
#[test]
fn two_owners_share_no_address() {
    let first = Block::claim(7);
    let second = Block::claim(7);
    let allocated = [&first, &second].map(|block| (0..100).map(|_| block.address()).collect());
    let [first_addresses, second_addresses]: [BTreeSet<_>; 2] = allocated;
    assert_eq!(first_addresses.len(), 100);
    assert!(first_addresses.is_disjoint(&second_addresses));
}
