//! Real daemons on loopback, beside a stand-in platform and plain backend servers.

#![allow(dead_code, reason = "each program uses its own part")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use coap_lite::Packet;
use godwitreel::status::Status;
use godwitreel::table;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::json;
use standin::address;
use standin::platform;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;

/// Most daemons at once.
const MAX_DAEMONS: usize = 25;

/// Longest wait for anything that must come about.
const PATIENCE: Duration = Duration::from_secs(60);

/// Ticks of a process's clock in a second.
const TICKS: f64 = 100.0;

const ZONES: [&str; 3] = ["bole", "kality", "merkato"];

/// Runs a program's work on a runtime of its own.
pub(crate) fn run(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(work);
}

/// One daemon.
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) status: SocketAddr,
    pub(crate) listener: SocketAddr,
    child: Child,
}

/// Daemons with what they need.
pub(crate) struct Fleet {
    pub(crate) platform: platform::Handle,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) slices: u32,
    dir: TempDir,
    started: usize,
    client: reqwest::Client,
}

/// What an instance spends, per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spent {
    pub(crate) heartbeat_bytes: f64,
    pub(crate) control_bytes: f64,
    pub(crate) cpu_percent: f64,
    pub(crate) calls: f64,
    pub(crate) reads: f64,
    pub(crate) leases: f64,
}

/// What something cost the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    pub(crate) seconds: f64,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) leases: u64,
    pub(crate) watches: u64,
}

fn local() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Answers every request at once: 2.05 with the acknowledgement. Feeds stay open
/// and silent.
async fn serve(socket: UdpSocket) {
    const TOKEN: std::ops::Range<usize> = 4..12;
    let mut buffer = [0; 2_048];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        if length < TOKEN.end || buffer[0] >> 4 != 4 {
            continue;
        }
        let mut answer = vec![0x68, 0x45, buffer[2], buffer[3]];
        answer.extend_from_slice(&buffer[TOKEN]);
        let packet = Packet::from_bytes(&buffer[..length]);
        if packet.is_ok_and(|packet| packet.get_observe_value().is_some()) {
            answer.extend_from_slice(b"\x61\x01");
        }
        answer.extend_from_slice(b"\xffdone");
        let _ = socket.send_to(&answer, from).await;
    }
}

async fn health(listener: TcpListener) {
    let answer = || async { r#"{"service": "dispatch", "state": "up"}"# };
    let router = Router::new().route("/health", get(answer));
    let _ = axum::serve(listener, router).await;
}

impl Fleet {
    /// Starts daemons before some backend servers and waits until every slice has
    /// a home and a backup.
    pub(crate) async fn start(count: usize, slices: u32, servers: usize) -> Self {
        assert!(count <= MAX_DAEMONS, "too many daemons");
        let platform = platform::start(local()).await.expect("platform");
        let mut fleet = Self {
            platform,
            daemons: Vec::new(),
            slices,
            dir: TempDir::new().expect("directory"),
            started: 0,
            client: reqwest::Client::new(),
        };
        fleet.change_profile(1);
        let body = json!({"profile": "standard", "address": address::free().to_string()});
        fleet
            .platform
            .put("godwitreel/services/dispatch", document(1, &body));
        fleet.list_servers(servers).await;
        for _ in 0..count {
            fleet.add();
        }
        fleet.settled(servers).await;
        fleet
    }

    async fn list_servers(&self, count: usize) {
        let listener = TcpListener::bind(local()).await.expect("bind");
        let checked = listener.local_addr().expect("address");
        tokio::spawn(health(listener));
        for number in 0..count {
            let socket = UdpSocket::bind(local()).await.expect("bind");
            let listed = json!({
                "service": "dispatch",
                "zone": ZONES[number % ZONES.len()],
                "address": socket.local_addr().expect("address").to_string(),
                "health": checked.to_string(),
                "slots": 1_000,
                "state": "up",
            });
            tokio::spawn(serve(socket));
            let key = format!("platform/servers/dispatch-{number}");
            self.platform.put(&key, listed.to_string());
        }
    }

    /// Writes a revision of the profile that the service has chosen.
    pub(crate) fn change_profile(&self, revision: u64) {
        let body = json!({"slow_start_s": 0, "queue_per_slot": 100, "max_in_progress": 100_000,
            "feed_silence_s": 3_600});
        let key = "godwitreel/profiles/standard";
        self.platform.put(key, document(revision, &body));
    }

    /// Starts one more daemon.
    pub(crate) fn add(&mut self) {
        self.started += 1;
        let zone = ZONES[self.started % ZONES.len()];
        let name = format!("{zone}-{}", self.started);
        let (peer, status, listener) = (address::free(), address::free(), address::free());
        let settings = json!({
            "instance": name,
            "zone": zone,
            "peer": peer.to_string(),
            "status": status.to_string(),
            "platform": [format!("http://{}", self.platform.address())],
            "listeners": {"dispatch": listener.to_string()},
            "backend_bind": "127.0.0.1",
            "workers": 2,
            "slices": self.slices,
            "keys": ["000102030405060708090a0b0c0d0e0f"],
            "log": {"level": "error", "format": "text"},
        });
        let path = self.dir.path().join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        let child = Command::new(program())
            .arg(&path)
            .stdin(Stdio::null())
            .spawn()
            .expect("the daemon, built by `cargo build --release`");
        self.daemons.push(Daemon {
            name,
            status,
            listener,
            child,
        });
    }

    /// Waits until every slice has a home and a backup, evenly spread.
    pub(crate) async fn settled(&self, servers: usize) {
        let end = Instant::now() + PATIENCE;
        while !self.is_settled(servers).await {
            assert!(Instant::now() < end, "the slices were not spread");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn is_settled(&self, servers: usize) -> bool {
        let mut homes = 0;
        let share = self.slices / self.daemons.len() as u32;
        for daemon in &self.daemons {
            let Some(status) = self.status(daemon).await else {
                return false;
            };
            let ready = status.servers.iter().filter(|s| s.takes_work).count();
            let even = status.homes * 2 > share;
            if !status.ready || status.alone > 0 || ready < servers || !even {
                return false;
            }
            homes += status.homes;
        }
        homes == self.slices
    }

    pub(crate) async fn status(&self, daemon: &Daemon) -> Option<Status> {
        let url = format!("http://{}/status", daemon.status);
        let request = self.client.get(url).timeout(Duration::from_secs(2));
        request.send().await.ok()?.json().await.ok()
    }

    /// Bytes sent to peers of these kinds so far.
    pub(crate) async fn sent_bytes(&self, daemon: &Daemon, kinds: &[&str]) -> f64 {
        let url = format!("http://{}/metrics", daemon.status);
        let answer = self.client.get(url).send().await.expect("metrics");
        let text = answer.text().await.expect("text");
        let counted = |line: &&str| {
            let of = |kind: &&str| line.contains(&format!("kind=\"{kind}\""));
            line.starts_with("godwitreel_peer_bytes_total{")
                && line.contains("\"sent\"")
                && kinds.iter().any(of)
        };
        let value = |line: &str| line.rsplit(' ').next().and_then(|n| n.parse::<f64>().ok());
        text.lines().filter(counted).filter_map(value).sum()
    }

    /// What the daemons spend in this time, per instance and second.
    pub(crate) async fn calm(&self, time: Duration) -> Spent {
        let before = self.totals().await;
        let start = Instant::now();
        sleep(time).await;
        let after = self.totals().await;
        let per = start.elapsed().as_secs_f64() * self.daemons.len() as f64;
        let spent = |place: usize| (after[place] - before[place]) / per;
        Spent {
            heartbeat_bytes: spent(0),
            control_bytes: spent(1),
            cpu_percent: spent(2) * 100.0,
            calls: spent(3) + spent(4),
            reads: spent(3),
            leases: spent(4),
        }
    }

    async fn totals(&self) -> [f64; 5] {
        let mut totals = [0.0; 5];
        for daemon in &self.daemons {
            totals[0] += self.sent_bytes(daemon, &["heartbeat"]).await;
            totals[1] += self.sent_bytes(daemon, &CONTROL_KINDS).await;
            totals[2] += daemon.processor_seconds();
        }
        let counters = self.platform.counters();
        totals[3] = counters.reads as f64;
        totals[4] = (counters.leases + counters.writes) as f64;
        totals
    }

    /// Kills one daemon; the cost until its slices are placed anew.
    pub(crate) async fn takeover(&mut self) -> Cost {
        let before = self.platform.counters();
        let start = Instant::now();
        self.daemons.pop();
        // The home that is gone still counts until it is suspected.
        self.settled(0).await;
        self.cost(before, start)
    }

    /// Stops one daemon gracefully and starts another.
    pub(crate) async fn replace(&mut self) -> Cost {
        let before = self.platform.counters();
        let start = Instant::now();
        let mut daemon = self.daemons.remove(0);
        daemon.signal(Signal::SIGTERM);
        while daemon.child.try_wait().expect("wait").is_none() {
            assert!(start.elapsed() < PATIENCE, "the daemon did not stop");
            sleep(Duration::from_millis(20)).await;
        }
        self.add();
        self.settled(0).await;
        self.cost(before, start)
    }

    fn cost(&self, before: platform::Counters, start: Instant) -> Cost {
        let after = self.platform.counters();
        Cost {
            seconds: start.elapsed().as_secs_f64(),
            reads: after.reads - before.reads,
            writes: after.writes - before.writes,
            leases: after.leases - before.leases,
            watches: after.watches - before.watches,
        }
    }

    /// Bytes that a watch gets for a change, by length of the value.
    pub(crate) async fn watch_bytes(&self) -> Vec<(f64, f64)> {
        let mut points = Vec::new();
        for length in [100, 400, 1_600, 6_400] {
            let body = json!({"create_request": {
                "key": STANDARD.encode("bench/"), "range_end": STANDARD.encode("bench0")}});
            let url = format!("http://{}/v3/watch", self.platform.address());
            let request = self.client.post(url).json(&body).send();
            let mut watch = request.await.expect("watch");
            let _created = watch.chunk().await;
            self.platform.put("bench/document", vec![b'x'; length]);
            let mut bytes = 0;
            while let Ok(Some(chunk)) = watch.chunk().await {
                bytes += chunk.len();
                if chunk.ends_with(b"\n") {
                    break;
                }
            }
            points.push((length as f64, bytes as f64));
        }
        points
    }

    /// The slice table as the platform has it.
    pub(crate) fn table(&self) -> table::Table {
        let mut table = table::Table::new(self.slices);
        for number in 0..self.slices.div_ceil(table::ROWS_PER_DOCUMENT) {
            let key = format!("{}{number}", godwitreel::control::SLICES_PREFIX);
            let value = self.platform.get(&key).unwrap_or_default();
            let document: table::Document = serde_json::from_slice(&value).expect("document");
            let first = number * table::ROWS_PER_DOCUMENT;
            for (place, row) in document.rows.into_iter().enumerate() {
                table.update_if_newer(godwitreel::id::Slice(first + place as u32), row);
            }
        }
        table
    }
}

/// Kinds of peer messages that are not part of a caller's traffic.
pub(crate) const CONTROL_KINDS: [&str; 4] = ["heartbeat", "yield", "pull", "push"];

fn document(revision: u64, body: &serde_json::Value) -> String {
    let envelope =
        json!({"revision": revision, "operator": "bench", "write_id": "bench", "body": body});
    envelope.to_string()
}

/// The daemon stands beside the directory of the examples.
fn program() -> PathBuf {
    let own = std::env::current_exe().expect("own path");
    let release = own.ancestors().nth(2).expect("a target directory");
    release.join("godwitreeld")
}

impl Daemon {
    /// Processor time used so far, in seconds.
    pub(crate) fn processor_seconds(&self) -> f64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).unwrap_or_default();
        let after = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = after.split(' ').skip(11).take(2);
        ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS
    }

    /// Memory in use, in kilobytes.
    pub(crate) fn resident_kilobytes(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|n| n.parse().ok()).unwrap_or(0.0)
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, signal).expect("signal");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
