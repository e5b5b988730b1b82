//! Routing tags: any instance can pass on any packet.

use std::collections::HashMap;

use godwitreel::flow::DropReason;
use godwitreel::flow::Flags;
use godwitreel::flow::Serial;
use godwitreel::flow::Tag;
use godwitreel::flow::Verdict;
use tokio::time::Instant;

use crate::support::*;

// Routers change their choice of instances in the middle of a flow. The next
// instance has never seen the flow; the tag leads to its server.
#[test]
fn another_instance_passes_on_to_the_same_server() {
    let now = Instant::now();
    let servers: Vec<_> = (1..=4).map(|n| server(n, "dispatch", LOCAL)).collect();
    let mut one = plane(now, servers.clone());
    let mut two = plane(now, servers);
    for port in 0..50 {
        let caller = Caller::new(port, BOOKINGS);
        let target = open(&mut one, now, &caller);
        let verdict = two.receive(now, &caller.data(100, target.tag), b"");
        assert_eq!(forwarded(verdict), target);
    }
}

/// Two serials with the same tag.
fn doubled() -> (Serial, Serial) {
    let mut seen = HashMap::new();
    for number in 0..10_000_000 {
        let serial = Serial(number);
        if let Some(other) = seen.insert(Tag::of(serial), serial) {
            return (other, serial);
        }
    }
    panic!("no two tags are the same");
}

// Serials are longer than tags, so that two servers may share one. A flow of the
// later server would be led to the earlier one, which resets it.
#[test]
fn a_server_with_a_doubled_tag_gets_no_flows() {
    let now = Instant::now();
    let (first, second) = doubled();
    let mut one = server(1, "dispatch", LOCAL);
    one.serial = first;
    let mut two = server(2, "dispatch", LOCAL);
    two.serial = second;
    let mut plane = plane(now, vec![one, two]);
    for port in 0..20 {
        let target = open(&mut plane, now, &Caller::new(port, BOOKINGS));
        assert_eq!(target.serial, first);
    }
}

#[test]
fn packets_that_lead_nowhere_are_dropped() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let unknown = plane.receive(now, &caller.data(0, Tag(12_345)), b"");
    assert_eq!(unknown, Verdict::Drop(DropReason::UnknownTag));
    let untagged = plane.receive(now, &caller.data(0, Tag::NONE), b"");
    assert_eq!(untagged, Verdict::Drop(DropReason::UnknownTag));
    let mut answer = caller.opening(0);
    answer.flags = Flags {
        syn: true,
        ack: true,
        ..Flags::default()
    };
    let forged = plane.receive(now, &answer, b"");
    assert_eq!(forged, Verdict::Drop(DropReason::ServerSide));
}
