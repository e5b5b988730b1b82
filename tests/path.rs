//! The whole path: caller, fabric, entry instances, backend servers.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use standin::caller::Outcome;
use standin::caller::Update;
use utils::Cluster;
use utils::Plan;

const DEADLINE: Duration = Duration::from_secs(10);

/// Every packet may reach another instance, and each caller still gets the answer
/// to its own request from a server of the right service.
#[tokio::test(flavor = "multi_thread")]
async fn requests_and_a_feed_go_through_any_instance() {
    let cluster = Cluster::start(Plan {
        services: vec![("dispatch", 3), ("ledger", 2)],
        ..Plan::default()
    })
    .await;
    let driver = cluster.caller("dispatch", 1).await;
    let mut feed = driver.observe("/route", DEADLINE).await.expect("a feed");
    for number in 0..20 {
        let payload = format!("booking-{number}");
        let outcome = driver
            .request(RequestType::Post, "/pickup", payload.as_bytes(), DEADLINE)
            .await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        assert_eq!(cluster.starts(&payload), 1);
    }
    let office = cluster.caller("ledger", 2).await;
    let outcome = office
        .request(RequestType::Get, "/sheet", b"", DEADLINE)
        .await;
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    for _ in 0..5 {
        let update = feed.next(DEADLINE).await;
        assert!(matches!(update, Update::Notification { .. }), "{update:?}");
    }
    assert_eq!(cluster.wrong_service(), 0);
}
