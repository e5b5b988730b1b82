//! Incremental removal of expired flows.

use std::time::Duration;

use tokio::time::Instant;

use crate::support::*;

/// Time between two steps of the sweep while the instance has work.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

// An instance sweeps tens of thousands of flows for expired ones. A single pass would delay
// all packets received in the meantime, so that one step covers a part of the table only.
#[test]
fn one_sweep_step_covers_a_part_of_the_flows() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    for port in 0..400 {
        open(&mut plane, now, &Caller::new(port, BOOKINGS));
    }
    plane.expire(now);
    let idle = Duration::from_secs(15);
    plane.expire(now + idle);
    assert_eq!(plane.flows(), 400, "no flow has expired yet");
    plane.expire(now + idle + SWEEP_INTERVAL);
    let remaining = plane.flows();
    assert!(
        (360..400).contains(&remaining),
        "{remaining} remaining of 400"
    );
}

// Expired flows must not fill the table: a new flow that does not fit is not tracked, and
// its unresponsive server is not detected.
#[test]
fn a_full_sweep_removes_all_expired_flows() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    for port in 0..400 {
        open(&mut plane, now, &Caller::new(port, BOOKINGS));
    }
    let mut at = now;
    while at < now + Duration::from_millis(16_100) {
        plane.expire(at);
        at += SWEEP_INTERVAL;
    }
    assert_eq!(plane.flows(), 0);
    assert_eq!(plane.directory().load(), 0, "expired flows add no load");
}

// A table entry is reused after its flow has expired: the later flow must not get the
// earlier one's server, nor its packets count as the earlier one's load.
#[test]
fn a_reused_table_entry_keeps_flows_apart() {
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

// Guards against flows that are forgotten before a longer lifetime that the settings now
// allow.
#[test]
fn a_changed_lifetime_applies_to_open_flows() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.set_flow_ttl(Duration::from_secs(90));
    for second in 1..=90 {
        assert_eq!(plane.flows(), 1, "after {second} s");
        let at = now + Duration::from_secs(second);
        plane.receive(at, &caller.data(second as u32 * 100, target.tag), b"");
        plane.expire(at);
    }
    assert_eq!(plane.flows(), 0, "after its lifetime");
}
