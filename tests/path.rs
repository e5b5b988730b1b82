//! Requests and feeds on the whole path: caller, fabric, entry instance, backend server.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use standin::caller::Outcome;
use standin::caller::Update;
use utils::Cluster;
use utils::Plan;

const TIMEOUT: Duration = Duration::from_secs(10);

/// The packets of one caller may reach different instances. Each caller must still
/// get the answer to its own request, from a server of the right service.
#[tokio::test(flavor = "multi_thread")]
async fn requests_and_a_feed_go_through_any_instance() {
    let cluster = Cluster::start(Plan {
        services: vec![("dispatch", 3), ("ledger", 2)],
        ..Plan::default()
    })
    .await;
    let dispatch_caller = cluster.caller("dispatch", 1).await;
    let mut feed = dispatch_caller
        .observe("/route", TIMEOUT)
        .await
        .expect("a feed");
    for number in 0..20 {
        let payload = format!("booking-{number}");
        let outcome = dispatch_caller
            .request(RequestType::Post, "/pickup", payload.as_bytes(), TIMEOUT)
            .await;
        assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
        assert_eq!(cluster.starts(&payload), 1);
    }
    let ledger_caller = cluster.caller("ledger", 2).await;
    let outcome = ledger_caller
        .request(RequestType::Get, "/sheet", b"", TIMEOUT)
        .await;
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    for _ in 0..5 {
        let update = feed.next(TIMEOUT).await;
        assert!(matches!(update, Update::Notification { .. }), "{update:?}");
    }
    assert_eq!(cluster.wrong_service(), 0);
}
