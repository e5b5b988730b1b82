//! A draining server receives no new requests.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use serde_json::json;
use standin::caller::Outcome;
use standin::server::HealthOverrides;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use utils::Cluster;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;

/// Time within which a drain signal must take effect.
const DRAIN_DELAY: Duration = Duration::from_secs(2);

/// How long a server is observed after `DRAIN_DELAY`.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

const CALLERS: u64 = 12;

/// Sends requests and opens short feeds until `stop` is set. Returns the number of
/// answers.
async fn send_load(caller: standin::caller::Caller, stop: watch::Receiver<bool>) -> u64 {
    let mut answered = 0;
    while !*stop.borrow() {
        let outcome = caller
            .request(RequestType::Post, "/pickup", "work", WAIT_TIMEOUT)
            .await;
        answered += u64::from(matches!(outcome, Outcome::Answered { .. }));
        if let Ok(feed) = caller.observe("/route", WAIT_TIMEOUT).await {
            feed.cancel(WAIT_TIMEOUT).await;
        }
        sleep(Duration::from_millis(20)).await;
    }
    answered
}

struct Load {
    stop: watch::Sender<bool>,
    tasks: JoinSet<u64>,
}

impl Load {
    async fn start(cluster: &Cluster) -> Self {
        let (stop, stopping) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for seed in 0..CALLERS {
            let caller = cluster.caller("dispatch", seed).await;
            tasks.spawn(send_load(caller, stopping.clone()));
        }
        Self { stop, tasks }
    }

    async fn finish(self) -> u64 {
        self.stop.send_replace(true);
        self.tasks.join_all().await.into_iter().sum()
    }
}

/// Counts the new requests that a server receives from `DRAIN_DELAY` to the end of
/// `OBSERVATION_TIME` after a signal.
async fn count_new_requests(cluster: &Cluster, name: &str) -> usize {
    let server = &cluster.servers[name];
    let signalled = Instant::now();
    let new_requests_since = |since| {
        let seen = server.received_since(since);
        seen.into_iter()
            .filter(|seen| seen.is_new_work)
            .collect::<Vec<_>>()
    };
    sleep(DRAIN_DELAY + OBSERVATION_TIME).await;
    let last = new_requests_since(signalled)
        .last()
        .map(|seen| seen.at - signalled);
    println!("{name}: last new request after {last:?}");
    new_requests_since(signalled + DRAIN_DELAY).len()
}

async fn start_cluster() -> Cluster {
    Cluster::start(Plan {
        services: vec![("dispatch", 5)],
        settings: fast_detection_settings(),
        profile: json!({"slow_start_s": 0, "retry_budget_percent": 100}),
        ..Plan::default()
    })
    .await
}

/// Callers keep the service busy while one server after another drains. Each drain is
/// signalled in only one way: by the platform's server list, by the server's health
/// answer, or by the operator's key. All other signals still report the server as
/// healthy.
#[tokio::test(flavor = "multi_thread")]
async fn one_signal_alone_stops_new_work() {
    let cluster = start_cluster().await;
    let load = Load::start(&cluster).await;
    sleep(Duration::from_secs(1)).await;
    for server in cluster.servers.values() {
        assert!(server.observers() > 0 || !server.all_starts().is_empty());
    }
    cluster.list_server("dispatch-0", "leaving");
    assert_eq!(count_new_requests(&cluster, "dispatch-0").await, 0);
    cluster.servers["dispatch-1"].override_health(HealthOverrides {
        state: Some("draining".to_owned()),
        ..HealthOverrides::default()
    });
    assert_eq!(count_new_requests(&cluster, "dispatch-1").await, 0);
    let key = "godwitreel/drain/servers/dispatch-2";
    cluster.platform.put(key, r#"{"operator":"test"}"#);
    assert_eq!(count_new_requests(&cluster, "dispatch-2").await, 0);
    assert!(load.finish().await > 0);
}

/// A server refuses all new requests while the server list and its health answer report
/// it as healthy. It may be draining or only overloaded, which only a further request
/// can show. So each instance retries it with a single request after pauses that
/// double. Callers are not affected, since another server accepts the refused request.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_alone_leave_only_rare_trials() {
    let cluster = start_cluster().await;
    let load = Load::start(&cluster).await;
    sleep(Duration::from_secs(1)).await;
    cluster.servers["dispatch-0"].shed(true);
    let before = cluster.servers["dispatch-0"].starts("work");
    let trials = count_new_requests(&cluster, "dispatch-0").await;
    println!("trials by 3 instances in {OBSERVATION_TIME:?}: {trials}");
    // With pauses of 2, 4 and 8 s, two trials of each instance fall into that time.
    assert!(trials <= 2 * cluster.instances.len(), "{trials}");
    let after = cluster.servers["dispatch-0"].starts("work");
    // Requests that were accepted before the signal may start after it.
    assert!(after - before <= 2, "{before} {after}");
    cluster.servers["dispatch-0"].shed(false);
    cluster
        .wait_until("the server accepts requests again", async || {
            cluster.servers["dispatch-0"].starts("work") > after
        })
        .await;
    assert!(load.finish().await > 0);
}
