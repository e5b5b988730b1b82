//! A server that is leaving receives no new work.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use serde_json::json;
use standin::caller::Outcome;
use standin::server::Lies;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use utils::Cluster;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;

/// Time after a signal from which on no new work may come.
const NOTICE: Duration = Duration::from_secs(2);

/// How long it is watched after that.
const WATCH: Duration = Duration::from_secs(5);

const CALLERS: u64 = 12;

/// Requests and short feeds without pause, until it is told to stop.
async fn work(caller: standin::caller::Caller, stop: watch::Receiver<bool>) -> u64 {
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
            tasks.spawn(work(caller, stopping.clone()));
        }
        Self { stop, tasks }
    }

    async fn finish(self) -> u64 {
        self.stop.send_replace(true);
        self.tasks.join_all().await.into_iter().sum()
    }
}

/// New work that a server got in the watched time after a signal was given.
async fn new_work(cluster: &Cluster, name: &str) -> usize {
    let server = &cluster.servers[name];
    let signalled = Instant::now();
    let fresh = |since| {
        let seen = server.seen_since(since);
        seen.into_iter()
            .filter(|seen| seen.fresh)
            .collect::<Vec<_>>()
    };
    sleep(NOTICE + WATCH).await;
    let last = fresh(signalled).last().map(|seen| seen.at - signalled);
    println!("{name}: last new work after {last:?}");
    fresh(signalled + NOTICE).len()
}

async fn cluster() -> Cluster {
    Cluster::start(Plan {
        services: vec![("dispatch", 5)],
        settings: fast_detection_settings(),
        profile: json!({"slow_start_s": 0, "retry_budget_percent": 100}),
        ..Plan::default()
    })
    .await
}

/// Callers keep the service busy while one server after another begins to leave,
/// each told by one signal alone: the platform's list, its own health answer, the
/// operator's key. All other signals go on saying that it is well.
#[tokio::test(flavor = "multi_thread")]
async fn one_signal_alone_stops_new_work() {
    let cluster = cluster().await;
    let load = Load::start(&cluster).await;
    sleep(Duration::from_secs(1)).await;
    for server in cluster.servers.values() {
        assert!(server.observers() > 0 || !server.all_starts().is_empty());
    }
    cluster.list_server("dispatch-0", "leaving");
    assert_eq!(new_work(&cluster, "dispatch-0").await, 0);
    cluster.servers["dispatch-1"].lie(Lies {
        state: Some("draining".to_owned()),
        ..Lies::default()
    });
    assert_eq!(new_work(&cluster, "dispatch-1").await, 0);
    let key = "godwitreel/drain/servers/dispatch-2";
    cluster.platform.put(key, r#"{"operator":"test"}"#);
    assert_eq!(new_work(&cluster, "dispatch-2").await, 0);
    assert!(load.finish().await > 0);
}

/// A server refuses all new work while list and health say that it is well. It
/// may be leaving or just overloaded, and nothing but asking can tell, so each
/// instance asks it again with one request after pauses that double. The caller
/// sees nothing of it, since another server takes the refused request.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_alone_leave_only_rare_trials() {
    let cluster = cluster().await;
    let load = Load::start(&cluster).await;
    sleep(Duration::from_secs(1)).await;
    cluster.servers["dispatch-0"].shed(true);
    let before = cluster.servers["dispatch-0"].starts("work");
    let trials = new_work(&cluster, "dispatch-0").await;
    println!("trials by 3 instances in {WATCH:?}: {trials}");
    // With pauses of 2, 4 and 8 s two trials of each instance fall into the time.
    assert!(trials <= 2 * cluster.instances.len(), "{trials}");
    let after = cluster.servers["dispatch-0"].starts("work");
    // What had been taken before the signal may start after it.
    assert!(after - before <= 2, "{before} {after}");
    cluster.servers["dispatch-0"].shed(false);
    cluster
        .wait_until("it takes work again", async || {
            cluster.servers["dispatch-0"].starts("work") > after
        })
        .await;
    assert!(load.finish().await > 0);
}
