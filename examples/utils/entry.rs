//! Cost of one instance on the users' platform, by size of the fleet.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant as Clock;

use bytes::Bytes;
use godwitreel::flow::Backend;
use godwitreel::flow::DataPlane;
use godwitreel::flow::Flags;
use godwitreel::flow::FlowKey;
use godwitreel::flow::Incarnation;
use godwitreel::flow::Options;
use godwitreel::flow::Peer;
use godwitreel::flow::Route;
use godwitreel::flow::Routes;
use godwitreel::flow::Segment;
use godwitreel::flow::Serial;
use godwitreel::flow::Server;
use godwitreel::flow::ServerState;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::Tag;
use godwitreel::flow::Warmup;
use godwitreel::platform::Change;
use godwitreel::platform::Entry;
use godwitreel::replica::Bandwidth;
use godwitreel::replica::Member;
use godwitreel::replica::Outbox;
use godwitreel::replica::StoreCopy;
use godwitreel::replica::SubscribeRequest;
use godwitreel::replica::candidates;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

/// Servers and instances of the fleets.
const SIZES: [(u32, u32); 4] = [(1_000, 100), (2_500, 300), (10_000, 1_000), (20_000, 2_000)];
const ZONES: [&str; 6] = ["bole", "kality", "merkato", "ayat", "sarbet", "gerji"];
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Number of runs, of which the median counts.
const RUNS: usize = 5;
/// Number of single changes per run.
const CHANGES: u32 = 200;
/// Share of the servers that leave at once, in percent.
const REMOVED_PERCENT: u32 = 13;

/// A measured cost at each size.
struct Row {
    label: &'static str,
    unit: &'static str,
    values: Vec<f64>,
}

impl Row {
    /// Exponent of the growth from the third size to the fourth, which has twice as many
    /// servers and instances.
    fn power(&self) -> f64 {
        (self.values[3] / self.values[2]).log2()
    }
}

/// Measures all costs and prints them as a table, or as JSON.
pub(crate) fn run(is_json: bool) {
    let rows = [
        measure("first list of servers", "ms", 1e3, first_list),
        measure("the same list again", "ms", 1e3, same_list),
        measure("a server that comes", "us", 1e6, new_server),
        measure("a server that restarts", "us", 1e6, restarted_server),
        measure("a change of the instances", "ms", 1e3, |s, i| {
            peers_change(s, i, 0.0)
        }),
        measure("the same, cold servers limited", "ms", 1e3, |s, i| {
            peers_change(s, i, 10.0)
        }),
        measure("timers, 20 a second", "us", 1e6, timers),
        measure("a new flow", "us", 1e6, new_flow),
        measure("upstreams of an instance", "ms", 1e3, upstreams),
        measure(
            "13% of the servers leave: sent",
            "kB",
            1e-3,
            bytes_of_removal,
        ),
    ];
    match is_json {
        true => println!(
            "{}",
            json!(rows.iter().map(to_json).collect::<Vec<Value>>())
        ),
        false => print(&rows),
    }
}

fn measure(
    label: &'static str,
    unit: &'static str,
    scale: f64,
    cost: impl Fn(u32, u32) -> f64,
) -> Row {
    let median = |(servers, instances): &(u32, u32)| {
        let runs: Vec<f64> = (0..RUNS).map(|_| cost(*servers, *instances)).collect();
        crate::fit::min_median_max(&runs).1 * scale
    };
    Row {
        label,
        unit,
        values: SIZES.iter().map(median).collect(),
    }
}

fn print(rows: &[Row]) {
    let sizes = SIZES.map(|(servers, instances)| format!("{servers}, {instances}"));
    println!(
        "{:<34}{:>14}{:>14}{:>14}{:>14}  power",
        "servers, instances", sizes[0], sizes[1], sizes[2], sizes[3]
    );
    for row in rows {
        let values: Vec<String> = row.values.iter().map(|v| format!("{v:>14.3}")).collect();
        println!(
            "{:<34}{}  {:.2}",
            format!("{} [{}]", row.label, row.unit),
            values.concat(),
            row.power()
        );
    }
}

fn to_json(row: &Row) -> Value {
    json!({"cost": row.label, "unit": row.unit, "values": row.values, "power": row.power()})
}

fn server(number: u32, incarnation: u64) -> Server {
    Server {
        id: format!("s-{number}").parse().expect("a valid name"),
        serial: Serial(u64::from(number) << 20),
        service: "dispatch".parse().expect("a valid name"),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 80),
        zone: ZONES[number as usize % ZONES.len()]
            .parse()
            .expect("a valid name"),
        slots: 2,
        state: ServerState::Ready,
        incarnation: Some(Incarnation(incarnation)),
        cold_for: Duration::ZERO,
    }
}

fn listed(count: u32) -> Vec<Server> {
    (0..count).map(|number| server(number, 1)).collect()
}

fn servers_update(count: u32) -> StateUpdate {
    StateUpdate::Servers {
        listed: listed(count),
        unreadable: Vec::new(),
    }
}

fn member(number: u32) -> Member {
    Member {
        instance: format!("entry-{number}").parse().expect("a valid name"),
        zone: ZONES[number as usize % ZONES.len()]
            .parse()
            .expect("a valid name"),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a80_0000 + number), 80),
        link_mbps: Bandwidth(20.0),
    }
}

fn peers(count: u32) -> Vec<Peer> {
    let peer = |number| {
        let member = member(number);
        Peer {
            instance: member.instance,
            zone: member.zone,
        }
    };
    (0..count).map(peer).collect()
}

fn empty_plane() -> DataPlane {
    DataPlane::new(Options {
        instance: "entry-0".parse().expect("a valid name"),
        zone: ZONES[0].parse().expect("a valid name"),
        spill: 2.5,
        balancing: Default::default(),
        flow_ttl: Duration::from_secs(3_600),
        idle_timeout: Duration::from_secs(3_600),
        max_flows: 64_000,
        seed: 1,
    })
}

/// A plane with these servers and instances, whose cold servers have a rate limit.
fn plane(now: Instant, servers: u32, instances: u32, cold_rate: f64) -> DataPlane {
    let service: godwitreel::id::Service = "dispatch".parse().expect("a valid name");
    let route = Route {
        name: "dispatch".to_owned(),
        backends: vec![Backend {
            service: service.clone(),
            weight: 1,
        }],
        class: None,
    };
    let warmup = Warmup {
        duration: Duration::from_secs(2),
        rate: cold_rate,
    };
    let routes = Routes {
        version: 1,
        by_address: [(SERVICE, route)].into_iter().collect(),
        idle_timeout: Duration::from_secs(3_600),
        warmups: [(service, warmup)].into_iter().collect(),
        invalid_classes: Vec::new(),
    };
    let mut plane = empty_plane();
    plane.apply(now, StateUpdate::Routes(routes));
    plane.apply(now, StateUpdate::Peers(peers(instances)));
    plane.apply(now, servers_update(servers));
    plane
}

fn seconds(work: impl FnOnce()) -> f64 {
    let begin = Clock::now();
    work();
    begin.elapsed().as_secs_f64()
}

fn first_list(servers: u32, _: u32) -> f64 {
    let (mut plane, update) = (empty_plane(), servers_update(servers));
    seconds(|| {
        plane.apply(Instant::now(), update);
    })
}

fn same_list(servers: u32, instances: u32) -> f64 {
    let now = Instant::now();
    let (mut plane, update) = (plane(now, servers, instances, 0.0), servers_update(servers));
    seconds(|| {
        plane.apply(now, update);
    })
}

/// Time of one of many single updates.
fn single_updates(servers: u32, instances: u32, update: impl Fn(u32) -> StateUpdate) -> f64 {
    let now = Instant::now();
    let mut plane = plane(now, servers, instances, 0.0);
    let updates: Vec<StateUpdate> = (0..CHANGES).map(update).collect();
    let total = seconds(|| {
        for update in updates {
            plane.apply(now, update);
        }
    });
    total / f64::from(CHANGES)
}

fn new_server(servers: u32, instances: u32) -> f64 {
    single_updates(servers, instances, |number| {
        StateUpdate::Server(server(servers + number, 2))
    })
}

fn restarted_server(servers: u32, instances: u32) -> f64 {
    single_updates(servers, instances, |number| {
        StateUpdate::Server(server(number * (servers / CHANGES), 2))
    })
}

fn peers_change(servers: u32, instances: u32, cold_rate: f64) -> f64 {
    let now = Instant::now();
    let mut plane = plane(now, servers, instances, cold_rate);
    let changed = StateUpdate::Peers(peers(instances + 1));
    seconds(|| {
        plane.apply(now, changed);
    })
}

fn timers(servers: u32, instances: u32) -> f64 {
    let now = Instant::now();
    let mut plane = plane(now, servers, instances, 0.0);
    let total = seconds(|| {
        for tick in 1..=CHANGES {
            black_box(plane.expire(now + Duration::from_millis(50) * tick));
        }
    });
    total / f64::from(CHANGES)
}

fn new_flow(servers: u32, instances: u32) -> f64 {
    let now = Instant::now();
    let mut plane = plane(now, servers, instances, 0.0);
    let opening = |port: u32| Segment {
        flow_key: FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024 + port as u16),
            service: SERVICE,
        },
        flags: Flags {
            syn: true,
            ..Flags::default()
        },
        seq: port,
        ack: 0,
        len: 0,
        tag: Tag::NONE,
    };
    let total = seconds(|| {
        for port in 0..CHANGES {
            black_box(plane.receive(now, &opening(port), b"packet"));
        }
    });
    total / f64::from(CHANGES)
}

fn upstreams(_: u32, instances: u32) -> f64 {
    let members: Vec<Member> = (0..instances).map(member).collect();
    let me = &members[instances as usize / 2];
    seconds(|| {
        black_box(candidates(&me.instance, &me.zone, &members));
    })
}

/// Uncompressed bytes that a subscriber in contact is sent when a share of the servers
/// leaves at once.
fn bytes_of_removal(servers: u32, _: u32) -> f64 {
    let entry = |number: u32| Entry {
        key: format!("servers/s-{number:08}"),
        value: Bytes::from(vec![b'x'; 150]),
        mod_revision: u64::from(number) + 1,
    };
    let entries: Vec<Entry> = (0..servers).map(entry).collect();
    let mut copy = StoreCopy::default();
    let revision = u64::from(servers);
    copy.reset(&entries, revision);
    let request = SubscribeRequest {
        synced_revision: Some(revision),
        ..SubscribeRequest::default()
    };
    let mut outbox = Outbox::new(&request, Vec::new());
    let pack = |value: &godwitreel::replica::BaseValue, _: Option<&_>| Ok(value.value.clone());
    // The subscriber has everything before the servers leave.
    let _ = outbox.compose(&copy, Some(0), &pack, |_| true);
    let removed = entries
        .iter()
        .take((servers * REMOVED_PERCENT / 100) as usize);
    let deletions = removed.enumerate().map(|(number, entry)| Change::Delete {
        key: entry.key.clone(),
        mod_revision: revision + number as u64 + 1,
    });
    copy.apply(deletions.collect(), revision + u64::from(servers));
    let mut bytes = 0;
    loop {
        let message = outbox.compose(&copy, Some(0), &pack, |_| true);
        let message = message.expect("no compression");
        bytes += prost::Message::encoded_len(&message);
        if !message.has_more && !outbox.has_parts() {
            return bytes as f64;
        }
    }
}
