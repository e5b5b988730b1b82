//! A request and a feed through caller, fabric and server.

use std::time::Duration;

use coap_lite::RequestType;
use coap_lite::ResponseType;
use standin::caller;
use standin::caller::Outcome;
use standin::caller::Update;
use standin::fabric;
use standin::server;

const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test]
async fn a_request_and_a_feed_pass_the_fabric() {
    let server = server::start(server::Settings {
        notify_interval: Duration::from_millis(20),
        ..server::Settings::new("d1", "dispatch")
    })
    .await
    .expect("the server starts");
    let any_port = ([127, 0, 0, 1], 0).into();
    let fabric = fabric::start(any_port, vec![server.address()], 1)
        .await
        .expect("the fabric starts");
    let mut settings = caller::Settings::new(fabric.address());
    settings.host = Some("dispatch".to_owned());
    let caller = caller::start(settings).await.expect("the caller starts");

    let outcome = caller
        .request(RequestType::Post, "/pickups", "p-1", TIMEOUT)
        .await;
    let Outcome::Answered { code, payload } = outcome else {
        panic!("not answered: {outcome:?}");
    };
    assert_eq!(code, ResponseType::Created);
    assert_eq!(payload, b"server=d1,path=/pickups,size=3,id=p-1");
    assert_eq!(server.starts("p-1"), 1);

    let mut feed = caller
        .observe("/routes", TIMEOUT)
        .await
        .expect("the feed opens");
    for _ in 0..3 {
        let update = feed.next(TIMEOUT).await;
        assert!(matches!(update, Update::Notification { .. }), "{update:?}");
    }
    assert_eq!(feed.missed(), 0);
    assert_eq!(feed.server(), Some("d1"));
    assert_eq!(server.observers(), 1);
    feed.cancel(TIMEOUT).await;
    assert_eq!(server.observers(), 0);
}
