//! A planned stop aborts no request in progress.

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

/// Time that a server takes for a request, so that an instance can be stopped before
/// the answer comes.
const SERVICE_TIME: Duration = Duration::from_millis(800);

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
        server.set_service_time(SERVICE_TIME);
    }
    cluster
}

/// Starts requests through the fabric, each from a separate caller.
async fn start_requests(
    cluster: &Cluster,
    count: u64,
    name_prefix: &str,
) -> JoinSet<(String, Outcome)> {
    let mut requests = JoinSet::new();
    for number in 0..count {
        let caller = cluster.caller("dispatch", number).await;
        let payload = format!("{name_prefix}-{number}");
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

async fn assert_all_answered(cluster: &Cluster, requests: JoinSet<(String, Outcome)>) {
    for (payload, outcome) in requests.join_all().await {
        assert!(
            matches!(outcome, Outcome::Answered { .. }),
            "{payload}: {outcome:?}"
        );
        assert_eq!(cluster.starts(&payload), 1, "{payload}");
    }
}

/// A caller gets the answer to its booking although the instance that handles it is
/// stopped. The home forwards to a slow server, gets SIGTERM, hands its slices over to
/// the backups and waits for the answer. Meanwhile the caller's retransmissions reach
/// the new home, which must neither run nor abandon the request.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_are_answered_by_a_stopping_instance() {
    let mut cluster = slow_cluster(false).await;
    for round in 0..2 {
        let requests = start_requests(&cluster, 9, &format!("round-{round}")).await;
        sleep(SERVICE_TIME / 4).await;
        cluster.instances[round].signal(Signal::SIGTERM);
        let later_requests = start_requests(&cluster, 6, &format!("later-{round}")).await;
        assert_all_answered(&cluster, requests).await;
        assert_all_answered(&cluster, later_requests).await;
        cluster.remove_from_fabrics(round);
        assert_eq!(cluster.instances[round].wait_for_exit().await, Some(0));
        cluster.add("merkato").await;
        cluster.wait_until_settled().await;
    }
}

/// A caller gets the answer to its booking from an instance that is stopped while its
/// availability zone is cut off from the other zones and from the platform. The
/// instance cannot hand over its slices, so it completes the requests in progress and
/// exits with code 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_in_a_cut_off_zone_aborts_no_request() {
    let mut cluster = slow_cluster(true).await;
    let requests = start_requests(&cluster, 9, "before").await;
    // A request starts only after its claim has been acknowledged.
    cluster
        .wait_until("all requests have started", async || {
            (0..9).all(|n| cluster.starts(&format!("before-{n}")) == 1)
        })
        .await;
    cluster.cut_off(&[0]);
    cluster.cut_platform(0, true);
    cluster.remove_from_fabrics(0);
    cluster.instances[0].signal(Signal::SIGTERM);
    assert_all_answered(&cluster, requests).await;
    assert_eq!(cluster.instances[0].wait_for_exit().await, Some(0));
}

/// Callers send bookings to a stopping instance while the platform is down, so that no
/// other instance can become home of its slices. Near the end of the grace period it
/// answers new bookings as not run, completes those in progress and exits without
/// aborting any.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_without_the_platform_aborts_no_request() {
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
        server.set_service_time(SERVICE_TIME);
    }
    cluster.platform.down(true);
    cluster.instances[0].signal(Signal::SIGTERM);
    let mut tasks = JoinSet::new();
    for number in 0..6 {
        let caller = cluster.caller_at("dispatch", 0, number).await;
        tasks.spawn(async move {
            let mut outcomes = Vec::new();
            loop {
                let payload = format!("steady-{number}-{}", outcomes.len());
                let body = payload.clone();
                let outcome = caller
                    .request(RequestType::Post, "/pickup", body, Duration::from_secs(8))
                    .await;
                let silent = outcome == Outcome::Silent;
                outcomes.push((payload, outcome));
                if silent {
                    return outcomes;
                }
            }
        });
    }
    assert_eq!(cluster.instances[0].wait_for_exit().await, Some(0));
    for (payload, outcome) in tasks.join_all().await.into_iter().flatten() {
        let starts = cluster.starts(&payload);
        match outcome {
            Outcome::Answered { .. } => assert_eq!(starts, 1, "{payload}"),
            // The request came after the exit, or was answered as not run.
            Outcome::NotRun { .. } | Outcome::Silent => assert_eq!(starts, 0, "{payload}"),
            Outcome::Unknown => panic!("{payload}: unknown, started {starts} times"),
        }
    }
}

/// A second signal ends the process at once. The exit code shows that requests were
/// aborted, and the log contains their number.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_at_once_and_logs_the_count() {
    let mut cluster = slow_cluster(false).await;
    for server in cluster.servers.values() {
        server.set_service_time(WAIT_TIMEOUT);
    }
    let caller = cluster.caller_at("dispatch", 0, 1).await;
    let address = caller.address().expect("address");
    let home = cluster.home("dispatch", address);
    // No request is in progress at the first signal; one arrives before the second.
    cluster.instances[home].signal(Signal::SIGTERM);
    let _exchange = caller.begin(RequestType::Post, "/pickup", "cut").await;
    cluster
        .wait_until("the request has started", async || {
            cluster.starts("cut") == 1
        })
        .await;
    let mut owner = home;
    let is_busy = async |index: usize| {
        let status = cluster.instances[index].status().await;
        status.is_some_and(|status| status.in_progress > 0)
    };
    if !is_busy(home).await {
        // The slice had moved before the request arrived.
        owner = cluster.home("dispatch", address);
        cluster.instances[owner].signal(Signal::SIGTERM);
    }
    cluster
        .wait_until("the home has the request in progress", async || {
            is_busy(owner).await
        })
        .await;
    sleep(Duration::from_millis(200)).await;
    cluster.instances[owner].signal(Signal::SIGTERM);
    assert_eq!(cluster.instances[owner].wait_for_exit().await, Some(2));
    let log = cluster.instances[owner].log();
    assert!(log.contains("second signal"), "{log}");
    assert!(log.contains("cut: 1"), "{log}");
}
