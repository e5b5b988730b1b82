//! Addresses for programs that a test starts.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use standin::address;
use standin::address::Block;

/// Addresses that are asked for.
const COUNT: usize = 4_000;

/// Tests of one file start their instances at the same time. An instance is given
/// an address; in the same moment another thread starts a program, which holds all
/// sockets of the process until its own code runs. The instance then binds its
/// address, and that must succeed: with an address in use it ends at its start and
/// the deployment never comes to rest.
#[test]
fn an_address_can_be_bound_while_programs_are_started() {
    let over = AtomicBool::new(false);
    let busy = thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    let status = Command::new("true").status();
                    assert!(status.expect("a program").success());
                }
            });
        }
        let mut busy = Vec::new();
        for _ in 0..COUNT {
            let address = address::free();
            if UdpSocket::bind(address).is_err() || TcpListener::bind(address).is_err() {
                busy.push(address);
            }
        }
        over.store(true, Ordering::Relaxed);
        busy
    });
    assert_eq!(busy, []);
}

/// Two processes whose numbers lead to the same place.
#[test]
fn two_owners_share_no_address() {
    let first = Block::claim(7);
    let second = Block::claim(7);
    let all = [&first, &second].map(|block| (0..100).map(|_| block.address()).collect());
    let [one, other]: [BTreeSet<_>; 2] = all;
    assert_eq!(one.len(), 100);
    assert!(one.is_disjoint(&other));
}
