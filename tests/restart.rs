//! Starting and stopping several instances in one process.

use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;

use godwitreel::daemon;
use godwitreel::log;
use godwitreel::settings;
use standin::address;
use standin::platform;
use tokio::time::Instant;
use tokio::time::sleep;

/// Longest wait for an expected state.
const TIMEOUT: Duration = Duration::from_secs(30);

fn parse(text: &str) -> settings::Daemon {
    settings::Daemon::parse(Path::new("test.jsonc"), text).expect("settings")
}

/// Number of this process's threads that belong to workers.
fn count_workers() -> usize {
    let threads = std::fs::read_dir("/proc/self/task").expect("threads");
    let names = threads.flatten().filter_map(|thread| {
        let name = thread.path().join("comm");
        std::fs::read_to_string(name).ok()
    });
    names.filter(|name| name.starts_with("worker-")).count()
}

async fn wait_for_workers(count: usize) {
    let deadline = Instant::now() + TIMEOUT;
    while count_workers() != count {
        assert!(Instant::now() < deadline, "{} workers", count_workers());
        sleep(Duration::from_millis(20)).await;
    }
}

/// A monitoring client keeps its connection to the status port open while the instance
/// stops. If the instance's threads and sockets stayed alive with that connection, the
/// instance would still send for slices that it has handed over, and a restarted
/// instance could not bind the same addresses.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_instance_leaves_no_threads_or_sockets() {
    let platform = platform::start((Ipv4Addr::LOCALHOST, 0).into());
    let platform = platform.await.expect("platform");
    let peer = address::free();
    let status = loop {
        let status = address::free();
        if status != peer {
            break status;
        }
    };
    let text = format!(
        r#"{{"instance": "bole-1", "zone": "bole", "peer": "{peer}", "status": "{status}",
            "platform": ["http://{}"], "backend_bind": "127.0.0.1", "workers": 3,
            "keys": ["000102030405060708090a0b0c0d0e0f"], "log": {{"level": "error"}}}}"#,
        platform.address(),
    );
    let monitor = reqwest::Client::new();
    let url = format!("http://{status}/status");
    for _ in 0..3 {
        let settings = parse(&text);
        let (logger, _flush) = log::logger(&settings.log);
        let mut handle = daemon::start(settings, logger).await.expect("a start");
        wait_for_workers(3).await;
        let answer = monitor.get(&url).send().await.expect("a status");
        assert!(answer.status().is_success());
        // The client keeps a connection open only after reading the whole response.
        let body = answer.text().await.expect("a body");
        assert!(body.contains("bole-1"), "{body}");
        let stopped = handle.stop().await;
        assert_eq!(stopped.cut, 0);
        assert_eq!(count_workers(), 0);
    }
    let settings = parse(&text);
    let (logger, _flush) = log::logger(&settings.log);
    let handle = daemon::start(settings, logger).await.expect("a start");
    wait_for_workers(3).await;
    handle.abort();
    wait_for_workers(0).await;
}
