//! Requests never reach a server of another service, and invalid input is dropped.

mod utils;

use std::time::Duration;

use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use serde_json::json;
use standin::caller::Outcome;
use standin::caller::Update;
use standin::server;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;
use utils::Cluster;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;
use utils::metric_sum;

/// Minimum time that a process needs to start.
const START_TIME: Duration = Duration::from_millis(50);

/// Starts a server as soon as the previous one has released its addresses.
async fn start_on_released_addresses(settings: server::Settings) -> server::Handle {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    sleep(START_TIME).await;
    loop {
        match server::start(settings.clone()).await {
            Ok(handle) => return handle,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// A caller sends bookings to dispatch while one of its servers ends and a server of
/// ledger starts on the same addresses; the platform's list still contains it as a
/// server of dispatch. The end of the first process closes the health connection on
/// which the use of the address depends, and the health answer of the second process
/// names another service, so the instances must send no request there. No request may
/// reach the ledger server, although it would refuse one for another service.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_of_another_service_on_an_old_address_runs_nothing() {
    let mut cluster = Cluster::start(Plan {
        services: vec![("dispatch", 3), ("ledger", 1)],
        settings: fast_detection_settings(),
        profile: json!({"slow_start_s": 0}),
        ..Plan::default()
    })
    .await;
    let caller = cluster.caller("dispatch", 1).await;
    let old_server = cluster.servers.remove("dispatch-0").expect("a server");
    let mut settings = server::Settings::new("ledger-9", "ledger");
    settings.bind = old_server.address();
    settings.health_bind = old_server.health_address();
    old_server.stop().await;
    let ledger_server = start_on_released_addresses(settings).await;
    let started = Instant::now();
    let deadline = started + Duration::from_secs(6);
    let mut number = 0;
    while Instant::now() < deadline {
        let payload = format!("booking-{number}");
        caller
            .request(RequestType::Post, "/pickup", payload, WAIT_TIMEOUT)
            .await;
        number += 1;
    }
    let received = ledger_server.received_since(started);
    let last = received.last().map(|received| received.at - started);
    println!(
        "{number} bookings, {} reached the other service, the last after {last:?}",
        ledger_server.wrong_service()
    );
    assert!(
        ledger_server.all_starts().is_empty(),
        "{:?}",
        ledger_server.all_starts()
    );
    assert!(received.is_empty(), "{received:?}");
}

async fn count_events(cluster: &Cluster, reason: &str) -> u64 {
    let mut sum = 0;
    for instance in &cluster.instances {
        sum += metric_sum(&instance.metrics().await, reason);
    }
    sum
}

/// Sends one datagram from a new socket.
async fn send(datagram: &[u8], to: std::net::SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("bind");
    socket.send_to(datagram, to).await.expect("send");
}

fn forged_answer(token: [u8; 8]) -> Vec<u8> {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Response(ResponseType::Content);
    packet.header.set_type(MessageType::NonConfirmable);
    packet.set_token(token.to_vec());
    packet.payload = b"forged".to_vec();
    packet.to_bytes().expect("bytes")
}

/// Every kind of socket receives unexpected datagrams: the sockets toward the servers,
/// the peer port and the listeners. Each datagram is dropped and counted, and the
/// caller's feed and requests are not disturbed.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_and_malformed_datagrams_are_dropped_and_counted() {
    let cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        ..Plan::default()
    })
    .await;
    let test_start = Instant::now();
    let dispatch_caller = cluster.caller("dispatch", 1).await;
    let mut feed = dispatch_caller
        .observe("/route", WAIT_TIMEOUT)
        .await
        .expect("a feed");
    let received: Vec<_> = cluster
        .servers
        .values()
        .flat_map(|server| server.received_since(test_start))
        .collect();
    let backend = received.first().expect("a request").remote;
    // The first byte of a token is the number of a worker, which may not exist.
    for token in [[0; 8], [0xff; 8]] {
        let before = count_events(&cluster, "foreign_answer").await;
        send(&forged_answer(token), backend).await;
        cluster
            .wait_until(&format!("{token:x?} is counted"), async || {
                count_events(&cluster, "foreign_answer").await > before
            })
            .await;
    }
    let before = count_events(&cluster, "bad_datagram").await;
    send(b"no answer", backend).await;
    let listener = cluster.instances[0].listeners["dispatch"];
    send(&[0xff; 20], listener).await;
    send(&[0x40; 1_500], listener).await;
    send(&[0x40, 0x01, 0, 1, 0xd0], listener).await;
    // A response in place of a request.
    send(&forged_answer([1; 8]), listener).await;
    cluster
        .wait_until("five bad datagrams are counted", async || {
            count_events(&cluster, "bad_datagram").await >= before + 5
        })
        .await;
    let before = count_events(&cluster, "bad_peer_message").await;
    for length in [0, 1, 16, 200] {
        send(&vec![7; length], cluster.instances[1].peer).await;
    }
    cluster
        .wait_until("forged peer messages are counted", async || {
            count_events(&cluster, "bad_peer_message").await >= before + 4
        })
        .await;
    let outcome = dispatch_caller
        .request(RequestType::Get, "/sheet", b"", WAIT_TIMEOUT)
        .await;
    let Outcome::Answered { payload, .. } = &outcome else {
        panic!("{outcome:?}");
    };
    assert!(payload.starts_with(b"server="), "{outcome:?}");
    for _ in 0..5 {
        let Update::Notification { payload, .. } = feed.next(WAIT_TIMEOUT).await else {
            panic!("the feed ended");
        };
        assert!(payload.starts_with(b"server="));
    }
    sleep(Duration::from_millis(100)).await;
    for instance in &cluster.instances {
        assert!(instance.status().await.expect("status").ready);
    }
}

/// A service is deleted while callers still send requests to it. Their datagrams are
/// dropped and counted, and the other service is not disturbed.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_service_is_counted() {
    let cluster = Cluster::start(Plan {
        services: vec![("dispatch", 2), ("ledger", 2)],
        settings: fast_detection_settings(),
        ..Plan::default()
    })
    .await;
    cluster.platform.delete("godwitreel/services/ledger");
    cluster
        .wait_until("the service is not configured any more", async || {
            for instance in &cluster.instances {
                let status = instance.status().await.expect("status");
                if status.revisions.contains_key("services/ledger") {
                    return false;
                }
            }
            true
        })
        .await;
    let before = count_events(&cluster, "unknown_service").await;
    let ledger_caller = cluster.caller_at("ledger", 0, 1).await;
    // The workers receive the change shortly after the status shows it.
    cluster
        .wait_until("a request gets no answer", async || {
            let request =
                ledger_caller.request(RequestType::Get, "/sheet", b"", Duration::from_secs(1));
            request.await == Outcome::Silent
        })
        .await;
    assert!(count_events(&cluster, "unknown_service").await > before);
    let dispatch_caller = cluster.caller("dispatch", 2).await;
    let outcome = dispatch_caller
        .request(RequestType::Get, "/route", b"", WAIT_TIMEOUT)
        .await;
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
}
