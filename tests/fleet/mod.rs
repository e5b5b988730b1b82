//! What the tests of the operators' tool share: a stand-in platform, fake
//! instances, and the real program run against them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::routing::get;
use serde_json::Value;
use serde_json::json;
use standin::platform;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Longest run of the program before it counts as hanging.
const RUN_LIMIT: Duration = Duration::from_secs(60);
/// Longest wait for something to show up in the platform.
const SEEN_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(5);

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A platform, a directory for files, and fake instances.
pub(crate) struct Bench {
    pub(crate) platform: Arc<platform::Handle>,
    files: TempDir,
    fakes: JoinSet<()>,
}

/// How one run of the program ended.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Run {
    /// Standard output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e} in {self:?}"))
    }
}

impl Bench {
    pub(crate) async fn start() -> Self {
        Self {
            platform: Arc::new(platform::start(LOOPBACK).await.unwrap()),
            files: tempfile::tempdir().unwrap(),
            fakes: JoinSet::new(),
        }
    }

    /// Writes a file and returns its path.
    pub(crate) fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.files.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Writes a profile file with this deadline and returns its path.
    pub(crate) fn profile(&self, deadline_ms: u64) -> String {
        let text = format!("{{\n  // A comment.\n  \"deadline_ms\": {deadline_ms}\n}}\n");
        let path = self.file(&format!("{deadline_ms}.jsonc"), &text);
        path.to_str().unwrap().to_owned()
    }

    /// Runs the program as an operator, with JSON output.
    pub(crate) async fn run_as(&self, operator: &str, arguments: &[&str]) -> Run {
        let platform = format!("http://{}", self.platform.address());
        let options = ["--platform", &platform, "--operator", operator];
        let json = ["--output", "json"];
        run([&options[..], &json, arguments].concat()).await
    }

    /// Runs the program as the operator `alem`, with JSON output.
    pub(crate) async fn run(&self, arguments: &[&str]) -> Run {
        self.run_as("alem", arguments).await
    }

    /// Starts an instance that answers `/status` and `/explain` and registers it.
    pub(crate) async fn instance(
        &mut self,
        name: &str,
        status: impl Fn() -> Value + Clone + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = listener.local_addr().unwrap();
        let trace = json!([{ "age_ms": 5, "reason": "forwarded", "service": "dispatch",
            "caller": "127.0.0.1:9", "request": null, "slice": 7, "epoch": 1,
            "revision": 1, "server": "d1", "elapsed_ms": null }]);
        let routes = Router::new()
            .route("/status", get(async move || Json(status())))
            .route("/explain", get(async move || Json(trace)));
        self.fakes
            .spawn(async { axum::serve(listener, routes).await.unwrap() });
        self.register(name, address);
        address
    }

    /// Registers an instance that answers nothing: its port is free.
    pub(crate) async fn silent(&self, name: &str) {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        self.register(name, listener.local_addr().unwrap());
    }

    fn register(&self, name: &str, address: SocketAddr) {
        let registration = json!({ "holder": format!("{name}#1"), "zone": "bole",
            "peer": address, "status": address, "leaving": false });
        let key = format!("godwitreel/instances/{name}");
        self.platform.put(&key, registration.to_string());
    }

    /// What stands under a key.
    pub(crate) fn stored(&self, key: &str) -> Option<Value> {
        let value = self.platform.get(key)?;
        Some(serde_json::from_slice(&value).unwrap())
    }

    /// Waits until a key is there.
    pub(crate) async fn seen(&self, key: &str) -> Value {
        until(|| self.stored(key).is_some()).await;
        self.stored(key).unwrap()
    }
}

/// Waits until this holds.
pub(crate) async fn until(holds: impl Fn() -> bool) {
    let looking = async {
        while !holds() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    tokio::time::timeout(SEEN_LIMIT, looking).await.unwrap();
}

/// Runs the program without a settings file in its environment.
pub(crate) async fn run(arguments: Vec<&str>) -> Run {
    run_with(None, arguments).await
}

/// Runs the program with this settings file named by the environment, if any. It blocks a thread of its own, as the platform that it
/// talks to runs on this runtime.
pub(crate) async fn run_with(config: Option<&str>, arguments: Vec<&str>) -> Run {
    let mut command = assert_cmd::cargo::cargo_bin_cmd!("godwitreel");
    command
        .env_remove("GODWITREEL_CONFIG")
        .envs(config.map(|config| ("GODWITREEL_CONFIG", config)))
        .args(arguments)
        .timeout(RUN_LIMIT);
    let running = tokio::task::spawn_blocking(move || command.output().unwrap());
    let output = running.await.unwrap();
    Run {
        code: output.status.code().expect("the program ends by itself"),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// An instance's status with these revisions in force.
pub(crate) fn status(name: &str, revisions: Value) -> Value {
    json!({ "holder": format!("{name}#1"), "zone": "bole", "ready": true,
        "leaving": false, "platform_silent_ms": 3, "revisions": revisions,
        "refused": {}, "homes": 4, "backups": 4, "alone": 0, "in_progress": 0,
        "feeds": 0, "peers": [], "servers": [] })
}
