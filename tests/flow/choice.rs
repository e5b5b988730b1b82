//! Where new flows go when all is well.

use std::collections::HashMap;

use godwitreel::flow::DataPlane;
use godwitreel::flow::Options;
use godwitreel::flow::StateUpdate;
use tokio::time::Instant;

use crate::support::*;

#[test]
fn flows_stay_in_their_zone_while_it_has_room() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", REMOTE)];
    let mut plane = plane(now, servers);
    for port in 0..3 {
        let target = open(&mut plane, now, &Caller::new(port, BOOKINGS));
        assert_eq!(target.serial.0, 1);
    }
}

// All requests of a burst wait at the zone's only server. Beyond the margin the
// other zone's idle server answers sooner, in spite of the way.
#[test]
fn a_full_zone_spills_over() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", REMOTE)];
    let mut plane = plane(now, servers);
    let mut remote = 0;
    for port in 0..20 {
        let target = open(&mut plane, now, &Caller::new(port, BOOKINGS));
        remote += u32::from(target.serial.0 == 2);
    }
    assert!((4..=10).contains(&remote), "{remote} of 20");
}

#[test]
fn requests_in_progress_count_and_not_idle_flows() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", REMOTE)];
    let mut plane = plane(now, servers);
    for port in 0..20 {
        let caller = Caller::new(port, BOOKINGS);
        let target = open(&mut plane, now, &caller);
        assert_eq!(target.serial.0, 1, "flow {port}");
        plane.receive(now + ms(20), &caller.acknowledge(500, target.tag), b"");
    }
}

#[test]
fn load_is_spread_over_a_zones_servers() {
    let now = Instant::now();
    let servers = (1..=4).map(|n| server(n, "dispatch", LOCAL)).collect();
    let mut plane = plane(now, servers);
    let mut counts = HashMap::new();
    for port in 0..40 {
        let target = open(&mut plane, now, &Caller::new(port, BOOKINGS));
        *counts.entry(target.serial).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

#[test]
fn a_cold_server_gets_less() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let mut cold = server(2, "dispatch", LOCAL);
    cold.cold_for = ms(5_000);
    plane.apply(now, StateUpdate::Server(cold));
    let mut counts = HashMap::new();
    for port in 0..16 {
        let target = open(&mut plane, now, &Caller::new(port, BOOKINGS));
        *counts.entry(target.serial.0).or_insert(0) += 1;
    }
    assert!(counts[&2] < counts[&1], "{counts:?}");
}

/// Requests that a server works on and lets wait.
const ROOM: usize = 2 + 8;

// Guards against a server that has just come and that all instances of a zone choose in
// the same moment: the queue of one that is empty overflows.
#[test]
fn a_new_server_is_not_chosen_by_all_instances_at_once() {
    const INSTANCES: u64 = 22;
    const SERVERS: u8 = 30;
    let now = Instant::now();
    let mut arrivals = 0;
    for number in 0..INSTANCES {
        let mut plane = DataPlane::new(Options {
            seed: number,
            ..options()
        });
        let rows = [(BOOKINGS, "dispatch")];
        plane.apply(now, StateUpdate::Routes(routes(1, &rows)));
        let listed = (1..=SERVERS).map(|n| server(n, "dispatch", LOCAL));
        let listed = listed.collect();
        let unreadable = Vec::new();
        plane.apply(now, StateUpdate::Servers { listed, unreadable });
        for port in 0..4 * u16::from(SERVERS) {
            let caller = Caller::new(port, BOOKINGS);
            let target = open(&mut plane, now, &caller);
            plane.receive(now + ms(20), &caller.acknowledge(500, target.tag), b"");
        }
        plane.apply(
            now,
            StateUpdate::Server(server(SERVERS + 1, "dispatch", LOCAL)),
        );
        let packet = Caller::new(1_000, BOOKINGS).opening(0);
        let target = forwarded(plane.receive(now + ms(30), &packet, b"packet"));
        arrivals += usize::from(target.serial.0 == u64::from(SERVERS) + 1);
    }
    assert!(arrivals <= ROOM, "{arrivals} of {INSTANCES}");
    assert!(arrivals > 0, "a new server is found");
}
