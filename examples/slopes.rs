//! Measures how memory, processor time and bytes grow with the sizes.
//!
//!     cargo run --release --example slopes -- core
//!     cargo run --release --example slopes -- memory
//!     cargo run --release --example slopes -- fleet
//!
//! `core` drives the decision modules directly, of which `memory` is the first
//! part; `fleet` starts up to nine real
//! daemons on loopback, beside stand-ins for platform and backend servers. Build
//! the daemon first, with `cargo build --release`.

#[path = "utils/fit.rs"]
mod fit;
#[path = "utils/fixture.rs"]
mod fixture;
#[path = "utils/fleet.rs"]
mod fleet;

use std::alloc::System;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant as Clock;

use fixture::Core;
use godwitreel::control;
use godwitreel::control::Command;
use godwitreel::control::SlicePlanner;
use godwitreel::control::WriteResult;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::peer;
use godwitreel::peer::PeerMessage;
use godwitreel::request::Kind;
use godwitreel::snapshot::Snapshot;
use godwitreel::table;
use godwitreel::wire;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::StatsAlloc;
use tokio::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes allocated and not freed.
fn in_use() -> f64 {
    let stats = ALLOCATOR.stats();
    (stats.bytes_allocated as f64) - (stats.bytes_deallocated as f64)
}

/// Bytes that a value holds.
fn held<T>(make: impl FnOnce() -> T) -> f64 {
    let before = in_use();
    let value = make();
    let after = in_use();
    drop(value);
    after - before
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("memory") => memory(),
        Some("core") => {
            memory();
            configuration();
            control_memory();
            control_time();
            bytes();
        }
        Some("fleet") => fleet::run(fleet_slopes()),
        _ => println!("usage: slopes memory|core|fleet"),
    }
}

/// Sizes of the flow table.
const FLOWS: [u32; 4] = [50_000, 100_000, 200_000, 300_000];

/// New flows in a second of the core's time.
const PER_SECOND: u32 = 5_000;

/// Longer than any deadline, shorter than the silence of a feed.
const REST: Duration = Duration::from_secs(30);

/// A configuration under which nothing expires while the table is filled.
fn patient() -> Arc<Snapshot> {
    let mut config = fixture::config(1, fixture::SERVERS);
    let body = serde_json::json!({"slow_start_s": 0, "queue_per_slot": 1_000,
        "max_per_caller": 100_000, "max_in_progress": 1_000_000, "max_feeds": 1_000_000,
        "feed_silence_s": 3_600, "copy_lifetime_s": 600});
    let key = "godwitreel/profiles/standard".to_owned();
    config.put(&fixture::entry(key, 9, &fixture::envelope(2, &body)));
    Arc::new(config.snapshot())
}

fn memory() {
    let grown = |fill: &dyn Fn(&mut Core, u32)| -> Vec<(f64, f64)> {
        FLOWS
            .iter()
            .map(|count| {
                let mut core = Core::new("a", "b", 0);
                core.handle(Event::Snapshot(patient()));
                let before = in_use();
                fill(&mut core, *count);
                (f64::from(*count), in_use() - before)
            })
            .collect()
    };
    let feeds = grown(&|core, count| {
        for first in (0..count).step_by(PER_SECOND as usize) {
            core.open_feeds(first, PER_SECOND);
            core.advance(Duration::from_secs(1));
        }
        core.advance(REST);
    });
    fit::report("feed at its home", "bytes by feeds", &feeds);
    let copies = grown(&|core, count| keep_copies(core, count, fixture::feed_step));
    fit::report("feed at its backup", "bytes by feeds", &copies);
    let records = grown(&|core, count| settle(core, count));
    fit::report(
        "settled non-idempotent request at its home",
        "bytes by requests",
        &records,
    );
    let claims = grown(&|core, count| keep_copies(core, count, fixture::claim_step));
    fit::report("claim at its backup", "bytes by claims", &claims);
    let open = grown(&|core, count| {
        for number in 0..count {
            core.handle(core.request(number, 1, Kind::Idempotent));
        }
    });
    fit::report("idempotent request in progress", "bytes by requests", &open);
    let slices: Vec<(f64, f64)> = [1_024, 4_096, 8_192, 16_384]
        .iter()
        .map(|slices| {
            (
                f64::from(*slices),
                held(|| fixture::table(*slices, 1, "a", "b")),
            )
        })
        .collect();
    fit::report("slice table", "bytes by slices", &slices);
}

fn keep_copies(core: &mut Core, count: u32, step: fn(&Core, u32) -> peer::ReplicationStep) {
    // Copies are kept by the backup: another instance is home.
    core.handle(Event::Table(fixture::table(fixture::SLICES, 2, "b", "a")));
    for number in 0..count {
        let message = peer::ReplicationStep {
            epoch: 2,
            ..step(core, number)
        };
        let body = PeerMessage::ReplicationStep(message);
        let from = fixture::holder("b");
        core.handle(Event::Peer { from, body });
    }
}

fn settle(core: &mut Core, count: u32) {
    for number in 0..count {
        if number % PER_SECOND == 0 {
            core.advance(Duration::from_secs(1));
        }
        let claimed = core.handle(core.request(number, 1, Kind::NonIdempotent));
        let forwarded = core.acknowledge(&claimed);
        let sent = fixture::sent(&forwarded).expect("forwarded");
        core.handle(fixture::answer(sent, false));
    }
}

/// Services and servers, at the proportion of the design size.
const CONFIGURED: [(usize, usize); 4] = [(462, 800), (925, 1_600), (1_850, 3_200), (3_700, 6_400)];

fn configuration() {
    let by_servers = |measure: &dyn Fn(usize, usize) -> f64| -> Vec<(f64, f64)> {
        CONFIGURED
            .iter()
            .map(|(services, servers)| (*servers as f64, measure(*services, *servers)))
            .collect()
    };
    let bytes = by_servers(&|services, servers| held(|| fixture::config(services, servers)));
    fit::report(
        "configuration, services and servers together",
        "bytes by servers",
        &bytes,
    );
    let only: Vec<(f64, f64)> = CONFIGURED
        .iter()
        .map(|(services, _)| (*services as f64, held(|| fixture::config(*services, 1))))
        .collect();
    fit::report("configuration, services alone", "bytes by services", &only);
    let snapshot = by_servers(&|services, servers| {
        let config = fixture::config(services, servers);
        held(|| config.snapshot())
    });
    fit::report("snapshot", "bytes by servers", &snapshot);
    let time = by_servers(&|services, servers| {
        let config = fixture::config(services, servers);
        median_time(9, || drop(config.snapshot())) * 1e3
    });
    fit::report("time to build a snapshot", "ms by servers", &time);
    let time = by_servers(&|services, servers| {
        let config = fixture::config(services, servers);
        median_time(9, || {
            std::hint::black_box(config.digest());
        }) * 1e3
    });
    fit::report(
        "time of the digest, taken at each heartbeat",
        "ms by servers",
        &time,
    );
}

/// Median time of a call, in seconds.
fn median_time(runs: usize, mut call: impl FnMut()) -> f64 {
    let times: Vec<f64> = (0..runs)
        .map(|_| {
            let start = Clock::now();
            call();
            start.elapsed().as_secs_f64()
        })
        .collect();
    fit::spread(&times).1
}

fn load(server: u32) -> peer::Load {
    peer::Load {
        server: server.wrapping_mul(0x9e37_79b9),
        outstanding: 2,
        feeds: 900,
    }
}

fn heartbeat(number: usize, loads: usize) -> peer::Heartbeat {
    let ip = Ipv4Addr::from(0x0a09_0000 | number as u32);
    peer::Heartbeat {
        zone: format!("zone-{}", number % 8),
        address: SocketAddr::new(ip.into(), 7_000).to_string(),
        leaving: false,
        digest: 0x0123_4567_89ab_cdef,
        loads: Some((0..loads as u32).map(load).collect()),
        loads_omitted: false,
    }
}

/// A control task's decisions with so many peers, all slices placed evenly.
fn controller(now: Instant, slices: u32, peers: usize) -> SlicePlanner {
    let mut control = SlicePlanner::new(
        control::Settings {
            me: fixture::holder("i0"),
            zone: fixture::name("zone-0"),
            address: fixture::caller(0),
            slices,
            suspect_after: Duration::from_secs(3),
            isolation_limit: Duration::from_secs(1_800),
            recordless_takeover_wait: Duration::from_secs(1_980),
        },
        now,
    );
    control.contact(now);
    for number in 1..peers {
        let from = fixture::holder(&format!("i{number}"));
        control.heartbeat(now, &from, &heartbeat(number, 0));
    }
    for number in 0..slices.div_ceil(table::ROWS_PER_DOCUMENT) {
        let document = table::Document {
            write_id: String::new(),
            rows: rows(number, peers),
        };
        let value = serde_json::to_value(&document).expect("document");
        let key = format!("{}{number}", control::SLICES_PREFIX);
        control.apply_entry(now, &fixture::entry(key, 1, &value));
    }
    control
}

fn rows(document: u32, peers: usize) -> Vec<table::Row> {
    let first = document * table::ROWS_PER_DOCUMENT;
    (first..first + table::ROWS_PER_DOCUMENT)
        .map(|slice| table::Row {
            epoch: id::Epoch(1),
            home: Some(fixture::holder(&format!("i{}", slice as usize % peers))),
            backup: Some(fixture::holder(&format!(
                "i{}",
                (slice as usize + 1) % peers
            ))),
            records_lost: false,
        })
        .collect()
}

/// Instances, this one included.
const PEERS: [usize; 5] = [9, 64, 256, 600, 1_100];

const SLICES: [u32; 5] = [1_024, 2_048, 4_096, 8_192, 16_384];

fn control_memory() {
    let now = Instant::now();
    let with = |count: usize| held(|| controller(now, 1_024, count));
    let points: Vec<(f64, f64)> = PEERS.iter().map(|p| (*p as f64, with(*p))).collect();
    fit::report(
        "control task's state, 1024 slices",
        "bytes by peers",
        &points,
    );
    let guard: Vec<(f64, f64)> = PEERS
        .iter()
        .map(|count| {
            let bytes = held(|| {
                let mut guard = wire::ReplayGuard::default();
                for number in 0..*count {
                    guard.admit(&fixture::holder(&format!("i{number}")), 1);
                }
                guard
            });
            (*count as f64, bytes)
        })
        .collect();
    fit::report("replay guard", "bytes by peers", &guard);
}

/// Time of one look of the planner in calm.
fn tick_time(slices: u32, peers: usize) -> f64 {
    let now = Instant::now();
    let mut control = controller(now, slices, peers);
    let later = now + Duration::from_secs(1);
    for _ in 0..3 {
        settle_writes(&mut control, later);
    }
    median_time(15, || drop(std::hint::black_box(control.tick(later)))) * 1e6
}

/// Lets writes end, so that the next look is one in calm.
fn settle_writes(control: &mut SlicePlanner, now: Instant) {
    for command in control.tick(now) {
        if let Command::Write { document, .. } = command {
            control.write_finished(now, document, WriteResult::Lost(None));
        }
    }
}

fn control_time() {
    let by_slices = |peers: usize| -> Vec<(f64, f64)> {
        SLICES
            .iter()
            .map(|s| (f64::from(*s), tick_time(*s, peers)))
            .collect()
    };
    fit::report(
        "look of the planner, 9 instances",
        "us by slices",
        &by_slices(9),
    );
    fit::report(
        "look of the planner, 1100 instances",
        "us by slices",
        &by_slices(1_100),
    );
    let by_peers: Vec<(f64, f64)> = PEERS
        .iter()
        .map(|p| (*p as f64, tick_time(1_024, *p)))
        .collect();
    fit::report("look of the planner, 1024 slices", "us by peers", &by_peers);
    let by_peers: Vec<(f64, f64)> = PEERS
        .iter()
        .map(|p| (*p as f64, tick_time(16_384, *p)))
        .collect();
    fit::report(
        "look of the planner, 16384 slices",
        "us by peers",
        &by_peers,
    );
    let taken: Vec<(f64, f64)> = PEERS
        .iter()
        .map(|peers| {
            let now = Instant::now();
            let mut control = controller(now, 1_024, *peers);
            let from = fixture::holder("i1");
            let message = heartbeat(1, 0);
            let times = median_time(15, || {
                for _ in 0..100 {
                    control.heartbeat(now, &from, &message);
                }
            });
            (*peers as f64, times * 1e4)
        })
        .collect();
    fit::report("heartbeat taken by the planner", "us by peers", &taken);
    let listed: Vec<(f64, f64)> = PEERS
        .iter()
        .map(|peers| {
            let now = Instant::now();
            let control = controller(now, 1_024, *peers);
            let look = || {
                let live: BTreeSet<id::Instance> = control
                    .peers()
                    .into_iter()
                    .filter(|(member, _)| control.is_live(now, &member.holder))
                    .map(|(member, _)| member.holder.instance)
                    .collect();
                drop(std::hint::black_box(live));
            };
            (*peers as f64, median_time(15, look) * 1e6)
        })
        .collect();
    fit::report(
        "list of live peers, made at a look after heartbeats",
        "us by peers",
        &listed,
    );
}

/// Length of a frame with this body.
fn frame(body: PeerMessage) -> f64 {
    let keys = wire::Keys::new([&[7u8; 32][..]]).expect("keys");
    let envelope = wire::Envelope {
        from: fixture::holder("bole-1").to_string(),
        to: "kality-2".to_owned(),
        sequence: 1 << 20,
        body: Some(body),
    };
    wire::sign_frame(&keys, &envelope).len() as f64
}

fn bytes() {
    let core = Core::new("a", "b", 0);
    let loads: Vec<(f64, f64)> = [0, 8, 16, 32]
        .iter()
        .map(|loads| {
            (
                *loads as f64,
                frame(PeerMessage::Heartbeat(heartbeat(1, *loads))),
            )
        })
        .collect();
    fit::report("heartbeat frame", "bytes by loads", &loads);
    let rows: Vec<(f64, f64)> = [64, 128, 256, 1_024]
        .iter()
        .map(|count| {
            let rows = (0..4).flat_map(|document| rows(document, 9)).take(*count);
            let write_id = "bole-1#1733000000000000-0123456789abcdef".to_owned();
            let rows: Vec<table::Row> = rows.collect();
            let document = table::Document { write_id, rows };
            let value = serde_json::to_vec(&document).expect("document");
            (*count as f64, value.len() as f64)
        })
        .collect();
    fit::report("slice table document", "bytes by rows", &rows);
    let join = |step: fn(&Core, u32) -> peer::ReplicationStep| -> Vec<(f64, f64)> {
        [1_000, 2_000, 5_000, 10_000]
            .iter()
            .map(|count| {
                let steps = (0..*count)
                    .map(|number| frame(PeerMessage::ReplicationStep(step(&core, number))));
                let acknowledgement = frame(PeerMessage::ReplicationAck(peer::ReplicationAck {
                    slice: 1_000,
                    epoch: 3,
                    number: 1 << 20,
                }));
                (
                    f64::from(*count),
                    steps.sum::<f64>() + f64::from(*count) * acknowledgement,
                )
            })
            .collect()
    };
    fit::report(
        "copy of feeds with acknowledgements",
        "bytes by feeds",
        &join(fixture::feed_step),
    );
    fit::report(
        "copy of claims with acknowledgements",
        "bytes by claims",
        &join(fixture::claim_step),
    );
    let yielded: Vec<(f64, f64)> = [16, 64, 256, 1_024]
        .iter()
        .map(|count| {
            let slices = (0..*count).collect();
            (
                f64::from(*count),
                frame(PeerMessage::TakeoverRequest(peer::TakeoverRequest {
                    slices,
                })),
            )
        })
        .collect();
    fit::report("request to take slices over", "bytes by slices", &yielded);
    let pull: Vec<(f64, f64)> = [(58, 100), (462, 800), (1_850, 3_200), (3_700, 6_400)]
        .iter()
        .map(|(services, servers)| {
            let config = fixture::config(*services, *servers);
            let have = config.shared().map(|entry| peer::Version {
                key: entry.key.clone(),
                modified: entry.mod_revision,
            });
            let have = have.collect();
            (
                *servers as f64,
                frame(PeerMessage::ConfigRequest(peer::ConfigRequest {
                    known_versions: have,
                })),
            )
        })
        .collect();
    fit::report(
        "question for copies, services and servers together",
        "bytes by servers",
        &pull,
    );
}

async fn fleet_slopes() {
    let mut idle = Vec::new();
    let mut calls = Vec::new();
    for count in [3, 5, 7, 9] {
        let mut fleet = fleet::Fleet::start(count, 1_024, 0).await;
        let calm = fleet.calm(Duration::from_secs(10)).await;
        idle.push((count as f64, calm.heartbeat_bytes));
        calls.push((count as f64, calm.calls));
        println!("{count} instances in calm: {calm:?}");
        let change = fleet.watch_bytes().await;
        println!("{count} instances: watch bytes per change {change:?}");
        let takeover = fleet.takeover().await;
        println!(
            "{count} instances: killed one, platform calls and writes until settled {takeover:?}"
        );
        let replaced = fleet.replace().await;
        println!(
            "{count} instances: replaced one, platform calls and writes until settled {replaced:?}"
        );
    }
    fit::report(
        "heartbeats sent",
        "bytes per instance and second by instances",
        &idle,
    );
    fit::report(
        "platform calls in calm",
        "calls per instance and second by instances",
        &calls,
    );
}
