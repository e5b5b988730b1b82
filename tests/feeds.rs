//! Feeds continue through planned changes of instances, servers and profiles.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use nix::sys::signal::Signal;
use serde_json::json;
use standin::caller;
use standin::caller::Outcome;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use utils::Cluster;
use utils::FeedWatcher;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;

const FEEDS: u64 = 24;
const PROFILE: &str = "profiles/standard";

/// Longest time that a caller may wait for the next notification. Servers send one
/// every 200 ms; the limit leaves a margin for a busy machine, and the test prints the
/// longest time seen.
const LONGEST_GAP: Duration = Duration::from_secs(4);

/// Sends bookings at a constant rate until `stop` is set, and returns their outcomes.
async fn send_bookings(
    caller: standin::caller::Caller,
    name: String,
    stop: watch::Receiver<bool>,
) -> Vec<(String, Outcome)> {
    let mut outcomes = Vec::new();
    while !*stop.borrow() {
        let payload = format!("{name}-{}", outcomes.len());
        let outcome = caller
            .request(RequestType::Post, "/pickup", payload.clone(), WAIT_TIMEOUT)
            .await;
        outcomes.push((payload, outcome));
        sleep(Duration::from_millis(100)).await;
    }
    outcomes
}

/// Callers keep feeds open and send bookings while all entry instances are replaced.
/// Each instance gets SIGTERM in turn and a new one replaces it, one server drains, and
/// the profile changes. The fabric still sends packets to all instances, including the
/// stopping one. A feed must not end, pause or deliver older notifications again: a new
/// registration must exist before the old one is removed.
#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_the_replacement_of_all_instances() {
    let mut cluster = Cluster::start(Plan {
        services: vec![("dispatch", 4)],
        settings: fast_detection_settings(),
        // A draining server refuses bookings before the instances know that it drains,
        // so every booking must be allowed a retry at a second server.
        profile: json!({"slow_start_s": 0, "retry_budget_percent": 100}),
        ..Plan::default()
    })
    .await;
    let mut feeds = Vec::new();
    for seed in 0..FEEDS {
        let caller = cluster.caller("dispatch", seed).await;
        let feed = caller
            .observe("/route", WAIT_TIMEOUT)
            .await
            .expect("a feed");
        feeds.push(FeedWatcher::start(caller, feed));
    }
    let (stop, stopping) = watch::channel(false);
    let mut bookings = JoinSet::new();
    for seed in 0..4 {
        let caller = cluster.caller("dispatch", 100 + seed).await;
        bookings.spawn(send_bookings(
            caller,
            format!("booking-{seed}"),
            stopping.clone(),
        ));
    }
    for index in 0..3 {
        let zone = cluster.instances[index].zone;
        cluster.add(zone).await;
        cluster.instances[index].signal(Signal::SIGTERM);
        match index {
            0 => {
                cluster.servers["dispatch-0"].drain(true);
                cluster.list_server("dispatch-0", "leaving");
            }
            1 => cluster.change_profile(
                2,
                &json!({"slow_start_s": 0, "retry_budget_percent": 100, "balance_weight": 10}),
            ),
            _ => {}
        }
        // The fabric sends to the stopping instance for a while before it is unlisted.
        sleep(Duration::from_millis(500)).await;
        cluster.remove_from_fabrics(index);
        assert_eq!(cluster.instances[index].wait_for_exit().await, Some(0));
        cluster.wait_until_settled().await;
    }
    stop.send_replace(true);
    for instance in cluster.instances.iter().filter(|i| i.is_started()) {
        let status = instance.status().await.expect("status");
        assert_eq!(status.revisions[PROFILE].0, 2);
    }
    // A lost feed shows as a pause that exceeds the limit.
    sleep(LONGEST_GAP + Duration::from_secs(1)).await;
    let mut longest = Duration::ZERO;
    for feed in feeds {
        let watched = feed.finish().await;
        assert_eq!(watched.final_outcome, None);
        assert!(watched.longest_gap < LONGEST_GAP, "{watched:?}");
        longest = longest.max(watched.longest_gap);
    }
    println!("longest pause of {FEEDS} feeds: {longest:?}");
    assert_eq!(cluster.servers["dispatch-0"].observers(), 0);
    for (payload, outcome) in bookings.join_all().await.into_iter().flatten() {
        let answered = matches!(outcome, Outcome::Answered { .. });
        assert!(answered, "{payload}: {outcome:?}");
        assert_eq!(cluster.starts(&payload), 1, "{payload}");
    }
}

/// A caller gets its feed although the home stops while the feed is being opened. The
/// server answers only after the slice has moved, so the old home receives the answer
/// for a slice that it no longer owns. It must hand the feed over to the new home.
#[tokio::test(flavor = "multi_thread")]
async fn a_feed_opened_during_a_stop_goes_on() {
    let mut cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        profile: json!({"slow_start_s": 0, "attempt_timeout_ms": 8_000}),
        ..Plan::default()
    })
    .await;
    for server in cluster.servers.values() {
        server.set_service_time(Duration::from_millis(3_500));
    }
    // A retransmission would open the feed at the new home and hide the loss.
    let mut settings = caller::Settings::new(cluster.instances[0].listeners["dispatch"]);
    settings.max_retransmit = 0;
    let caller = caller::start(settings).await.expect("caller");
    let address = caller.address().expect("address");
    let home = cluster.home("dispatch", address);
    let opening = tokio::spawn(async move {
        let feed = caller.observe("/route", WAIT_TIMEOUT).await;
        (caller, feed)
    });
    cluster
        .wait_until("the server has the registration", async || {
            cluster
                .servers
                .values()
                .any(|server| server.outstanding() > 0)
        })
        .await;
    for server in cluster.servers.values() {
        server.set_service_time(Duration::from_millis(5));
    }
    cluster.instances[home].signal(Signal::SIGTERM);
    let (caller, feed) = opening.await.expect("the caller");
    let feed = FeedWatcher::start(caller, feed.expect("a feed"));
    assert_eq!(cluster.instances[home].wait_for_exit().await, Some(0));
    sleep(LONGEST_GAP + Duration::from_secs(1)).await;
    let watched = feed.finish().await;
    assert_eq!(watched.final_outcome, None);
    println!("longest pause: {:?}", watched.longest_gap);
    assert!(watched.longest_gap < LONGEST_GAP, "{watched:?}");
}
