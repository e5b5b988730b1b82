//! Measures real daemons on loopback: under load, at a configuration change and idle.
//!
//!     cargo build --release
//!     cargo run --release --example relay -- load
//!     cargo run --release --example relay -- change
//!     cargo run --release --example relay -- idle
//!     cargo run --release --example relay -- feeds
//!
//! `load` starts 5,000 new flows per second, four requests each, at one of three
//! instances; every fourth request is non-idempotent. `change`, `idle` and `feeds`
//! measure nine instances, `feeds` with feeds open at every server of a customer.

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

/// Duration of the load in one run.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// New flows per second.
const FLOWS_PER_SECOND: u32 = 5_000;

/// Requests per flow.
const REQUESTS_PER_FLOW: u32 = 4;

/// Backend servers of the service.
const SERVERS: usize = 15;

/// Backend servers of a customer, all services together.
const ALL_SERVERS: usize = 19;

/// Feeds opened at each instance; enough that each instance has some at every server.
const FEEDS_PER_INSTANCE: u32 = 200;

/// Time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("load") => fleet::run(load()),
        Some("change") => fleet::run(change()),
        Some("idle") => fleet::run(idle(SERVERS, 0)),
        Some("feeds") => fleet::run(idle(ALL_SERVERS, FEEDS_PER_INSTANCE)),
        _ => println!("usage: relay load|change|idle|feeds"),
    }
}

/// A request and its latency, if it was answered.
#[derive(Clone, Copy)]
struct Sample {
    relayed: bool,
    non_idempotent: bool,
    latency: Option<Duration>,
}

async fn load() {
    let fleet = Fleet::start(3, 1_024, SERVERS).await;
    let table = Arc::new(fleet.table());
    let mut results: Vec<Run> = Vec::new();
    for number in 0..RUNS as u32 {
        let run = measure_run(&fleet, &table, number).await;
        println!("run {number}: {run:?}");
        results.push(run);
        sleep(Duration::from_secs(1)).await;
    }
    let show = |label: &str, unit: &str, value: fn(&Run) -> f64| {
        let values: Vec<f64> = results.iter().map(value).collect();
        fit::report_spread(label, unit, &values);
    };
    show("requests sent", "/s", |run| run.requests);
    show("unanswered", "%", |run| run.unanswered_percent);
    show("GET at its home, median", "ms", |run| run.direct);
    show("GET relayed, median", "ms", |run| run.relayed);
    show("added by the relay, median", "ms", |run| {
        run.relayed - run.direct
    });
    show("POST at its home with backup, median", "ms", |run| {
        run.non_idempotent
    });
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

/// Results of one run under load.
#[derive(Clone, Copy, Debug)]
struct Run {
    requests: f64,
    unanswered_percent: f64,
    direct: f64,
    relayed: f64,
    non_idempotent: f64,
    control_bytes: f64,
    cpu_percent: f64,
    megabytes: f64,
}

async fn measure_run(fleet: &Fleet, table: &Arc<table::Table>, run: u32) -> Run {
    let entry = &fleet.daemons[0];
    let control = fleet.sent_bytes(entry, &fleet::CONTROL_KINDS).await;
    let processor = entry.processor_seconds();
    let start = Instant::now();
    let samples = run_flows(entry.listener, &entry.name, table, run).await;
    let seconds = start.elapsed().as_secs_f64();
    let control = fleet.sent_bytes(entry, &fleet::CONTROL_KINDS).await - control;
    let processor = entry.processor_seconds() - processor;
    let median = |relayed: bool, non_idempotent: bool| {
        let is_same_kind =
            |sample: &&Sample| sample.relayed == relayed && sample.non_idempotent == non_idempotent;
        let latencies = samples
            .iter()
            .filter(is_same_kind)
            .filter_map(|s| s.latency);
        let latencies: Vec<f64> = latencies.map(|l| l.as_secs_f64() * 1e3).collect();
        if latencies.is_empty() {
            f64::NAN
        } else {
            fit::min_median_max(&latencies).1
        }
    };
    let unanswered = samples.iter().filter(|sample| sample.latency.is_none());
    Run {
        requests: samples.len() as f64 / seconds,
        unanswered_percent: 100.0 * unanswered.count() as f64 / samples.len() as f64,
        direct: median(false, false),
        relayed: median(true, false),
        non_idempotent: median(false, true),
        control_bytes: control / seconds,
        cpu_percent: 100.0 * processor / seconds,
        megabytes: entry.resident_kilobytes() / 1e3,
    }
}

/// Starts flows at a steady rate and collects the samples of their requests.
async fn run_flows(
    to: SocketAddr,
    entry: &str,
    table: &Arc<table::Table>,
    run: u32,
) -> Vec<Sample> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let next = Arc::new(AtomicU32::new(run << 24));
    let start = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_millis(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut started = 0;
    while start.elapsed() < LOAD_TIME {
        ticks.tick().await;
        let due = (start.elapsed().as_secs_f64() * f64::from(FLOWS_PER_SECOND)) as u32;
        while started < due {
            started += 1;
            let (table, next) = (Arc::clone(table), Arc::clone(&next));
            tokio::spawn(run_flow(to, entry.to_owned(), table, next, sender.clone()));
        }
    }
    drop(sender);
    let mut samples = Vec::new();
    while let Some(sample) = receiver.recv().await {
        samples.push(sample);
    }
    samples
}

/// Sends the requests of one flow, one after the other, from a socket of its own.
async fn run_flow(
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
        service: "dispatch".parse().expect("a valid id"),
        caller: id::Endpoint(address),
    };
    let row = table.row(table.slice(0, &flow));
    let home = row.home.as_ref().map(|home| home.instance.as_str());
    let relayed = home != Some(entry.as_str());
    for index in 0..REQUESTS_PER_FLOW {
        let token = next.fetch_add(1, Ordering::Relaxed);
        let non_idempotent = index == REQUESTS_PER_FLOW - 1;
        let latency = request(&socket, to, token, non_idempotent).await;
        let _ = samples.send(Sample {
            relayed,
            non_idempotent,
            latency,
        });
    }
}

/// Sends a request and returns the time until its answer, or `None` after a timeout.
async fn request(
    socket: &UdpSocket,
    to: SocketAddr,
    token: u32,
    non_idempotent: bool,
) -> Option<Duration> {
    const TOKEN: std::ops::Range<usize> = 4..8;
    let token = token.to_be_bytes();
    let method = if non_idempotent { 2 } else { 1 };
    let mut datagram = vec![0x44, method, token[2], token[3]];
    datagram.extend_from_slice(&token);
    datagram.extend_from_slice(b"\xb5route\xffwhere is the next pickup");
    let start = Instant::now();
    socket.send_to(&datagram, to).await.ok()?;
    let mut buffer = [0; 2_048];
    loop {
        let received = timeout(ANSWER_TIMEOUT, socket.recv_from(&mut buffer)).await;
        let (length, _) = received.ok()?.ok()?;
        if length >= TOKEN.end && buffer[TOKEN] == token && buffer[1] == 0x45 {
            return Some(start.elapsed());
        }
    }
}

/// Opens a feed. The returned socket keeps the caller's address in use.
async fn open_feed(to: SocketAddr, token: u32) -> Option<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?;
    let token = token.to_be_bytes();
    let mut datagram = vec![0x44, 1, token[2], token[3]];
    datagram.extend_from_slice(&token);
    datagram.extend_from_slice(b"\x60\x55route");
    socket.send_to(&datagram, to).await.ok()?;
    let mut buffer = [0; 2_048];
    let received = timeout(ANSWER_TIMEOUT, socket.recv_from(&mut buffer)).await;
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
            wait_until_in_force(&fleet, daemon, revision).await;
        }
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    fit::report_spread("profile change in force at nine instances", "ms", &times);
}

async fn wait_until_in_force(fleet: &Fleet, daemon: &fleet::Daemon, revision: u64) {
    for _ in 0..2_000 {
        let status = fleet.status(daemon).await;
        let in_force = status.and_then(|status| status.revisions.get("profiles/standard").copied());
        if in_force == Some(id::Revision(revision)) {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    println!(
        "{}: revision {revision} did not take effect in time",
        daemon.name
    );
}

async fn idle(servers: usize, feeds: u32) {
    let fleet = Fleet::start(9, 1_024, servers).await;
    let mut callers = Vec::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        for number in 0..feeds {
            let token = (index as u32) << 16 | number;
            callers.extend(open_feed(daemon.listener, token).await);
        }
    }
    println!("feeds opened: {}", callers.len());
    // Wait until a heartbeat has reported the loads with all feeds open.
    sleep(Duration::from_secs(2)).await;
    let mut rates = Vec::new();
    for _ in 0..RUNS {
        rates.push(fleet.measure_rates(Duration::from_secs(6)).await);
    }
    let show = |label: &str, unit: &str, value: fn(&fleet::ResourceRates) -> f64| {
        let values: Vec<f64> = rates.iter().map(value).collect();
        fit::report_spread(label, unit, &values);
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
