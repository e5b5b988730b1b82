//! Packets that come before the first copy of the store.

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

fn early(at: Instant, segment: Segment) -> PendingPacket {
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

fn taken(backlog: &mut Backlog, now: Instant) -> Vec<Segment> {
    backlog.drain(now).map(|early| early.segment).collect()
}

// Guards against packets that are lost, or change places, while the copy comes.
#[test]
fn what_comes_early_is_taken_once_and_in_order() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(early(now, data(1)));
    backlog.push(early(now + ms(1), opening(2)));
    let both = vec![data(1), opening(2)];
    assert_eq!(taken(&mut backlog, now + ms(100)), both);
    assert_eq!(taken(&mut backlog, now + ms(100)), Vec::new());
}

// Guards against an opening packet that opens its flow a second time, at another server,
// after its caller's copy has opened it.
#[test]
fn no_opening_packet_outlives_its_callers_copy() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(early(now, opening(1)));
    backlog.push(early(now, data(2)));
    assert_eq!(taken(&mut backlog, now + ms(200)), vec![data(2)]);
}

// Guards against packets of open flows that come after their senders' repeats.
#[test]
fn no_packet_outlives_the_longest_pause_between_repeats() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(early(now, data(1)));
    assert_eq!(taken(&mut backlog, now + ms(1_600)), Vec::new());
}

// Guards against memory that fills while no copy comes at all, and against old packets
// that keep new ones out.
#[test]
fn a_full_backlog_drops_the_oldest() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    for port in 0..10_000 {
        backlog.push(early(now, data(port)));
    }
    let kept = taken(&mut backlog, now);
    assert!(kept.len() <= 1_024, "{}", kept.len());
    assert_eq!(kept.last(), Some(&data(9_999)));
}

// Guards against delivery after a stop.
#[test]
fn a_cleared_backlog_holds_nothing() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.push(early(now, opening(1)));
    backlog.clear();
    assert_eq!(taken(&mut backlog, now), Vec::new());
}

proptest! {
    // Guards against any order of arrivals in which something old is delivered.
    #[test]
    fn what_is_taken_is_young(gaps in proptest::collection::vec((0..400u64, any::<bool>()), 1..80)) {
        let mut now = Instant::now();
        let mut backlog = Backlog::default();
        for (gap, opens) in gaps {
            now += ms(gap);
            backlog.push(early(now, if opens { opening(1) } else { data(1) }));
        }
        for early in backlog.drain(now) {
            let most = if early.segment.opens() { 200 } else { 1_600 };
            prop_assert!(now - early.at < Duration::from_millis(most));
        }
    }
}
