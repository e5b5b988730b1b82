//! Cost of single changes in large deployments.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant as Clock;

use godwitreel::flow::DataPlane;
use godwitreel::flow::Incarnation;
use godwitreel::flow::Peer;
use godwitreel::flow::PeerRing;
use godwitreel::flow::Routes;
use godwitreel::flow::Serial;
use godwitreel::flow::Server;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::Warmup;
use tokio::time::Instant;

use crate::support::*;

const SMALL: u32 = 1_000;
const LARGE: u32 = 16_000;
/// Growth of the cost of a single change that is still within the scatter of the clock.
/// Walking over all servers makes it grow sixteen times.
const MAX_GROWTH: f64 = 5.0;
const CHANGES: u32 = 400;
const RUNS: usize = 7;

fn numbered(number: u32, incarnation: u64) -> Server {
    Server {
        id: format!("s-{number}").parse().unwrap(),
        serial: Serial(u64::from(number)),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 8080),
        incarnation: Some(Incarnation(incarnation)),
        ..server(
            1,
            "dispatch",
            if number.is_multiple_of(6) {
                LOCAL
            } else {
                REMOTE
            },
        )
    }
}

fn plane_with(now: Instant, servers: u32) -> DataPlane {
    plane(
        now,
        (0..servers).map(|number| numbered(number, 1)).collect(),
    )
}

fn peers(count: usize) -> Vec<Peer> {
    let peer = |number| Peer {
        instance: format!("entry-{number}").parse().unwrap(),
        zone: LOCAL.parse().unwrap(),
    };
    (0..count).map(peer).collect()
}

/// Least time of several runs of all changes.
fn cost(servers: u32, change: impl Fn(&mut DataPlane, Instant, u32)) -> f64 {
    let run = |_| {
        let now = Instant::now();
        let mut plane = plane_with(now, servers);
        let begin = Clock::now();
        for number in 0..CHANGES {
            change(&mut plane, now, number);
        }
        begin.elapsed().as_secs_f64()
    };
    (0..RUNS).map(run).fold(f64::MAX, f64::min)
}

fn growth(change: impl Fn(&mut DataPlane, Instant, u32)) -> f64 {
    cost(LARGE, &change) / cost(SMALL, &change)
}

// Guards against servers that come, restart or leave at a cost that grows with their
// number: replacing all of them would then cost its square.
#[test]
fn one_server_costs_the_same_among_many() {
    let comes = growth(|plane, now, number| {
        plane.apply(now, StateUpdate::Server(numbered(LARGE + number, 2)));
    });
    let restarts = growth(|plane, now, number| {
        plane.apply(now, StateUpdate::Server(numbered(number, 2)));
    });
    let leaves = growth(|plane, now, number| {
        let id = numbered(number, 1).id;
        plane.apply(now, StateUpdate::ServerRemoved(id));
    });
    for (what, growth) in [("comes", comes), ("restarts", restarts), ("leaves", leaves)] {
        assert!(
            growth < MAX_GROWTH,
            "a server that {what}: {growth:.1} times"
        );
    }
}

// Guards against timers that walk over all servers.
#[test]
fn timers_cost_the_same_among_many_servers() {
    let timers = growth(|plane, now, number| {
        plane.expire(now + ms(u64::from(number) * 50));
    });
    assert!(timers < MAX_GROWTH, "{timers:.1} times");
}

// Guards against an instance that joins and keeps all others busy with the quotas of
// thousands of cold servers.
#[test]
fn an_instance_that_joins_costs_the_same_whatever_the_servers() {
    let peers = peers(300);
    let warmup = Warmup {
        duration: Duration::from_secs(2),
        rate: 10.0,
    };
    let limited = Routes {
        warmups: [("dispatch".parse().unwrap(), warmup)]
            .into_iter()
            .collect(),
        ..routes(2, &[(BOOKINGS, "dispatch")])
    };
    let joins = growth(|plane, now, number| {
        if number == 0 {
            plane.apply(now, StateUpdate::Routes(limited.clone()));
        }
        plane.apply(now, StateUpdate::Peers(peers.clone()));
    });
    assert!(joins < MAX_GROWTH, "{joins:.1} times");
}

// Guards against quotas that do not add up to the rate in a fleet of two thousand.
#[test]
fn quotas_of_two_thousand_instances_add_up() {
    let peers = peers(2_000);
    let rings: Vec<PeerRing> = peers
        .iter()
        .map(|peer| PeerRing::new(&peer.instance, &peers))
        .collect();
    for (number, rate) in [(1, 1.0), (2, 10.0), (3, 2_500.0)] {
        let server = numbered(number, 1);
        let quotas = rings.iter().map(|ring| ring.cold_flow_quota(&server, rate));
        assert_eq!(quotas.sum::<usize>(), rate as usize);
    }
}
