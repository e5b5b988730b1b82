//! Tests the daemon program: command line, error messages for wrong settings, and logs.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use assert_cmd::Command;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use predicates::prelude::PredicateBooleanExt;
use predicates::str::contains;
use serde_json::Value;
use serde_json::json;
use standin::address;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_godwitreeld");

/// Longest wait for the program to start serving or to exit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Exit code when the daemon refuses to start.
const EXIT_REFUSED: i32 = 1;

fn daemon() -> Command {
    let mut command = Command::new(PROGRAM);
    command.timeout(WAIT_TIMEOUT);
    command
}

/// Returns valid settings. Nothing listens at the platform's address; the daemon must
/// start without the platform.
fn settings() -> Value {
    json!({
        "instance": "bole-1",
        "zone": "bole",
        "peer": address::free().to_string(),
        "status": address::free().to_string(),
        "platform": [format!("http://{}", address::free())],
        "backend_bind": "127.0.0.1",
        "keys": ["000102030405060708090a0b0c0d0e0f"],
    })
}

fn write_settings(dir: &TempDir, text: &str) -> PathBuf {
    let path = dir.path().join("daemon.jsonc");
    fs::write(&path, text).expect("settings");
    path
}

#[test]
fn sample_settings_pass_the_check() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    let mut checked = 0;
    let customers = fs::read_dir(deploy).expect("deploy").flatten();
    // Files outside the customers' folders configure the users' platform. The adapter's
    // tests check them.
    for customer in customers.filter(|entry| entry.path().is_dir()) {
        for file in fs::read_dir(customer.path()).expect("files").flatten() {
            let path = file.path();
            if path.extension().is_some_and(|suffix| suffix == "jsonc") {
                let ok = contains("settings are in order");
                daemon()
                    .arg("--check")
                    .arg(&path)
                    .assert()
                    .code(0)
                    .stdout(ok);
                checked += 1;
            }
        }
    }
    assert!(checked >= 15, "{checked} files");
}

#[test]
fn help_and_version_are_given() {
    let usage = contains("--check").and(contains("SETTINGS"));
    daemon().arg("--help").assert().code(0).stdout(usage);
    let version = contains(env!("CARGO_PKG_VERSION"));
    daemon().arg("--version").assert().code(0).stdout(version);
    let missing = contains("SETTINGS");
    daemon().assert().code(EXIT_REFUSED).stderr(missing);
}

/// A message about wrong settings names the file, line, field, value and what is
/// allowed, so that the operator can fix the file without further help.
#[test]
fn wrong_settings_are_refused_with_their_place() {
    let dir = TempDir::new().expect("directory");
    let cases = [
        (
            "\"zone\": \"bole\"",
            "\"zone\": \"bo le\"",
            4,
            "zone",
            "A-Z",
        ),
        ("\"workers\": 2", "\"workers\": 65", 8, "workers", "1 to 64"),
        (
            "\"slices\": 64",
            "\"slices\": 63",
            9,
            "slices",
            "a power of two",
        ),
        ("\"workers\"", "\"wokers\"", 8, "wokers", "workers"),
        (
            "\"workers\": 2",
            "\"workers\": \"two\"",
            8,
            "workers",
            "u32",
        ),
    ];
    let text = "// A daemon.\n{\n\"instance\": \"bole-1\",\n\"zone\": \"bole\",\n\
        \"peer\": \"127.0.0.1:7100\",\n\"status\": \"127.0.0.1:7101\",\n\
        \"platform\": [\"http://127.0.0.1:7090\"],\n\"workers\": 2,\n\"slices\": 64,\n\
        \"keys\": [\"000102030405060708090a0b0c0d0e0f\"]\n}\n";
    let path = write_settings(&dir, text);
    daemon().arg("--check").arg(&path).assert().code(0);
    for (from, to, line, field, allowed) in cases {
        assert!(text.contains(from), "{from}");
        let path = write_settings(&dir, &text.replacen(from, to, 1));
        let location = format!("{}:{line}: {field}: ", path.display());
        let message = || {
            contains(location.clone())
                .and(contains("want "))
                .and(contains(allowed))
        };
        for check in [true, false] {
            let mut command = daemon();
            if check {
                command.arg("--check");
            }
            command
                .arg(&path)
                .assert()
                .code(EXIT_REFUSED)
                .stdout("")
                .stderr(message());
        }
    }
}

#[test]
fn files_that_cannot_be_read_are_refused() {
    let dir = TempDir::new().expect("directory");
    let missing = dir.path().join("missing.jsonc");
    let message = contains("missing.jsonc");
    daemon()
        .arg(&missing)
        .assert()
        .code(EXIT_REFUSED)
        .stderr(message);
    let unfinished = write_settings(&dir, "{ /* never closed");
    let message = contains("daemon.jsonc:1").and(contains("comment"));
    daemon()
        .arg(&unfinished)
        .assert()
        .code(EXIT_REFUSED)
        .stderr(message);
}

#[test]
fn ports_in_use_are_refused_with_their_address() {
    let dir = TempDir::new().expect("directory");
    let udp = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let bound_ports = [
        ("peer", udp.local_addr().expect("address")),
        ("status", tcp.local_addr().expect("address")),
    ];
    for (field, address) in bound_ports {
        let mut settings = settings();
        settings[field] = json!(address.to_string());
        let path = write_settings(&dir, &settings.to_string());
        let message = contains(address.to_string()).and(contains("bind"));
        daemon()
            .arg(&path)
            .assert()
            .code(EXIT_REFUSED)
            .stderr(message);
    }
}

/// A daemon process that is killed on drop, which also ends it when a test fails.
struct DaemonProcess(Option<Child>);

impl DaemonProcess {
    fn start(path: &Path) -> Self {
        let child = std::process::Command::new(PROGRAM)
            .arg(path)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        Self(Some(child.expect("daemon")))
    }

    /// Stops the daemon with SIGTERM and returns its exit code and log.
    fn stop(mut self) -> (Option<i32>, String) {
        let child = self.0.take().expect("running");
        let pid = Pid::from_raw(child.id() as i32);
        nix::sys::signal::kill(pid, Signal::SIGTERM).expect("signal");
        let output = child.wait_with_output().expect("output");
        let text = String::from_utf8(output.stderr).expect("text");
        (output.status.code(), text)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Runs a daemon with these log settings until its status port accepts connections,
/// stops it and returns its log.
fn run_and_collect_log(log: &Value) -> String {
    let dir = TempDir::new().expect("directory");
    let mut settings = settings();
    settings["log"] = log.clone();
    let status: SocketAddr = settings["status"]
        .as_str()
        .expect("text")
        .parse()
        .expect("address");
    let path = write_settings(&dir, &settings.to_string());
    let running = DaemonProcess::start(&path);
    let end = Instant::now() + WAIT_TIMEOUT;
    while TcpStream::connect(status).is_err() {
        assert!(
            Instant::now() < end,
            "the daemon does not accept connections"
        );
        sleep(Duration::from_millis(20));
    }
    // The signal handler is installed before the status port is bound.
    let (code, text) = running.stop();
    assert_eq!(code, Some(0), "{text}");
    text
}

fn records(text: &str) -> Vec<Value> {
    let parse = |line| serde_json::from_str(line).expect(line);
    text.lines().map(parse).collect()
}

#[test]
fn logs_are_json_lines_of_the_level() {
    let records = records(&run_and_collect_log(
        &json!({"level": "info", "format": "json"}),
    ));
    let is_logged = |message: &str| records.iter().any(|record| record["msg"] == message);
    for message in ["starting", "running", "stopping", "stopped"] {
        assert!(is_logged(message), "{message}");
    }
    for record in &records {
        for key in ["ts", "level", "msg", "module"] {
            assert!(record[key].is_string(), "{key} in {record}");
        }
        assert!(
            record["level"] != "DEBG" && record["level"] != "TRCE",
            "{record}"
        );
    }
}

#[test]
fn log_level_is_set_by_module() {
    let log = json!({"level": "critical", "modules": {"godwitreel::daemon": "info"}});
    let records = records(&run_and_collect_log(&log));
    assert!(!records.is_empty());
    for record in &records {
        assert_eq!(record["module"], "godwitreel::daemon", "{record}");
    }
    assert_eq!(run_and_collect_log(&json!({"level": "critical"})), "");
}

#[test]
fn logs_can_be_text() {
    let text = run_and_collect_log(&json!({"level": "info", "format": "text"}));
    assert!(text.contains("stopped"), "{text}");
    assert!(serde_json::from_str::<Value>(text.lines().next().expect("a line")).is_err());
}
