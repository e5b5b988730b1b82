//! Network partitions between availability zones, and between zones and the platform.

mod utils;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coap_lite::RequestType;
use serde_json::Value;
use serde_json::json;
use standin::caller::Caller;
use standin::caller::Outcome;
use tokio::task::JoinSet;
use tokio::time::sleep;
use utils::Cluster;
use utils::FeedWatcher;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;

const BOOKINGS: u64 = 30;

/// Longest allowed time between two notifications of a feed whose home is cut off; wide
/// enough for a busy test machine.
const MAX_NOTIFICATION_GAP: Duration = Duration::from_secs(8);

async fn book(caller: Caller, payload: String) -> (String, Outcome, Caller) {
    let body = payload.clone();
    let outcome = caller
        .request(RequestType::Post, "/pickup", body, WAIT_TIMEOUT)
        .await;
    (payload, outcome, caller)
}

/// [`quick`] with debug logs, which give the reason for each "unknown" outcome.
fn settings_with_debug_log() -> Value {
    let mut settings = fast_detection_settings();
    settings["log"] = json!({"level": "debug", "format": "text"});
    settings
}

/// A seed that no other caller of the bookings in this file has.
///
/// The operating system may reuse the port of a caller that has ended. With the same seed
/// the new caller would also reuse the request id, so that its request would count as a
/// duplicate and get the outcome of the earlier request.
fn next_seed() -> u64 {
    // Seeds below 100 are chosen by the tests themselves.
    static NEXT: AtomicU64 = AtomicU64::new(100);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Sends [`BOOKINGS`] bookings, each from a new caller, through `places` in turn.
///
/// Returns the number of each outcome, and every payload with its outcome.
async fn bookings(
    cluster: &Cluster,
    tag: &str,
    places: &[usize],
) -> (BTreeMap<&'static str, u64>, Vec<(String, Outcome)>) {
    let mut tasks = JoinSet::new();
    for number in 0..BOOKINGS {
        let place = places[number as usize % places.len()];
        let caller = cluster.caller_at("dispatch", place, next_seed()).await;
        tasks.spawn(book(caller, format!("{tag}-{number}")));
    }
    let mut counts = BTreeMap::new();
    let mut outcomes = Vec::new();
    for (payload, outcome, _) in tasks.join_all().await {
        let name = match outcome {
            Outcome::Answered { .. } => "answered",
            Outcome::NotRun { .. } => "not run",
            Outcome::Unknown => "unknown",
            Outcome::Silent => "silent",
        };
        *counts.entry(name).or_default() += 1;
        outcomes.push((payload, outcome));
    }
    println!("{tag}: {counts:?}");
    (counts, outcomes)
}

/// Asserts that each reported outcome matches how often the request ran.
fn assert_outcomes_match_runs(cluster: &Cluster, outcomes: &[(String, Outcome)]) {
    for (payload, outcome) in outcomes {
        let starts = cluster.starts(payload);
        match outcome {
            Outcome::Answered { .. } => assert_eq!(starts, 1, "{payload}"),
            Outcome::NotRun { .. } => assert_eq!(starts, 0, "{payload}"),
            _ => assert!(starts <= 1, "{payload} started {starts} times"),
        }
    }
}

/// One zone is cut off from the other zones and from the platform, while callers reach
/// both sides. Feeds and idempotent requests continue on both sides. Bookings of a slice
/// whose home is on one side and whose backup is on the other get "unknown" in the
/// isolated zone; on the side with the platform they run once the backup is promoted.
/// After the partition heals, each slice has one home again and no booking has run twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_from_all_serves_what_it_can() {
    let cluster = Cluster::start(Plan {
        zones: vec!["bole", "kality", "merkato", "bole"],
        services: vec![("dispatch", 6)],
        settings: settings_with_debug_log(),
        profile: json!({"slow_start_s": 0, "feed_silence_s": 2, "deadline_ms": 4_000}),
        proxied: true,
        ..Plan::default()
    })
    .await;
    let mut feeds = Vec::new();
    for seed in 0..12 {
        let caller = cluster.caller("dispatch", 1_000 + seed).await;
        let feed = caller
            .observe("/route", WAIT_TIMEOUT)
            .await
            .expect("a feed");
        feeds.push(FeedWatcher::start(caller, feed));
    }
    cluster.cut_off(&[0, 3]);
    cluster.cut_platform(0, true);
    cluster.cut_platform(3, true);
    for place in 0..4 {
        let caller = cluster.caller_at("dispatch", place, 50).await;
        let outcome = caller
            .request(RequestType::Get, "/sheet", b"", WAIT_TIMEOUT)
            .await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        let feed = caller.observe("/route", WAIT_TIMEOUT).await;
        feed.expect("a feed").cancel(WAIT_TIMEOUT).await;
    }
    // The reachable instances detect the partition and take over the slices of the
    // isolated ones: they promote backups or assign new homes.
    cluster
        .wait_until("the side with the platform has all slices", async || {
            let mut homes = 0;
            for place in [1, 2] {
                let status = cluster.instances[place].status().await;
                homes += status.map_or(0, |status| status.homes);
            }
            homes == 64
        })
        .await;
    let (counts, connected) = bookings(&cluster, "with platform", &[1, 2]).await;
    assert_eq!(counts.get("answered"), Some(&BOOKINGS), "{counts:?}");
    let (counts, isolated) = bookings(&cluster, "cut off", &[0, 3]).await;
    assert_eq!(counts.get("silent"), None, "{counts:?}");
    cluster.cut_off(&[]);
    cluster.cut_platform(0, false);
    cluster.cut_platform(3, false);
    cluster.wait_until_settled().await;
    sleep(Duration::from_secs(2)).await;
    assert_outcomes_match_runs(&cluster, &connected);
    assert_outcomes_match_runs(&cluster, &isolated);
    let (counts, healed) = bookings(&cluster, "healed", &[0, 1, 2, 3]).await;
    assert_eq!(counts.get("answered"), Some(&BOOKINGS), "{counts:?}");
    assert_outcomes_match_runs(&cluster, &healed);
    for feed in feeds {
        let watched = feed.finish().await;
        assert_eq!(watched.final_outcome, None);
        println!("longest pause {:?}", watched.longest_gap);
        assert!(watched.longest_gap < MAX_NOTIFICATION_GAP, "{watched:?}");
    }
}

/// All zones are cut off from each other and from the platform at once, while bookings
/// are in progress. Homes get no acknowledgement of their claims, so bookings get
/// "unknown" and never run on two homes. Idempotent requests continue in every zone.
#[tokio::test(flavor = "multi_thread")]
async fn fully_isolated_zones_report_no_conflicting_outcomes() {
    let cluster = Cluster::start(Plan {
        settings: settings_with_debug_log(),
        profile: json!({"slow_start_s": 0, "deadline_ms": 4_000}),
        proxied: true,
        ..Plan::default()
    })
    .await;
    let during = {
        let cluster = &cluster;
        async move { bookings(cluster, "during the cut", &[0, 1, 2]).await }
    };
    let cut = async {
        sleep(Duration::from_millis(10)).await;
        cluster.isolate();
        for place in 0..3 {
            cluster.cut_platform(place, true);
        }
    };
    let ((_, mut outcomes), ()) = tokio::join!(during, cut);
    let (counts, later) = bookings(&cluster, "cut off", &[0, 1, 2]).await;
    assert_eq!(counts.get("unknown"), Some(&BOOKINGS), "{counts:?}");
    outcomes.extend(later);
    for place in 0..3 {
        let caller = cluster.caller_at("dispatch", place, 50).await;
        let outcome = caller
            .request(RequestType::Get, "/sheet", b"", WAIT_TIMEOUT)
            .await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    }
    cluster.cut_off(&[]);
    for place in 0..3 {
        cluster.cut_platform(place, false);
    }
    cluster.wait_until_settled().await;
    sleep(Duration::from_secs(2)).await;
    assert_outcomes_match_runs(&cluster, &outcomes);
    let (counts, healed) = bookings(&cluster, "healed", &[0, 1, 2]).await;
    assert_eq!(counts.get("answered"), Some(&BOOKINGS), "{counts:?}");
    assert_outcomes_match_runs(&cluster, &healed);
}

/// A feed continues while its home and its backup are partitioned and the platform is
/// down, and after they reconnect. During the partition the backup considers the feed
/// orphaned and serves it with higher sequence numbers, and stops once it is connected
/// to the home again. The home must continue above those numbers; otherwise the caller
/// drops every later notification as out of date.
#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_zones_that_split_and_reconnect() {
    let cluster = Cluster::start(Plan {
        settings: settings_with_debug_log(),
        profile: json!({"slow_start_s": 0}),
        proxied: true,
        ..Plan::default()
    })
    .await;
    let mut feeds = Vec::new();
    for seed in 0..12 {
        let caller = cluster.caller("dispatch", seed).await;
        let feed = caller
            .observe("/route", WAIT_TIMEOUT)
            .await
            .expect("a feed");
        feeds.push(FeedWatcher::start(caller, feed));
    }
    cluster.platform.down(true);
    for _ in 0..2 {
        cluster.isolate();
        sleep(Duration::from_secs(3)).await;
        cluster.cut_off(&[]);
        sleep(Duration::from_secs(3)).await;
    }
    cluster.platform.down(false);
    sleep(MAX_NOTIFICATION_GAP + Duration::from_secs(1)).await;
    for feed in feeds {
        let watched = feed.finish().await;
        assert_eq!(watched.final_outcome, None);
        assert!(watched.longest_gap < MAX_NOTIFICATION_GAP, "{watched:?}");
    }
}
