//! Processor time of a packet's decision, with 64,000 flows and 150 servers.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use godwitreel::flow::Backend;
use godwitreel::flow::Belief;
use godwitreel::flow::Flags;
use godwitreel::flow::Options;
use godwitreel::flow::Pair;
use godwitreel::flow::Plane;
use godwitreel::flow::Presence;
use godwitreel::flow::Route;
use godwitreel::flow::Routes;
use godwitreel::flow::Segment;
use godwitreel::flow::Serial;
use godwitreel::flow::Server;
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
        presence: Presence::Ready,
        cold_for: Duration::ZERO,
    }
}

fn plane(now: Instant) -> Plane {
    let mut plane = Plane::new(Options {
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
    plane.learn(
        now,
        Belief::Routes(Routes {
            version: 1,
            by_address: [(SERVICE, route)].into(),
            idle_timeout: Duration::from_secs(3_600),
        }),
    );
    plane.learn(
        now,
        Belief::Servers {
            listed: (0..SERVERS).map(server).collect(),
            unreadable: Vec::new(),
        },
    );
    plane
}

fn segment(caller: u32, flags: Flags, tag: Tag) -> Segment {
    Segment {
        pair: Pair {
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
fn open(plane: &mut Plane, now: Instant, caller: u32) -> Tag {
    let Verdict::Forward(target) = plane.receive(now, &opening(caller), &[0; 34]) else {
        panic!("refused");
    };
    plane.receive(now, &later(caller, target.tag), &[]);
    target.tag
}

fn known(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut plane = plane(now);
    let tags: Vec<Tag> = (0..FLOWS).map(|n| open(&mut plane, now, n)).collect();
    plane.take_notes();
    let mut next = 0;
    criterion.bench_function("plane/known", |bencher| {
        bencher.iter(|| {
            next = (next + 7_919) % FLOWS;
            let segment = later(next, tags[next as usize]);
            black_box(plane.receive(now, &segment, &[]))
        });
    });
}

fn new(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut plane = plane(now);
    for caller in 0..FLOWS {
        open(&mut plane, now, caller);
    }
    let mut next = FLOWS;
    let mut at = now;
    // Opening packet, the next one and the last: a whole flow.
    criterion.bench_function("plane/whole_flow", |bencher| {
        bencher.iter(|| {
            next += 1;
            at += Duration::from_millis(1);
            let tag = open(&mut plane, at, next);
            let mut last = later(next, tag);
            last.flags.fin = true;
            plane.receive(at, &last, &[]);
            if next.is_multiple_of(256) {
                plane.take_notes();
                plane.take_timings();
                plane.expire(at);
            }
            black_box(tag)
        });
    });
}

criterion_group!(all, known, new);
criterion_main!(all);
