//! Real daemons on loopback, with a stand-in platform and minimal backend servers.

#![allow(dead_code, reason = "no program uses all of these functions")]

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

/// Most daemons that run at the same time.
const MAX_DAEMONS: usize = 25;

/// Longest wait for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);

/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

const ZONES: [&str; 3] = ["bole", "kality", "merkato"];

/// Runs a future to its end on a new runtime.
pub(crate) fn run(future: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(future);
}

/// A running daemon; it is killed when it is dropped.
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) status: SocketAddr,
    pub(crate) listener: SocketAddr,
    child: Child,
}

/// Daemons with their platform and settings files.
pub(crate) struct Fleet {
    pub(crate) platform: platform::Handle,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) slices: u32,
    dir: TempDir,
    started: usize,
    client: reqwest::Client,
}

/// Resource use of an instance, per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResourceRates {
    pub(crate) heartbeat_bytes: f64,
    pub(crate) control_bytes: f64,
    pub(crate) cpu_percent: f64,
    pub(crate) calls: f64,
    pub(crate) reads: f64,
    pub(crate) leases: f64,
}

/// Duration of an operation and the platform calls that it caused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperationCost {
    pub(crate) seconds: f64,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) leases: u64,
    pub(crate) watches: u64,
}

fn local() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Answers every request at once with a piggybacked 2.05 response. Feeds stay open
/// without notifications.
async fn serve_coap(socket: UdpSocket) {
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

async fn serve_health(listener: TcpListener) {
    let answer = || async { r#"{"service": "dispatch", "state": "up"}"# };
    let router = Router::new().route("/health", get(answer));
    let _ = axum::serve(listener, router).await;
}

impl Fleet {
    /// Starts backend servers and daemons and waits until every slice has a home and a
    /// backup.
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
        fleet.wait_until_settled(servers).await;
        fleet
    }

    async fn list_servers(&self, count: usize) {
        let listener = TcpListener::bind(local()).await.expect("bind");
        let health_address = listener.local_addr().expect("address");
        tokio::spawn(serve_health(listener));
        for number in 0..count {
            let socket = UdpSocket::bind(local()).await.expect("bind");
            let listed = json!({
                "service": "dispatch",
                "zone": ZONES[number % ZONES.len()],
                "address": socket.local_addr().expect("address").to_string(),
                "health": health_address.to_string(),
                "slots": 1_000,
                "state": "up",
            });
            tokio::spawn(serve_coap(socket));
            let key = format!("platform/servers/dispatch-{number}");
            self.platform.put(&key, listed.to_string());
        }
    }

    /// Writes a revision of the service's profile.
    pub(crate) fn change_profile(&self, revision: u64) {
        let body = json!({"slow_start_s": 0, "queue_per_slot": 100, "max_in_progress": 100_000,
            "feed_silence_s": 3_600});
        let key = "godwitreel/profiles/standard";
        self.platform.put(key, document(revision, &body));
    }

    /// Starts another daemon.
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
        let child = Command::new(daemon_path())
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

    /// Waits until every slice has a home and a backup, the homes are spread evenly and the
    /// daemons use at least `servers` backend servers.
    pub(crate) async fn wait_until_settled(&self, servers: usize) {
        let end = Instant::now() + STATE_TIMEOUT;
        while !self.is_settled(servers).await {
            assert!(
                Instant::now() < end,
                "the slices were not placed evenly in time"
            );
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
            let usable = status.servers.iter().filter(|s| s.takes_work).count();
            let is_even = status.homes * 2 > share;
            if !status.ready || status.alone > 0 || usable < servers || !is_even {
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

    /// Bytes of the given message kinds that the daemon has sent to its peers so far.
    pub(crate) async fn sent_bytes(&self, daemon: &Daemon, kinds: &[&str]) -> f64 {
        let url = format!("http://{}/metrics", daemon.status);
        let answer = self.client.get(url).send().await.expect("metrics");
        let text = answer.text().await.expect("text");
        let is_counted = |line: &&str| {
            let has_kind = |kind: &&str| line.contains(&format!("kind=\"{kind}\""));
            line.starts_with("godwitreel_peer_bytes_total{")
                && line.contains("\"sent\"")
                && kinds.iter().any(has_kind)
        };
        let value = |line: &str| line.rsplit(' ').next().and_then(|n| n.parse::<f64>().ok());
        text.lines().filter(is_counted).filter_map(value).sum()
    }

    /// Measures the resource use over a time span, per instance and second.
    pub(crate) async fn measure_rates(&self, time: Duration) -> ResourceRates {
        let before = self.totals().await;
        let start = Instant::now();
        sleep(time).await;
        let after = self.totals().await;
        let instance_seconds = start.elapsed().as_secs_f64() * self.daemons.len() as f64;
        let rate = |index: usize| (after[index] - before[index]) / instance_seconds;
        ResourceRates {
            heartbeat_bytes: rate(0),
            control_bytes: rate(1),
            cpu_percent: rate(2) * 100.0,
            calls: rate(3) + rate(4),
            reads: rate(3),
            leases: rate(4),
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

    /// Kills a daemon and returns the cost until other daemons have taken over its slices.
    pub(crate) async fn kill_one(&mut self) -> OperationCost {
        let before = self.platform.counters();
        let start = Instant::now();
        self.daemons.pop();
        // The killed daemon stays home of its slices until the others suspect it.
        self.wait_until_settled(0).await;
        self.cost_since(before, start)
    }

    /// Stops a daemon gracefully, starts another one and returns the cost until the slices
    /// are placed.
    pub(crate) async fn replace_one(&mut self) -> OperationCost {
        let before = self.platform.counters();
        let start = Instant::now();
        let mut daemon = self.daemons.remove(0);
        daemon.signal(Signal::SIGTERM);
        while daemon.child.try_wait().expect("wait").is_none() {
            assert!(start.elapsed() < STATE_TIMEOUT, "the daemon did not stop");
            sleep(Duration::from_millis(20)).await;
        }
        self.add();
        self.wait_until_settled(0).await;
        self.cost_since(before, start)
    }

    fn cost_since(&self, before: platform::Counters, start: Instant) -> OperationCost {
        let after = self.platform.counters();
        OperationCost {
            seconds: start.elapsed().as_secs_f64(),
            reads: after.reads - before.reads,
            writes: after.writes - before.writes,
            leases: after.leases - before.leases,
            watches: after.watches - before.watches,
        }
    }

    /// Bytes that a watch receives for a change, by length of the value.
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

    /// The slice table as stored in the platform.
    pub(crate) fn table(&self) -> table::Table {
        let mut table = table::Table::new(self.slices);
        for number in 0..self.slices.div_ceil(table::ROWS_PER_DOCUMENT) {
            let key = format!("{}{number}", godwitreel::control::SLICES_PREFIX);
            let value = self.platform.get(&key).unwrap_or_default();
            let document: table::Document = serde_json::from_slice(&value).expect("document");
            let first = number * table::ROWS_PER_DOCUMENT;
            for (index, row) in document.rows.into_iter().enumerate() {
                table.update_if_newer(godwitreel::id::Slice(first + index as u32), row);
            }
        }
        table
    }
}

/// Kinds of peer messages that carry no caller's traffic.
pub(crate) const CONTROL_KINDS: [&str; 4] = ["heartbeat", "yield", "pull", "push"];

fn document(revision: u64, body: &serde_json::Value) -> String {
    let envelope =
        json!({"revision": revision, "operator": "bench", "write_id": "bench", "body": body});
    envelope.to_string()
}

/// Path of the daemon's binary, in the parent of the directory of the examples.
fn daemon_path() -> PathBuf {
    let own = std::env::current_exe().expect("own path");
    let release = own.ancestors().nth(2).expect("a target directory");
    release.join("godwitreeld")
}

impl Daemon {
    /// Processor time used since the start, in seconds.
    pub(crate) fn processor_seconds(&self) -> f64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).unwrap_or_default();
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = fields.split(' ').skip(11).take(2);
        ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / CLOCK_TICKS_PER_SECOND
    }

    /// Resident memory in kilobytes.
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
