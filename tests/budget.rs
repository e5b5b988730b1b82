//! The byte budget of control traffic between instances.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use godwitreel::rate_limit::Rate;
use godwitreel::rate_limit::TokenBucket;
use serde_json::json;
use standin::caller::Outcome;
use standin::caller::Update;
use tokio::time::Instant;
use utils::Cluster;
use utils::Instance;
use utils::Plan;

const DEADLINE: Duration = Duration::from_secs(20);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_bucket_gives_its_rate_and_no_more() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(Rate(100), start);
    assert!(bucket.take_many(100, start));
    assert!(!bucket.take_many(1, start));
    assert!(!bucket.take_many(51, start + SECOND / 2));
    assert!(bucket.take_many(50, start + SECOND / 2));
    assert!(bucket.is_full(start + 10 * SECOND));
    assert!(!bucket.take_many(101, start + 10 * SECOND));
}

#[test]
fn what_goes_out_in_any_case_makes_no_debt() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(Rate(100), start);
    bucket.take_available(1_000, start);
    assert!(!bucket.take_many(1, start));
    assert!(bucket.take_many(100, start + SECOND));
}

/// A copy larger than the bucket goes out on credit. Until it is paid off nothing
/// else does, so that the mean stays at the rate; the debt ends all the same.
#[test]
fn a_debt_is_paid_off_before_the_next() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(Rate(100), start);
    assert!(bucket.take_on_credit(500, start));
    assert!(!bucket.take_on_credit(1, start));
    assert!(!bucket.take_many(1, start + 3 * SECOND));
    assert!(!bucket.take_on_credit(1, start + 3 * SECOND));
    assert!(bucket.take_on_credit(1_000_000, start + 5 * SECOND));
    assert!(bucket.take_on_credit(1, start + 70 * SECOND));
}

/// Sum of a counter's samples whose labels hold this text.
fn count(metrics: &str, name: &str, label: &str) -> u64 {
    let samples = metrics
        .lines()
        .filter(|line| line.starts_with(name) && line.contains(label));
    let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

async fn withheld(instances: &[Instance]) -> u64 {
    let mut sum = 0;
    for instance in instances {
        let metrics = instance.metrics().await;
        sum += count(&metrics, "godwitreel_peer_withheld_total", "heartbeat");
    }
    sum
}

/// The budget is too small for the loads in heartbeats. Only these are left out:
/// no peer is suspected, feeds and bookings go on, and an instance that starts
/// while the platform is away still gets its copy of the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn loads_give_way_first() {
    let mut cluster = Cluster::start(Plan {
        services: vec![("dispatch", 6)],
        settings: json!({"peer_bytes_per_second": 256, "heartbeat_ms": 200}),
        ..Plan::default()
    })
    .await;
    let mut feeds = Vec::new();
    let driver = cluster.caller("dispatch", 1).await;
    for _ in 0..6 {
        feeds.push(driver.observe("/route", DEADLINE).await.expect("a feed"));
    }
    cluster
        .until("loads are left out", async || {
            withheld(&cluster.instances).await > 0
        })
        .await;
    for number in 0..20 {
        let id = format!("booking-{number}");
        let outcome = driver
            .request(RequestType::Post, "/pickup", id.as_bytes(), DEADLINE)
            .await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        assert_eq!(cluster.starts(&id), 1);
    }
    for feed in &mut feeds {
        let update = feed.next(DEADLINE).await;
        assert!(matches!(update, Update::Notification { .. }), "{update:?}");
    }
    for instance in &cluster.instances {
        let status = instance.status().await.expect("a status");
        assert_eq!(status.peers.len(), 2);
        assert!(status.peers.iter().all(|peer| peer.live), "{status:?}");
    }
    cluster.platform.down(true);
    let known = cluster.instances[0].status().await.expect("a status");
    let place = cluster.add("bole").await;
    cluster
        .until("the new instance has the configuration", async || {
            let status = cluster.instances[place].status().await;
            status.is_some_and(|status| status.revisions == known.revisions)
        })
        .await;
}

/// With room for all, nothing is left out, and what is said stays in the budget.
#[tokio::test(flavor = "multi_thread")]
async fn the_default_budget_holds_all_and_is_kept() {
    const BUDGET: u64 = 2_048;
    const CONTROL: [&str; 4] = ["heartbeat", "yield", "pull", "push"];
    let cluster = Cluster::start(Plan {
        services: vec![("dispatch", 6)],
        ..Plan::default()
    })
    .await;
    let driver = cluster.caller("dispatch", 1).await;
    let mut feeds = Vec::new();
    for _ in 0..6 {
        feeds.push(driver.observe("/route", DEADLINE).await.expect("a feed"));
    }
    let sent = async || {
        let metrics = cluster.instances[0].metrics().await;
        let sent = |kind| {
            let label = format!("kind=\"{kind}\",direction=\"sent\"");
            count(&metrics, "godwitreel_peer_bytes_total", &label)
        };
        CONTROL.into_iter().map(sent).sum::<u64>()
    };
    let (before, start) = (sent().await, Instant::now());
    tokio::time::sleep(3 * SECOND).await;
    let bytes = sent().await - before;
    let peers = cluster.instances.len() as u64 - 1;
    // One bucket may have been full at the start.
    let seconds = start.elapsed().as_secs() + 2;
    assert!(bytes > 0);
    assert!(bytes <= peers * BUDGET * seconds, "{bytes} bytes");
    // A copy of the configuration at the start may still be paid off.
    cluster
        .until("nothing is left out", async || {
            let before = withheld(&cluster.instances).await;
            tokio::time::sleep(2 * SECOND).await;
            withheld(&cluster.instances).await == before
        })
        .await;
}
