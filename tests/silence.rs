//! A feed without notifications is registered again by its home.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use serde_json::json;
use standin::caller::Outcome;
use standin::caller::Update;
use tokio::time::Instant;
use utils::Cluster;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;

const SILENCE: Duration = Duration::from_secs(2);

/// Allowance on top of the profile's silence limit, for a loaded machine.
const BOUND: Duration = Duration::from_secs(6);

/// A feed gets no more notifications although new requests succeed, because a
/// device between the home and the server has dropped the registration state
/// without notice. After the profile's silence limit the home registers the feed
/// again with the same server, and the notifications continue without any action of
/// the caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_feed_comes_back_without_the_caller() {
    let cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        profile: json!({"feed_silence_s": SILENCE.as_secs(), "slow_start_s": 0}),
        ..Plan::default()
    })
    .await;
    let driver = cluster.caller("dispatch", 1).await;
    let mut feed = driver
        .observe("/route", WAIT_TIMEOUT)
        .await
        .expect("a feed");
    for round in 0..2 {
        let dropped_at = Instant::now();
        for server in cluster.servers.values() {
            server.clear_observers();
        }
        let outcome = driver
            .request(RequestType::Get, "/sheet", b"", WAIT_TIMEOUT)
            .await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        // Notifications sent before the server dropped the registration arrive first.
        while let Update::Notification { .. } = feed.next(Duration::from_millis(600)).await {}
        let update = feed.next(WAIT_TIMEOUT).await;
        let gap = dropped_at.elapsed();
        assert!(matches!(update, Update::Notification { .. }), "{update:?}");
        println!("round {round}: notifications resumed after {gap:?}");
        assert!(gap < SILENCE + BOUND, "{gap:?}");
        let observers: usize = cluster.servers.values().map(|s| s.observers()).sum();
        assert_eq!(observers, 1);
        for _ in 0..5 {
            let update = feed.next(WAIT_TIMEOUT).await;
            assert!(matches!(update, Update::Notification { .. }), "{update:?}");
        }
    }
}

/// A feed's server is frozen, and its next health probe is not due yet. The home
/// registers the feed again with that server once, gets no answer within the attempt
/// timeout, and then registers the feed with another server.
#[tokio::test(flavor = "multi_thread")]
async fn a_feed_of_a_frozen_server_moves_to_another() {
    let cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        profile: json!({"feed_silence_s": SILENCE.as_secs(), "slow_start_s": 0}),
        ..Plan::default()
    })
    .await;
    let driver = cluster.caller("dispatch", 1).await;
    let mut feed = driver
        .observe("/route", WAIT_TIMEOUT)
        .await
        .expect("a feed");
    let server = feed.server().expect("a server").to_owned();
    cluster.servers[&server].freeze(true);
    let frozen = Instant::now();
    while feed.server() == Some(&server) {
        let update = feed.next(WAIT_TIMEOUT).await;
        assert!(matches!(update, Update::Notification { .. }), "{update:?}");
    }
    println!("moved after {:?}", frozen.elapsed());
    assert!(frozen.elapsed() < SILENCE + BOUND);
}
