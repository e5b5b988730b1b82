//! Feeds survive every planned change.

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

/// Longest pause that a caller may see. Notifications come every 200 ms; the
/// slack is for a busy machine, and the measured pause is printed.
const LONGEST_GAP: Duration = Duration::from_secs(4);

/// Bookings at a steady pace until it is told to stop; the outcomes.
async fn book(
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

/// Callers hold feeds open and book while everything is replaced under them.
/// Each entry instance gets SIGTERM in turn and a new one takes its place, one
/// server drains, and the profile changes; the fabric goes on spraying, also to
/// the instance that stops. A feed that does not end, pauses or runs backwards
/// shows that each registration was made anew before the old one was dropped.
#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_the_replacement_of_all_instances() {
    let mut cluster = Cluster::start(Plan {
        services: vec![("dispatch", 4)],
        settings: fast_detection_settings(),
        // A draining server refuses bookings until it is known to leave: each
        // must be allowed a second server.
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
        bookings.spawn(book(caller, format!("booking-{seed}"), stopping.clone()));
    }
    for old in 0..3 {
        let zone = cluster.instances[old].zone;
        cluster.add(zone).await;
        cluster.instances[old].signal(Signal::SIGTERM);
        match old {
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
        // The fabric learns late that the instance is leaving.
        sleep(Duration::from_millis(500)).await;
        cluster.remove_from_fabrics(old);
        assert_eq!(cluster.instances[old].wait_for_exit().await, Some(0));
        cluster.wait_until_settled().await;
    }
    stop.send_replace(true);
    for instance in cluster.instances.iter().filter(|i| i.is_started()) {
        let status = instance.status().await.expect("status");
        assert_eq!(status.revisions[PROFILE].0, 2);
    }
    // A feed that was lost on the way shows as a pause that lasts.
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

/// A caller whose feed is being opened while its home stops still gets it. The
/// server answers only after the slice has moved, so that the old home accepts a
/// feed that it does not look after any more; it must give it to the new home.
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
    // A repetition would open the feed at the new home and hide the loss.
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
