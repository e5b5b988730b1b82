//! Shared by the tests of the operators' tool: a stand-in platform, fake instances, and
//! functions that run the real program against them.

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

/// Time after which a run of the program is taken for stuck and killed.
const RUN_LIMIT: Duration = Duration::from_secs(60);
/// Longest wait for a condition in [`wait_until`].
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A stand-in platform, a directory for files, and fake instances.
pub(crate) struct ToolTest {
    pub(crate) platform: Arc<platform::Handle>,
    files: TempDir,
    fake_instances: JoinSet<()>,
}

/// Exit code and output of one run of the program.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Run {
    /// Standard output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e} in {self:?}"))
    }
}

impl ToolTest {
    pub(crate) async fn start() -> Self {
        Self {
            platform: Arc::new(platform::start(LOOPBACK).await.unwrap()),
            files: tempfile::tempdir().unwrap(),
            fake_instances: JoinSet::new(),
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
        self.fake_instances
            .spawn(async { axum::serve(listener, routes).await.unwrap() });
        self.register(name, address);
        address
    }

    /// Registers an instance at a port where nothing listens.
    pub(crate) async fn unreachable_instance(&self, name: &str) {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        self.register(name, listener.local_addr().unwrap());
    }

    fn register(&self, name: &str, address: SocketAddr) {
        let registration = json!({ "holder": format!("{name}#1"), "zone": "bole",
            "peer": address, "status": address, "leaving": false });
        let key = format!("godwitreel/instances/{name}");
        self.platform.put(&key, registration.to_string());
    }

    /// The value of a key in the store, as JSON.
    pub(crate) fn stored(&self, key: &str) -> Option<Value> {
        let value = self.platform.get(key)?;
        Some(serde_json::from_slice(&value).unwrap())
    }

    /// Waits until a key exists and returns its value.
    pub(crate) async fn wait_for_key(&self, key: &str) -> Value {
        wait_until(|| self.stored(key).is_some()).await;
        self.stored(key).unwrap()
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(is_met: impl Fn() -> bool) {
    let polling = async {
        while !is_met() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, polling).await.unwrap();
}

/// Runs the program without a settings file in its environment.
pub(crate) async fn run(arguments: Vec<&str>) -> Run {
    run_with_config(None, arguments).await
}

/// Runs the program, with `GODWITREEL_CONFIG` naming this settings file if there is one.
/// It runs on a blocking thread, since the stand-in platform that it calls runs on the
/// test's runtime.
pub(crate) async fn run_with_config(config: Option<&str>, arguments: Vec<&str>) -> Run {
    let mut command = assert_cmd::cargo::cargo_bin_cmd!("godwitreel");
    command
        .env_remove("GODWITREEL_CONFIG")
        .envs(config.map(|config| ("GODWITREEL_CONFIG", config)))
        .args(arguments)
        .timeout(RUN_LIMIT);
    let running = tokio::task::spawn_blocking(move || command.output().unwrap());
    let output = running.await.unwrap();
    Run {
        code: output.status.code().expect("exit code"),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Returns an instance's status with these document revisions in force.
pub(crate) fn status(name: &str, revisions: Value) -> Value {
    json!({ "holder": format!("{name}#1"), "zone": "bole", "ready": true,
        "leaving": false, "platform_silent_ms": 3, "revisions": revisions,
        "refused": {}, "homes": 4, "backups": 4, "alone": 0, "in_progress": 0,
        "feeds": 0, "peers": [], "servers": [] })
}
