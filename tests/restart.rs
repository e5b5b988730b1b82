//! Several instances in one process, started and stopped.

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

/// Longest wait for anything that must come about.
const PATIENCE: Duration = Duration::from_secs(30);

fn parse(text: &str) -> settings::Daemon {
    settings::Daemon::parse(Path::new("test.jsonc"), text).expect("settings")
}

/// Names of this process's threads that belong to workers.
fn workers() -> usize {
    let threads = std::fs::read_dir("/proc/self/task").expect("threads");
    let names = threads.flatten().filter_map(|thread| {
        let name = thread.path().join("comm");
        std::fs::read_to_string(name).ok()
    });
    names.filter(|name| name.starts_with("worker-")).count()
}

async fn until_workers(count: usize) {
    let end = Instant::now() + PATIENCE;
    while workers() != count {
        assert!(Instant::now() < end, "{} workers", workers());
        sleep(Duration::from_millis(20)).await;
    }
}

/// A monitor keeps its connection to the status port open. The instance stops;
/// were its threads and sockets to live on with that connection, it would go on
/// to send for slices that it has given away, and the next life of the instance
/// could not bind its addresses.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_instance_leaves_nothing_behind() {
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
        until_workers(3).await;
        let answer = monitor.get(&url).send().await.expect("a status");
        assert!(answer.status().is_success());
        // Only a connection whose answer was read to its end is kept open.
        let body = answer.text().await.expect("a body");
        assert!(body.contains("bole-1"), "{body}");
        let stopped = handle.stop().await;
        assert_eq!(stopped.cut, 0);
        assert_eq!(workers(), 0);
    }
    let settings = parse(&text);
    let (logger, _flush) = log::logger(&settings.log);
    let handle = daemon::start(settings, logger).await.expect("a start");
    until_workers(3).await;
    handle.abort();
    until_workers(0).await;
}
