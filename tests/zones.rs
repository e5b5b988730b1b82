//! Availability zones that are cut off from each other and from the platform.

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
use utils::PATIENCE;
use utils::Plan;
use utils::Watcher;
use utils::quick;

const BOOKINGS: u64 = 30;

/// Longest pause of a feed whose home is cut off, for a busy machine.
const LONGEST_GAP: Duration = Duration::from_secs(8);

async fn book(caller: Caller, payload: String) -> (String, Outcome, Caller) {
    let body = payload.clone();
    let outcome = caller
        .request(RequestType::Post, "/pickup", body, PATIENCE)
        .await;
    (payload, outcome, caller)
}

/// [`quick`], with a log that says why a caller was told "unknown".
fn told() -> Value {
    let mut settings = quick();
    settings["log"] = json!({"level": "debug", "format": "text"});
    settings
}

/// A seed that no other caller of this file's bookings has.
///
/// A caller may get the port of one that is gone. With that one's seed its request
/// has the same id, too, and is a copy to whoever takes it: it is told the outcome
/// of the earlier one.
fn next_seed() -> u64 {
    // Tests name smaller ones themselves.
    static NEXT: AtomicU64 = AtomicU64::new(100);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Bookings by callers of their own, each through one of the instances.
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
    let mut told = Vec::new();
    for (payload, outcome, _) in tasks.join_all().await {
        let name = match outcome {
            Outcome::Answered { .. } => "answered",
            Outcome::NotRun { .. } => "not run",
            Outcome::Unknown => "unknown",
            Outcome::Silent => "silent",
        };
        *counts.entry(name).or_default() += 1;
        told.push((payload, outcome));
    }
    println!("{tag}: {counts:?}");
    (counts, told)
}

fn is_true(cluster: &Cluster, told: &[(String, Outcome)]) {
    for (payload, outcome) in told {
        let starts = cluster.starts(payload);
        match outcome {
            Outcome::Answered { .. } => assert_eq!(starts, 1, "{payload}"),
            Outcome::NotRun { .. } => assert_eq!(starts, 0, "{payload}"),
            _ => assert!(starts <= 1, "{payload} started {starts} times"),
        }
    }
}

/// One zone is cut off from the others and from the platform; callers reach both
/// sides. Feeds and idempotent requests go on everywhere. Bookings whose home and
/// backup are on both sides get "unknown" in the zone that is cut off, and run on
/// the side that has the platform once the backup is promoted there. After
/// healing every slice has one home again and nothing has run twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_from_all_serves_what_it_can() {
    let cluster = Cluster::start(Plan {
        zones: vec!["bole", "kality", "merkato", "bole"],
        services: vec![("dispatch", 6)],
        settings: told(),
        profile: json!({"slow_start_s": 0, "feed_silence_s": 2, "deadline_ms": 4_000}),
        proxied: true,
        ..Plan::default()
    })
    .await;
    let mut feeds = Vec::new();
    for seed in 0..12 {
        let caller = cluster.caller("dispatch", 1_000 + seed).await;
        let feed = caller.observe("/route", PATIENCE).await.expect("a feed");
        feeds.push(Watcher::start(caller, feed));
    }
    cluster.part(&[0, 3]);
    cluster.cut_platform(0, true);
    cluster.cut_platform(3, true);
    for place in 0..4 {
        let caller = cluster.caller_at("dispatch", place, 50).await;
        let outcome = caller
            .request(RequestType::Get, "/sheet", b"", PATIENCE)
            .await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        let feed = caller.observe("/route", PATIENCE).await;
        feed.expect("a feed").cancel(PATIENCE).await;
    }
    // The others notice, and promote or replace what they cannot hear.
    cluster
        .until("the side with the platform has all slices", async || {
            let mut homes = 0;
            for place in [1, 2] {
                let status = cluster.instances[place].status().await;
                homes += status.map_or(0, |status| status.homes);
            }
            homes == 64
        })
        .await;
    let (counts, near) = bookings(&cluster, "with platform", &[1, 2]).await;
    assert_eq!(counts.get("answered"), Some(&BOOKINGS), "{counts:?}");
    let (counts, far) = bookings(&cluster, "cut off", &[0, 3]).await;
    assert_eq!(counts.get("silent"), None, "{counts:?}");
    cluster.part(&[]);
    cluster.cut_platform(0, false);
    cluster.cut_platform(3, false);
    cluster.settled().await;
    sleep(Duration::from_secs(2)).await;
    is_true(&cluster, &near);
    is_true(&cluster, &far);
    let (counts, healed) = bookings(&cluster, "healed", &[0, 1, 2, 3]).await;
    assert_eq!(counts.get("answered"), Some(&BOOKINGS), "{counts:?}");
    is_true(&cluster, &healed);
    for feed in feeds {
        let watched = feed.finish().await;
        assert_eq!(watched.ended, None);
        println!("longest pause {:?}", watched.longest);
        assert!(watched.longest < LONGEST_GAP, "{watched:?}");
    }
}

/// All zones lose each other and the platform at once, in the middle of
/// bookings. Claims cannot be acknowledged, so that bookings get "unknown" and
/// are not run by two homes; idempotent requests go on in every zone.
#[tokio::test(flavor = "multi_thread")]
async fn zones_that_lose_everything_tell_no_split_outcome() {
    let cluster = Cluster::start(Plan {
        settings: told(),
        profile: json!({"slow_start_s": 0, "deadline_ms": 4_000}),
        proxied: true,
        ..Plan::default()
    })
    .await;
    let before = {
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
    let ((_, mut told), ()) = tokio::join!(before, cut);
    let (counts, later) = bookings(&cluster, "cut off", &[0, 1, 2]).await;
    assert_eq!(counts.get("unknown"), Some(&BOOKINGS), "{counts:?}");
    told.extend(later);
    for place in 0..3 {
        let caller = cluster.caller_at("dispatch", place, 50).await;
        let outcome = caller
            .request(RequestType::Get, "/sheet", b"", PATIENCE)
            .await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    }
    cluster.part(&[]);
    for place in 0..3 {
        cluster.cut_platform(place, false);
    }
    cluster.settled().await;
    sleep(Duration::from_secs(2)).await;
    is_true(&cluster, &told);
    let (counts, healed) = bookings(&cluster, "healed", &[0, 1, 2]).await;
    assert_eq!(counts.get("answered"), Some(&BOOKINGS), "{counts:?}");
    is_true(&cluster, &healed);
}

/// A caller's feed goes on while its home and its backup cannot hear each other
/// and the platform is down, and after they can again. The backup takes the feed
/// for orphaned and serves it under greater numbers; then it hears the home and
/// stops. The home must go on above those numbers, or the caller drops all that
/// follows as old.
#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_zones_that_lose_and_find_each_other() {
    let cluster = Cluster::start(Plan {
        settings: told(),
        profile: json!({"slow_start_s": 0}),
        proxied: true,
        ..Plan::default()
    })
    .await;
    let mut feeds = Vec::new();
    for seed in 0..12 {
        let caller = cluster.caller("dispatch", seed).await;
        let feed = caller.observe("/route", PATIENCE).await.expect("a feed");
        feeds.push(Watcher::start(caller, feed));
    }
    cluster.platform.down(true);
    for _ in 0..2 {
        cluster.isolate();
        sleep(Duration::from_secs(3)).await;
        cluster.part(&[]);
        sleep(Duration::from_secs(3)).await;
    }
    cluster.platform.down(false);
    sleep(LONGEST_GAP + Duration::from_secs(1)).await;
    for feed in feeds {
        let watched = feed.finish().await;
        assert_eq!(watched.ended, None);
        assert!(watched.longest < LONGEST_GAP, "{watched:?}");
    }
}
