//! A planned stop cuts off nothing that is in progress.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use nix::sys::signal::Signal;
use serde_json::json;
use standin::caller::Outcome;
use tokio::task::JoinSet;
use tokio::time::sleep;
use utils::Cluster;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;

const SLOW: Duration = Duration::from_millis(800);

async fn slow_cluster(proxied: bool) -> Cluster {
    let cluster = Cluster::start(Plan {
        services: vec![("dispatch", 6)],
        settings: fast_detection_settings(),
        profile: json!({"slow_start_s": 0, "retry_budget_percent": 100}),
        proxied,
        ..Plan::default()
    })
    .await;
    for server in cluster.servers.values() {
        server.set_service_time(SLOW);
    }
    cluster
}

/// Starts requests through the fabric, each by a caller of its own.
async fn load(cluster: &Cluster, count: u64, tag: &str) -> JoinSet<(String, Outcome)> {
    let mut requests = JoinSet::new();
    for number in 0..count {
        let caller = cluster.caller("dispatch", number).await;
        let payload = format!("{tag}-{number}");
        requests.spawn(async move {
            let body = payload.clone();
            let outcome = caller
                .request(RequestType::Post, "/pickup", body, WAIT_TIMEOUT)
                .await;
            (payload, outcome)
        });
    }
    requests
}

async fn all_answered(cluster: &Cluster, requests: JoinSet<(String, Outcome)>) {
    for (payload, outcome) in requests.join_all().await {
        assert!(
            matches!(outcome, Outcome::Answered { .. }),
            "{payload}: {outcome:?}"
        );
        assert_eq!(cluster.starts(&payload), 1, "{payload}");
    }
}

/// The caller gets the answer to its booking although the instance that works on
/// it is told to stop. The home forwards to a slow server, gets SIGTERM, gives
/// its slices to the backups and waits for the answer; the caller's repetitions
/// reach the new home meanwhile, which must neither run nor give up the request.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_are_answered_by_a_stopping_instance() {
    let mut cluster = slow_cluster(false).await;
    for round in 0..2 {
        let requests = load(&cluster, 9, &format!("round-{round}")).await;
        sleep(SLOW / 4).await;
        cluster.instances[round].signal(Signal::SIGTERM);
        let later = load(&cluster, 6, &format!("later-{round}")).await;
        all_answered(&cluster, requests).await;
        all_answered(&cluster, later).await;
        cluster.remove_from_fabrics(round);
        assert_eq!(cluster.instances[round].wait_for_exit().await, Some(0));
        cluster.add("merkato").await;
        cluster.wait_until_settled().await;
    }
}

/// The caller gets the answer to its booking from an instance that is told to
/// stop while its availability zone is cut off from the others and from the
/// platform. It cannot hand anything over, finishes what it has and ends in peace.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_in_a_cut_off_zone_cuts_nothing() {
    let mut cluster = slow_cluster(true).await;
    let requests = load(&cluster, 9, "before").await;
    // Every claim has been acknowledged once every request has started.
    cluster
        .wait_until("all have started", async || {
            (0..9).all(|n| cluster.starts(&format!("before-{n}")) == 1)
        })
        .await;
    cluster.cut_off(&[0]);
    cluster.cut_platform(0, true);
    cluster.remove_from_fabrics(0);
    cluster.instances[0].signal(Signal::SIGTERM);
    all_answered(&cluster, requests).await;
    assert_eq!(cluster.instances[0].wait_for_exit().await, Some(0));
}

/// Callers go on booking at an instance that is told to stop while the platform
/// is down, so that nobody else can become home of its slices. Near the end of the
/// grace time it reports new bookings as not run, finishes those in progress and
/// ends with nothing cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_without_the_platform_cuts_nothing() {
    const GRACE_S: u64 = 10;
    let mut settings = fast_detection_settings();
    settings["stop_grace_s"] = json!(GRACE_S);
    let mut cluster = Cluster::start(Plan {
        services: vec![("dispatch", 6)],
        settings,
        profile: json!({"slow_start_s": 0, "deadline_ms": 3_000}),
        ..Plan::default()
    })
    .await;
    for server in cluster.servers.values() {
        server.set_service_time(SLOW);
    }
    cluster.platform.down(true);
    cluster.instances[0].signal(Signal::SIGTERM);
    let mut tasks = JoinSet::new();
    for number in 0..6 {
        let caller = cluster.caller_at("dispatch", 0, number).await;
        tasks.spawn(async move {
            let mut told = Vec::new();
            loop {
                let payload = format!("steady-{number}-{}", told.len());
                let body = payload.clone();
                let outcome = caller
                    .request(RequestType::Post, "/pickup", body, Duration::from_secs(8))
                    .await;
                let silent = outcome == Outcome::Silent;
                told.push((payload, outcome));
                if silent {
                    return told;
                }
            }
        });
    }
    assert_eq!(cluster.instances[0].wait_for_exit().await, Some(0));
    for (payload, outcome) in tasks.join_all().await.into_iter().flatten() {
        let starts = cluster.starts(&payload);
        match outcome {
            Outcome::Answered { .. } => assert_eq!(starts, 1, "{payload}"),
            // It came after the end, or was told as not run.
            Outcome::NotRun { .. } | Outcome::Silent => assert_eq!(starts, 0, "{payload}"),
            Outcome::Unknown => panic!("{payload}: unknown, started {starts} times"),
        }
    }
}

/// An operator who signals twice wants the process gone: it ends at once, and its
/// exit code and log tell how many requests that cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_at_once_and_tells_the_count() {
    let mut cluster = slow_cluster(false).await;
    for server in cluster.servers.values() {
        server.set_service_time(WAIT_TIMEOUT);
    }
    let caller = cluster.caller_at("dispatch", 0, 1).await;
    let address = caller.address().expect("address");
    let home = cluster.home("dispatch", address);
    // The first signal finds nothing in progress; the request comes in between.
    cluster.instances[home].signal(Signal::SIGTERM);
    let _exchange = caller.begin(RequestType::Post, "/pickup", "cut").await;
    cluster
        .wait_until("the request runs", async || cluster.starts("cut") == 1)
        .await;
    let mut at = home;
    let busy = async |place: usize| {
        let status = cluster.instances[place].status().await;
        status.is_some_and(|status| status.in_progress > 0)
    };
    if !busy(home).await {
        // The slice had moved before the request came.
        at = cluster.home("dispatch", address);
        cluster.instances[at].signal(Signal::SIGTERM);
    }
    cluster
        .wait_until("the home has it in progress", async || busy(at).await)
        .await;
    sleep(Duration::from_millis(200)).await;
    cluster.instances[at].signal(Signal::SIGTERM);
    assert_eq!(cluster.instances[at].wait_for_exit().await, Some(2));
    let log = cluster.instances[at].log();
    assert!(log.contains("second signal"), "{log}");
    assert!(log.contains("cut: 1"), "{log}");
}
