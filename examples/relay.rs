//! Measures real daemons on loopback under load, at a change, and at rest.
//!
//!     cargo build --release
//!     cargo run --release --example relay -- load
//!     cargo run --release --example relay -- change
//!     cargo run --release --example relay -- idle
//!     cargo run --release --example relay -- feeds
//!
//! `load` sends 5,000 new flows a second, four requests each, to one of three
//! instances; every fourth request is non-idempotent. `change` and `idle` watch
//! nine instances; so does `feeds`, with feeds open at every server of a user.

#[path = "utils/fit.rs"]
mod fit;
#[path = "utils/fleet.rs"]
mod fleet;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Fleet;
use godwitreel::id;
use godwitreel::request::Flow;
use godwitreel::table;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::sleep;
use tokio::time::timeout;

/// Runs of each measurement.
const RUNS: usize = 5;

/// Time of load in one run.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// New flows in a second.
const FLOWS: u32 = 5_000;

/// Requests of one flow.
const REQUESTS: u32 = 4;

/// Servers behind the instances.
const SERVERS: usize = 15;

/// Servers of one user, all services together.
const ALL_SERVERS: usize = 19;

/// Feeds opened at each instance, enough that each has some at every server.
const FEEDS: u32 = 200;

/// Time after which a request counts as unanswered.
const GIVE_UP: Duration = Duration::from_secs(2);

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("load") => fleet::run(load()),
        Some("change") => fleet::run(change()),
        Some("idle") => fleet::run(idle(SERVERS, 0)),
        Some("feeds") => fleet::run(idle(ALL_SERVERS, FEEDS)),
        _ => println!("usage: relay load|change|idle|feeds"),
    }
}

/// One answered request.
#[derive(Clone, Copy)]
struct Sample {
    relayed: bool,
    once: bool,
    latency: Option<Duration>,
}

async fn load() {
    let fleet = Fleet::start(3, 1_024, SERVERS).await;
    let table = Arc::new(fleet.table());
    let mut results: Vec<Run> = Vec::new();
    for number in 0..RUNS as u32 {
        let run = loaded(&fleet, &table, number).await;
        println!("run {number}: {run:?}");
        results.push(run);
        sleep(Duration::from_secs(1)).await;
    }
    let show = |what: &str, unit: &str, value: fn(&Run) -> f64| {
        let values: Vec<f64> = results.iter().map(value).collect();
        fit::report_spread(what, unit, &values);
    };
    show("requests sent", "/s", |run| run.requests);
    show("unanswered", "%", |run| run.unanswered_percent);
    show("GET at its home, median", "ms", |run| run.direct);
    show("GET relayed, median", "ms", |run| run.relayed);
    show("added by the relay, median", "ms", |run| {
        run.relayed - run.direct
    });
    show("POST at its home with backup, median", "ms", |run| run.once);
    show("control bytes of the loaded instance", "B/s", |run| {
        run.control_bytes
    });
    show("control bytes to each of its peers", "B/s", |run| {
        run.control_bytes / 2.0
    });
    show("processor of the loaded instance", "% of a core", |run| {
        run.cpu_percent
    });
    show("memory of the loaded instance", "MB", |run| run.megabytes);
}

/// Figures of one run under load.
#[derive(Clone, Copy, Debug)]
struct Run {
    requests: f64,
    unanswered_percent: f64,
    direct: f64,
    relayed: f64,
    once: f64,
    control_bytes: f64,
    cpu_percent: f64,
    megabytes: f64,
}

async fn loaded(fleet: &Fleet, table: &Arc<table::Table>, run: u32) -> Run {
    let entry = &fleet.daemons[0];
    let control = fleet.sent_bytes(entry, &fleet::CONTROL_KINDS).await;
    let processor = entry.processor_seconds();
    let start = Instant::now();
    let samples = flood(entry.listener, &entry.name, table, run).await;
    let seconds = start.elapsed().as_secs_f64();
    let control = fleet.sent_bytes(entry, &fleet::CONTROL_KINDS).await - control;
    let processor = entry.processor_seconds() - processor;
    let median = |relayed: bool, once: bool| {
        let same = |sample: &&Sample| sample.relayed == relayed && sample.once == once;
        let latencies = samples.iter().filter(same).filter_map(|s| s.latency);
        let latencies: Vec<f64> = latencies.map(|l| l.as_secs_f64() * 1e3).collect();
        if latencies.is_empty() {
            f64::NAN
        } else {
            fit::spread(&latencies).1
        }
    };
    let lost = samples.iter().filter(|sample| sample.latency.is_none());
    Run {
        requests: samples.len() as f64 / seconds,
        unanswered_percent: 100.0 * lost.count() as f64 / samples.len() as f64,
        direct: median(false, false),
        relayed: median(true, false),
        once: median(false, true),
        control_bytes: control / seconds,
        cpu_percent: 100.0 * processor / seconds,
        megabytes: entry.resident_kilobytes() / 1e3,
    }
}

/// Starts flows at a steady rate and collects their requests' fates.
async fn flood(to: SocketAddr, entry: &str, table: &Arc<table::Table>, run: u32) -> Vec<Sample> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let next = Arc::new(AtomicU32::new(run << 24));
    let start = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_millis(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut started = 0;
    while start.elapsed() < LOAD_TIME {
        ticks.tick().await;
        let due = (start.elapsed().as_secs_f64() * f64::from(FLOWS)) as u32;
        while started < due {
            started += 1;
            let (table, next) = (Arc::clone(table), Arc::clone(&next));
            tokio::spawn(flow(to, entry.to_owned(), table, next, sender.clone()));
        }
    }
    drop(sender);
    let mut samples = Vec::new();
    while let Some(sample) = receiver.recv().await {
        samples.push(sample);
    }
    samples
}

/// One caller: a socket of its own and a few requests, one after the other.
async fn flow(
    to: SocketAddr,
    entry: String,
    table: Arc<table::Table>,
    next: Arc<AtomicU32>,
    samples: mpsc::UnboundedSender<Sample>,
) {
    let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
        return;
    };
    let Ok(address) = socket.local_addr() else {
        return;
    };
    let flow = Flow {
        service: "dispatch".parse().expect("a legal name"),
        caller: id::Endpoint(address),
    };
    let row = table.row(table.slice(0, &flow));
    let home = row.home.as_ref().map(|home| home.instance.as_str());
    let relayed = home != Some(entry.as_str());
    for place in 0..REQUESTS {
        let token = next.fetch_add(1, Ordering::Relaxed);
        let once = place == REQUESTS - 1;
        let latency = request(&socket, to, token, once).await;
        let _ = samples.send(Sample {
            relayed,
            once,
            latency,
        });
    }
}

/// Sends one request; the time until its answer, if one comes.
async fn request(socket: &UdpSocket, to: SocketAddr, token: u32, once: bool) -> Option<Duration> {
    const TOKEN: std::ops::Range<usize> = 4..8;
    let token = token.to_be_bytes();
    let method = if once { 2 } else { 1 };
    let mut datagram = vec![0x44, method, token[2], token[3]];
    datagram.extend_from_slice(&token);
    datagram.extend_from_slice(b"\xb5route\xffwhere is the next pickup");
    let start = Instant::now();
    socket.send_to(&datagram, to).await.ok()?;
    let mut buffer = [0; 2_048];
    loop {
        let received = timeout(GIVE_UP, socket.recv_from(&mut buffer)).await;
        let (length, _) = received.ok()?.ok()?;
        if length >= TOKEN.end && buffer[TOKEN] == token && buffer[1] == 0x45 {
            return Some(start.elapsed());
        }
    }
}

/// Opens a feed; the socket keeps its caller's address.
async fn open_feed(to: SocketAddr, token: u32) -> Option<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?;
    let token = token.to_be_bytes();
    let mut datagram = vec![0x44, 1, token[2], token[3]];
    datagram.extend_from_slice(&token);
    datagram.extend_from_slice(b"\x60\x55route");
    socket.send_to(&datagram, to).await.ok()?;
    let mut buffer = [0; 2_048];
    let received = timeout(GIVE_UP, socket.recv_from(&mut buffer)).await;
    received.ok()?.ok()?;
    Some(socket)
}

async fn change() {
    let fleet = Fleet::start(9, 1_024, SERVERS).await;
    let mut times = Vec::new();
    for revision in 2..2 + 2 * RUNS as u64 {
        let start = Instant::now();
        fleet.change_profile(revision);
        for daemon in &fleet.daemons {
            in_force(&fleet, daemon, revision).await;
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    fit::report_spread("profile change in force at nine instances", "ms", &times);
}

async fn in_force(fleet: &Fleet, daemon: &fleet::Daemon, revision: u64) {
    for _ in 0..2_000 {
        let status = fleet.status(daemon).await;
        let known = status.and_then(|status| status.revisions.get("profiles/standard").copied());
        if known == Some(id::Revision(revision)) {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    println!("{}: revision {revision} was not in force", daemon.name);
}

async fn idle(servers: usize, feeds: u32) {
    let fleet = Fleet::start(9, 1_024, servers).await;
    let mut callers = Vec::new();
    for (place, daemon) in fleet.daemons.iter().enumerate() {
        for number in 0..feeds {
            let token = (place as u32) << 16 | number;
            callers.extend(open_feed(daemon.listener, token).await);
        }
    }
    println!("feeds opened: {}", callers.len());
    // A heartbeat after the last one opened has told the loads.
    sleep(Duration::from_secs(2)).await;
    let mut spent = Vec::new();
    for _ in 0..RUNS {
        spent.push(fleet.calm(Duration::from_secs(6)).await);
    }
    let show = |what: &str, unit: &str, value: fn(&fleet::Spent) -> f64| {
        let values: Vec<f64> = spent.iter().map(value).collect();
        fit::report_spread(what, unit, &values);
    };
    show("control bytes of an idle instance", "B/s", |s| {
        s.control_bytes
    });
    show("processor of an idle instance", "% of a core", |s| {
        s.cpu_percent
    });
    show("platform reads of an idle instance", "/s", |s| s.reads);
    show("platform calls for leases", "/s", |s| s.leases);
    let memory = fleet.daemons.iter().map(fleet::Daemon::resident_kilobytes);
    let memory: Vec<f64> = memory.map(|kilobytes| kilobytes / 1e3).collect();
    fit::report_spread("memory of an idle instance", "MB", &memory);
}
