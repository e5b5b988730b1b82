//! Packets that arrive before the instance has read the store.

use std::time::Duration;

use godwitreel::flow::Backlog;
use godwitreel::flow::PendingPacket;
use godwitreel::flow::Segment;
use godwitreel::flow::Tag;
use proptest::prelude::*;
use tokio::time::Instant;

use crate::support::BOOKINGS;
use crate::support::Caller;
use crate::support::ms;

fn pending(at: Instant, segment: Segment) -> PendingPacket {
    PendingPacket {
        at,
        segment,
        packet: b"packet".to_vec(),
    }
}

fn opening(port: u16) -> Segment {
    Caller::new(port, BOOKINGS).opening(0)
}

fn data(port: u16) -> Segment {
    Caller::new(port, BOOKINGS).data(0, Tag::NONE)
}

fn drain(backlog: &mut Backlog, now: Instant) -> Vec<Segment> {
    backlog.drain(now).map(|pending| pending.segment).collect()
}

// Guards against packets that are lost or reordered before the store has been read.
#[test]
fn early_packets_are_drained_once_and_in_order() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(pending(now, data(1)));
    backlog.push(pending(now + ms(1), opening(2)));
    let both = vec![data(1), opening(2)];
    assert_eq!(drain(&mut backlog, now + ms(100)), both);
    assert_eq!(drain(&mut backlog, now + ms(100)), Vec::new());
}

// Guards against a SYN that opens its flow a second time, at another server, after the
// caller's retransmission has opened it.
#[test]
fn no_opening_packet_outlives_its_callers_copy() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(pending(now, opening(1)));
    backlog.push(pending(now, data(2)));
    assert_eq!(drain(&mut backlog, now + ms(200)), vec![data(2)]);
}

// Guards against forwarding packets of open flows after their retransmissions.
#[test]
fn no_packet_outlives_the_longest_pause_between_repeats() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(pending(now, data(1)));
    assert_eq!(drain(&mut backlog, now + ms(1_600)), Vec::new());
}

// Guards against unbounded memory use while the store stays unreachable, and against old
// packets that displace new ones.
#[test]
fn a_full_backlog_drops_the_oldest() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    for port in 0..10_000 {
        backlog.push(pending(now, data(port)));
    }
    let kept = drain(&mut backlog, now);
    assert!(kept.len() <= 1_024, "{}", kept.len());
    assert_eq!(kept.last(), Some(&data(9_999)));
}

// Guards against delivery after a shutdown.
#[test]
fn a_cleared_backlog_holds_nothing() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(pending(now, opening(1)));
    backlog.clear();
    assert_eq!(drain(&mut backlog, now), Vec::new());
}

proptest! {
    // Guards against an order of arrivals in which an expired packet is delivered.
    #[test]
    fn drained_packets_have_not_expired(gaps in proptest::collection::vec((0..400u64, any::<bool>()), 1..80)) {
        let mut now = Instant::now();
        let mut backlog = Backlog::default();
        for (gap, opens) in gaps {
            now += ms(gap);
            backlog.push(pending(now, if opens { opening(1) } else { data(1) }));
        }
        for pending in backlog.drain(now) {
            let max_age = if pending.segment.opens() { 200 } else { 1_600 };
            prop_assert!(now - pending.at < Duration::from_millis(max_age));
        }
    }
}
