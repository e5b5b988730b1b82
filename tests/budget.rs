//! Byte budget of control traffic between instances.

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
fn essential_messages_cause_no_debt() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(Rate(100), start);
    bucket.take_available(1_000, start);
    assert!(!bucket.take_many(1, start));
    assert!(bucket.take_many(100, start + SECOND));
}

/// A configuration copy larger than the bucket is sent on credit. No further copy is
/// sent until the debt is paid off, so that the mean stays at the rate. The debt is
/// limited, so that a very large copy does not block a peer forever.
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

/// Sum of a counter's samples whose labels contain this text.
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

/// The budget is too small for the loads in heartbeats. Only the loads are omitted: no
/// peer is suspected, feeds and bookings continue, and an instance that starts during an
/// outage of the platform still gets a copy of the configuration from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn loads_are_omitted_first() {
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
        .wait_until("loads are omitted", async || {
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
    let index = cluster.add("bole").await;
    cluster
        .wait_until("the new instance has the configuration", async || {
            let status = cluster.instances[index].status().await;
            status.is_some_and(|status| status.revisions == known.revisions)
        })
        .await;
}

/// With the default budget nothing is omitted, and the traffic stays within the budget.
#[tokio::test(flavor = "multi_thread")]
async fn the_default_budget_suffices_and_is_not_exceeded() {
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
    // A bucket may have been full at the start, which allows one more second's worth.
    let seconds = start.elapsed().as_secs() + 2;
    assert!(bytes > 0);
    assert!(bytes <= peers * BUDGET * seconds, "{bytes} bytes");
    // The debt of a configuration copy at the start may not be paid off yet.
    cluster
        .wait_until("nothing is omitted", async || {
            let before = withheld(&cluster.instances).await;
            tokio::time::sleep(2 * SECOND).await;
            withheld(&cluster.instances).await == before
        })
        .await;
}
