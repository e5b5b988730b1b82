//! Processor time of a packet's decision, with 64,000 flows and 150 servers.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use godwitreel::flow::Backend;
use godwitreel::flow::DataPlane;
use godwitreel::flow::Flags;
use godwitreel::flow::FlowKey;
use godwitreel::flow::Options;
use godwitreel::flow::Route;
use godwitreel::flow::Routes;
use godwitreel::flow::Segment;
use godwitreel::flow::Serial;
use godwitreel::flow::Server;
use godwitreel::flow::ServerState;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::Tag;
use godwitreel::flow::Verdict;
use tokio::time::Instant;

const FLOWS: u32 = 64_000;
const SERVERS: u32 = 150;
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn server(number: u32) -> Server {
    Server {
        id: format!("s-{number}").parse().expect("a name"),
        serial: Serial(u64::from(number) << 20),
        service: "dispatch".parse().expect("a name"),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 80),
        zone: if number.is_multiple_of(4) {
            "bole"
        } else {
            "ayat"
        }
        .parse()
        .expect("a name"),
        slots: 2,
        state: ServerState::Ready,
        incarnation: None,
        cold_for: Duration::ZERO,
    }
}

fn plane(now: Instant) -> DataPlane {
    let mut plane = DataPlane::new(Options {
        instance: "entry-1".parse().expect("a name"),
        zone: "bole".parse().expect("a name"),
        spill: 2.5,
        flow_ttl: Duration::from_secs(3_600),
        idle_timeout: Duration::from_secs(3_600),
        max_flows: 2 * FLOWS as usize,
        seed: 1,
    });
    let backend = Backend {
        service: "dispatch".parse().expect("a name"),
        weight: 1,
    };
    let route = Route {
        name: "feed".to_owned(),
        backends: vec![backend],
    };
    plane.apply(
        now,
        StateUpdate::Routes(Routes {
            version: 1,
            by_address: [(SERVICE, route)].into(),
            idle_timeout: Duration::from_secs(3_600),
            warmups: Default::default(),
        }),
    );
    plane.apply(
        now,
        StateUpdate::Servers {
            listed: (0..SERVERS).map(server).collect(),
            unreadable: Vec::new(),
        },
    );
    plane
}

fn segment(caller: u32, flags: Flags, tag: Tag) -> Segment {
    Segment {
        flow_key: FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + caller), 4_000),
            service: SERVICE,
        },
        flags,
        seq: 1_000,
        ack: 2_000,
        len: 0,
        tag,
    }
}

fn opening(caller: u32) -> Segment {
    let flags = Flags {
        syn: true,
        ..Flags::default()
    };
    segment(caller, flags, Tag::NONE)
}

fn later(caller: u32, tag: Tag) -> Segment {
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    segment(caller, flags, tag)
}

/// Opens a flow and gives back its tag.
fn open(plane: &mut DataPlane, now: Instant, caller: u32) -> Tag {
    let Verdict::Forward(target) = plane.receive(now, &opening(caller), &[0; 34]) else {
        panic!("refused");
    };
    plane.receive(now, &later(caller, target.tag), &[]);
    target.tag
}

/// A plane with all flows open, their tags, and the time of the last.
fn filled() -> (DataPlane, Vec<Tag>, Instant) {
    let mut at = Instant::now();
    let mut plane = plane(at);
    let mut tags = Vec::new();
    for caller in 0..FLOWS {
        at += Duration::from_millis(1);
        tags.push(open(&mut plane, at, caller));
    }
    plane.expire(at);
    plane.take_events();
    plane.take_timings();
    (plane, tags, at)
}

fn known(criterion: &mut Criterion) {
    let (mut plane, tags, now) = filled();
    let mut next = 0;
    criterion.bench_function("plane/known", |bencher| {
        bencher.iter(|| {
            next = (next + 7_919) % FLOWS;
            let segment = later(next, tags[next as usize]);
            black_box(plane.receive(now, &segment, &[]))
        });
    });
}

/// The opening packet alone; what ends its flow is not timed.
fn new(criterion: &mut Criterion) {
    let (mut plane, _, mut at) = filled();
    let mut next = FLOWS;
    criterion.bench_function("plane/new", |bencher| {
        bencher.iter_custom(|count| {
            let mut taken = Duration::ZERO;
            for _ in 0..count {
                next += 1;
                at += Duration::from_millis(1);
                let segment = opening(next);
                let begun = std::time::Instant::now();
                let verdict = black_box(plane.receive(at, &segment, &[0; 34]));
                taken += begun.elapsed();
                finish(&mut plane, at, next, verdict);
            }
            taken
        });
    });
}

/// The caller's answer to the server and its last packet.
fn finish(plane: &mut DataPlane, at: Instant, caller: u32, verdict: Verdict) {
    let Verdict::Forward(target) = verdict else {
        panic!("refused");
    };
    plane.receive(at, &later(caller, target.tag), &[]);
    let mut last = later(caller, target.tag);
    last.flags.fin = true;
    plane.receive(at, &last, &[]);
    if caller.is_multiple_of(256) {
        plane.take_events();
        plane.take_timings();
        plane.expire(at);
    }
}

fn whole(criterion: &mut Criterion) {
    let (mut plane, _, mut at) = filled();
    let mut next = FLOWS;
    // Opening packet, the next one and the last: a whole flow.
    criterion.bench_function("plane/whole_flow", |bencher| {
        bencher.iter(|| {
            next += 1;
            at += Duration::from_millis(1);
            let verdict = plane.receive(at, &opening(next), &[0; 34]);
            finish(&mut plane, at, next, verdict);
        });
    });
}

criterion_group!(all, known, new, whole);
criterion_main!(all);
