//! Measures how memory, processor time and message sizes grow with the size of the deployment.
//!
//!     cargo run --release --example slopes -- core
//!     cargo run --release --example slopes -- memory
//!     cargo run --release --example slopes -- fleet
//!     cargo run --release --example slopes -- entry [--json]
//!
//! `entry` measures an instance of the users' platform at four sizes, up to 20,000 servers
//! and 2,000 instances, and the growth between the last two. `core` calls the engine and the slice planner directly; `memory` runs only the first
//! part of it. `fleet` starts up to nine real daemons on loopback, with stand-ins for
//! the platform and the backend servers. Build the daemon first, with
//! `cargo build --release`.

#[path = "utils/entry.rs"]
mod entry;
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

use fixture::EngineFixture;
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

/// Bytes that a value keeps allocated.
fn allocated_bytes<T>(make: impl FnOnce() -> T) -> f64 {
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
            message_sizes();
        }
        Some("fleet") => fleet::run(fleet_slopes()),
        Some("entry") => entry::run(std::env::args().any(|argument| argument == "--json")),
        _ => println!("usage: slopes memory|core|fleet|entry [--json]"),
    }
}

/// Numbers of flows at which the memory is measured.
const FLOW_COUNTS: [u32; 4] = [50_000, 100_000, 200_000, 300_000];

/// New flows per second of the engine's virtual time.
const FLOWS_PER_SECOND: u32 = 5_000;

/// Longer than any deadline, shorter than the time after which a feed counts as silent.
const EXPIRY: Duration = Duration::from_secs(30);

/// A configuration under which no record expires while the flow table is filled.
fn long_lived_snapshot() -> Arc<Snapshot> {
    let mut config = fixture::config(1, fixture::SERVERS);
    let body = serde_json::json!({"slow_start_s": 0, "queue_per_slot": 1_000,
        "max_per_caller": 100_000, "max_in_progress": 1_000_000, "max_feeds": 1_000_000,
        "feed_silence_s": 3_600, "copy_lifetime_s": 600});
    let key = "godwitreel/profiles/standard".to_owned();
    config.put(&fixture::entry(key, 9, &fixture::envelope(2, &body)));
    Arc::new(config.snapshot())
}

fn memory() {
    let growth = |fill: &dyn Fn(&mut EngineFixture, u32)| -> Vec<(f64, f64)> {
        FLOW_COUNTS
            .iter()
            .map(|count| {
                let mut engine = EngineFixture::new("a", "b", 0);
                engine.handle(Event::Snapshot(long_lived_snapshot()));
                let before = in_use();
                fill(&mut engine, *count);
                (f64::from(*count), in_use() - before)
            })
            .collect()
    };
    let feeds = growth(&|engine, count| {
        for first in (0..count).step_by(FLOWS_PER_SECOND as usize) {
            engine.open_feeds(first, FLOWS_PER_SECOND);
            engine.advance(Duration::from_secs(1));
        }
        engine.advance(EXPIRY);
    });
    fit::report_fit("feed at its home", "bytes by feeds", &feeds);
    let copies = growth(&|engine, count| replicate_to_backup(engine, count, fixture::feed_step));
    fit::report_fit("feed at its backup", "bytes by feeds", &copies);
    let records = growth(&|engine, count| finish_requests(engine, count));
    fit::report_fit(
        "finished non-idempotent request at its home",
        "bytes by requests",
        &records,
    );
    let claims = growth(&|engine, count| replicate_to_backup(engine, count, fixture::claim_step));
    fit::report_fit("claim at its backup", "bytes by claims", &claims);
    let open = growth(&|engine, count| {
        for number in 0..count {
            engine.handle(engine.request(number, 1, Kind::Idempotent));
        }
    });
    fit::report_fit("idempotent request in progress", "bytes by requests", &open);
    let slices: Vec<(f64, f64)> = [1_024, 4_096, 8_192, 16_384]
        .iter()
        .map(|slices| {
            (
                f64::from(*slices),
                allocated_bytes(|| fixture::table(*slices, 1, "a", "b")),
            )
        })
        .collect();
    fit::report_fit("slice table", "bytes by slices", &slices);
}

fn replicate_to_backup(
    engine: &mut EngineFixture,
    count: u32,
    step: fn(&EngineFixture, u32) -> peer::ReplicationStep,
) {
    // Only a backup accepts copies, so another instance is home.
    engine.handle(Event::Table(fixture::table(fixture::SLICES, 2, "b", "a")));
    for number in 0..count {
        let message = peer::ReplicationStep {
            epoch: 2,
            ..step(engine, number)
        };
        let body = PeerMessage::ReplicationStep(message);
        let from = fixture::holder("b");
        engine.handle(Event::Peer { from, body });
    }
}

fn finish_requests(engine: &mut EngineFixture, count: u32) {
    for number in 0..count {
        if number % FLOWS_PER_SECOND == 0 {
            engine.advance(Duration::from_secs(1));
        }
        let claimed = engine.handle(engine.request(number, 1, Kind::NonIdempotent));
        let forwarded = engine.acknowledge(&claimed);
        let sent = fixture::first_forwarded(&forwarded).expect("forwarded");
        engine.handle(fixture::answer(sent, false));
    }
}

/// Numbers of services and servers, in the proportion that the system is designed for.
const CONFIG_SIZES: [(usize, usize); 4] =
    [(462, 800), (925, 1_600), (1_850, 3_200), (3_700, 6_400)];

fn configuration() {
    let by_servers = |measure: &dyn Fn(usize, usize) -> f64| -> Vec<(f64, f64)> {
        CONFIG_SIZES
            .iter()
            .map(|(services, servers)| (*servers as f64, measure(*services, *servers)))
            .collect()
    };
    let bytes =
        by_servers(&|services, servers| allocated_bytes(|| fixture::config(services, servers)));
    fit::report_fit(
        "configuration, services and servers together",
        "bytes by servers",
        &bytes,
    );
    let services: Vec<(f64, f64)> = CONFIG_SIZES
        .iter()
        .map(|(services, _)| {
            (
                *services as f64,
                allocated_bytes(|| fixture::config(*services, 1)),
            )
        })
        .collect();
    fit::report_fit(
        "configuration, services only",
        "bytes by services",
        &services,
    );
    let snapshot = by_servers(&|services, servers| {
        let config = fixture::config(services, servers);
        allocated_bytes(|| config.snapshot())
    });
    fit::report_fit("snapshot", "bytes by servers", &snapshot);
    let time = by_servers(&|services, servers| {
        let config = fixture::config(services, servers);
        median_time(9, || drop(config.snapshot())) * 1e3
    });
    fit::report_fit("time to build a snapshot", "ms by servers", &time);
    let time = by_servers(&|services, servers| {
        let config = fixture::config(services, servers);
        median_time(9, || {
            std::hint::black_box(config.digest());
        }) * 1e3
    });
    fit::report_fit(
        "time of the digest, computed at each heartbeat",
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
    fit::min_median_max(&times).1
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

/// A slice planner that knows `peers` instances, with all slices placed evenly.
fn planner(now: Instant, slices: u32, peers: usize) -> SlicePlanner {
    let mut planner = SlicePlanner::new(
        control::Settings {
            me: fixture::holder("i0"),
            zone: fixture::parse_id("zone-0"),
            address: fixture::caller_address(0),
            slices,
            suspect_after: Duration::from_secs(3),
            isolation_limit: Duration::from_secs(1_800),
            recordless_takeover_wait: Duration::from_secs(1_980),
        },
        now,
    );
    planner.contact(now);
    for number in 1..peers {
        let from = fixture::holder(&format!("i{number}"));
        planner.heartbeat(now, &from, &heartbeat(number, 0));
    }
    for number in 0..slices.div_ceil(table::ROWS_PER_DOCUMENT) {
        let document = table::Document {
            write_id: String::new(),
            rows: rows(number, peers),
        };
        let value = serde_json::to_value(&document).expect("document");
        let key = format!("{}{number}", control::SLICES_PREFIX);
        planner.apply_entry(now, &fixture::entry(key, 1, &value));
    }
    planner
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

/// Numbers of instances, the planner's own included.
const INSTANCE_COUNTS: [usize; 5] = [9, 64, 256, 600, 1_100];

const SLICE_COUNTS: [u32; 5] = [1_024, 2_048, 4_096, 8_192, 16_384];

fn control_memory() {
    let now = Instant::now();
    let bytes = |count: usize| allocated_bytes(|| planner(now, 1_024, count));
    let points: Vec<(f64, f64)> = INSTANCE_COUNTS
        .iter()
        .map(|p| (*p as f64, bytes(*p)))
        .collect();
    fit::report_fit(
        "control task's state, 1024 slices",
        "bytes by peers",
        &points,
    );
    let guard: Vec<(f64, f64)> = INSTANCE_COUNTS
        .iter()
        .map(|count| {
            let bytes = allocated_bytes(|| {
                let mut guard = wire::ReplayGuard::default();
                for number in 0..*count {
                    guard.admit(&fixture::holder(&format!("i{number}")), 1);
                }
                guard
            });
            (*count as f64, bytes)
        })
        .collect();
    fit::report_fit("replay guard", "bytes by peers", &guard);
}

/// Time in microseconds of a planner tick at which nothing has changed.
fn tick_time(slices: u32, peers: usize) -> f64 {
    let now = Instant::now();
    let mut planner = planner(now, slices, peers);
    let later = now + Duration::from_secs(1);
    for _ in 0..3 {
        complete_writes(&mut planner, later);
    }
    median_time(15, || drop(std::hint::black_box(planner.tick(later)))) * 1e6
}

/// Completes the planner's writes, so that none is pending at the next tick.
fn complete_writes(planner: &mut SlicePlanner, now: Instant) {
    for command in planner.tick(now) {
        if let Command::Write { document, .. } = command {
            planner.write_finished(now, document, WriteResult::Lost(None));
        }
    }
}

fn control_time() {
    let by_slices = |peers: usize| -> Vec<(f64, f64)> {
        SLICE_COUNTS
            .iter()
            .map(|s| (f64::from(*s), tick_time(*s, peers)))
            .collect()
    };
    fit::report_fit("planner tick, 9 instances", "us by slices", &by_slices(9));
    fit::report_fit(
        "planner tick, 1100 instances",
        "us by slices",
        &by_slices(1_100),
    );
    let by_peers: Vec<(f64, f64)> = INSTANCE_COUNTS
        .iter()
        .map(|p| (*p as f64, tick_time(1_024, *p)))
        .collect();
    fit::report_fit("planner tick, 1024 slices", "us by peers", &by_peers);
    let by_peers: Vec<(f64, f64)> = INSTANCE_COUNTS
        .iter()
        .map(|p| (*p as f64, tick_time(16_384, *p)))
        .collect();
    fit::report_fit("planner tick, 16384 slices", "us by peers", &by_peers);
    let taken: Vec<(f64, f64)> = INSTANCE_COUNTS
        .iter()
        .map(|peers| {
            let now = Instant::now();
            let mut planner = planner(now, 1_024, *peers);
            let from = fixture::holder("i1");
            let message = heartbeat(1, 0);
            let times = median_time(15, || {
                for _ in 0..100 {
                    planner.heartbeat(now, &from, &message);
                }
            });
            (*peers as f64, times * 1e4)
        })
        .collect();
    fit::report_fit("heartbeat handled by the planner", "us by peers", &taken);
    let listed: Vec<(f64, f64)> = INSTANCE_COUNTS
        .iter()
        .map(|peers| {
            let now = Instant::now();
            let planner = planner(now, 1_024, *peers);
            let list_live = || {
                let live: BTreeSet<id::Instance> = planner
                    .peers()
                    .into_iter()
                    .filter(|(member, _)| planner.is_live(now, &member.holder))
                    .map(|(member, _)| member.holder.instance)
                    .collect();
                drop(std::hint::black_box(live));
            };
            (*peers as f64, median_time(15, list_live) * 1e6)
        })
        .collect();
    fit::report_fit(
        "list of live peers, rebuilt at a tick after heartbeats",
        "us by peers",
        &listed,
    );
}

/// Length in bytes of a signed frame with the given body.
fn frame_len(body: PeerMessage) -> f64 {
    let keys = wire::Keys::new([&[7u8; 32][..]]).expect("keys");
    let envelope = wire::Envelope {
        from: fixture::holder("bole-1").to_string(),
        to: "kality-2".to_owned(),
        sequence: 1 << 20,
        body: Some(body),
    };
    wire::sign_frame(&keys, &envelope).len() as f64
}

fn message_sizes() {
    let engine = EngineFixture::new("a", "b", 0);
    let loads: Vec<(f64, f64)> = [0, 8, 16, 32]
        .iter()
        .map(|loads| {
            (
                *loads as f64,
                frame_len(PeerMessage::Heartbeat(heartbeat(1, *loads))),
            )
        })
        .collect();
    fit::report_fit("heartbeat frame", "bytes by loads", &loads);
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
    fit::report_fit("slice table document", "bytes by rows", &rows);
    let copy = |step: fn(&EngineFixture, u32) -> peer::ReplicationStep| -> Vec<(f64, f64)> {
        [1_000, 2_000, 5_000, 10_000]
            .iter()
            .map(|count| {
                let steps = (0..*count)
                    .map(|number| frame_len(PeerMessage::ReplicationStep(step(&engine, number))));
                let acknowledgement =
                    frame_len(PeerMessage::ReplicationAck(peer::ReplicationAck {
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
    fit::report_fit(
        "copy of feeds with acknowledgements",
        "bytes by feeds",
        &copy(fixture::feed_step),
    );
    fit::report_fit(
        "copy of claims with acknowledgements",
        "bytes by claims",
        &copy(fixture::claim_step),
    );
    let takeover: Vec<(f64, f64)> = [16, 64, 256, 1_024]
        .iter()
        .map(|count| {
            let slices = (0..*count).collect();
            (
                f64::from(*count),
                frame_len(PeerMessage::TakeoverRequest(peer::TakeoverRequest {
                    slices,
                })),
            )
        })
        .collect();
    fit::report_fit("request to take slices over", "bytes by slices", &takeover);
    let request: Vec<(f64, f64)> = [(58, 100), (462, 800), (1_850, 3_200), (3_700, 6_400)]
        .iter()
        .map(|(services, servers)| {
            let config = fixture::config(*services, *servers);
            let versions = config.shared().map(|entry| peer::Version {
                key: entry.key.clone(),
                modified: entry.mod_revision,
            });
            let versions = versions.collect();
            (
                *servers as f64,
                frame_len(PeerMessage::ConfigRequest(peer::ConfigRequest {
                    known_versions: versions,
                })),
            )
        })
        .collect();
    fit::report_fit(
        "configuration request, services and servers together",
        "bytes by servers",
        &request,
    );
}

async fn fleet_slopes() {
    let mut idle = Vec::new();
    let mut calls = Vec::new();
    for count in [3, 5, 7, 9] {
        let mut fleet = fleet::Fleet::start(count, 1_024, 0).await;
        let rates = fleet.measure_rates(Duration::from_secs(10)).await;
        idle.push((count as f64, rates.heartbeat_bytes));
        calls.push((count as f64, rates.calls));
        println!("{count} idle instances: {rates:?}");
        let change = fleet.watch_bytes().await;
        println!("{count} instances: watch bytes per change {change:?}");
        let takeover = fleet.kill_one().await;
        println!(
            "{count} instances: killed one, platform calls and writes until settled {takeover:?}"
        );
        let replaced = fleet.replace_one().await;
        println!(
            "{count} instances: replaced one, platform calls and writes until settled {replaced:?}"
        );
    }
    fit::report_fit(
        "heartbeats sent",
        "bytes per instance and second by instances",
        &idle,
    );
    fit::report_fit(
        "platform calls of idle instances",
        "calls per instance and second by instances",
        &calls,
    );
}
