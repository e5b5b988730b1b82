//! Flows that are over are forgotten, a part of the table at a time.

use std::time::Duration;

use tokio::time::Instant;

use crate::support::*;

/// Time between two looks, as often as an instance has something to do.
const LOOK: Duration = Duration::from_millis(50);

// An instance looks through tens of thousands of flows for those that are over.
// Callers would see all packets that come meanwhile held up, so that one look
// goes through a part of them only.
#[test]
fn one_look_goes_through_a_part_of_the_flows() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    for port in 0..400 {
        open(&mut plane, now, &Caller::new(port, BOOKINGS));
    }
    plane.expire(now);
    let idle = Duration::from_secs(15);
    plane.expire(now + idle);
    assert_eq!(plane.flows(), 400, "none is over yet");
    plane.expire(now + idle + LOOK);
    let left = plane.flows();
    assert!((360..400).contains(&left), "{left} left of 400");
}

// Flows that nobody uses any more must not fill the table: a new flow that finds
// no room is not watched, and its silent server not noticed.
#[test]
fn a_round_of_looks_forgets_all_flows_that_are_over() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    for port in 0..400 {
        open(&mut plane, now, &Caller::new(port, BOOKINGS));
    }
    let mut at = now;
    while at < now + Duration::from_millis(16_100) {
        plane.expire(at);
        at += LOOK;
    }
    assert_eq!(plane.flows(), 0);
    assert_eq!(plane.directory().load(), 0, "their load is given back");
}

// A place in the table is used again after its flow is over: the later flow must
// not get the earlier one's server, nor the earlier one's packets its load.
#[test]
fn a_place_that_is_used_again_keeps_flows_apart() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "ledger", LOCAL)];
    let mut plane = plane(now, servers);
    let first = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &first);
    plane.expire(now + Duration::from_secs(16));
    assert_eq!(plane.flows(), 0);
    let later = now + Duration::from_secs(17);
    let second = Caller::new(2, SHEETS);
    let other = open(&mut plane, later, &second);
    assert_ne!(other, target);
    let verdict = plane.receive(later, &first.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
    let verdict = plane.receive(later, &second.data(0, other.tag), b"");
    assert_eq!(forwarded(verdict), other);
    assert_eq!(plane.flows(), 2);
}
