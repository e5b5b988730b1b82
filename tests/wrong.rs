//! Never the wrong service, and input that is not what it should be.

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

/// Least time that a process needs to start.
const START_TIME: Duration = Duration::from_millis(50);

/// Starts a server as soon as the one before it has let go of the addresses.
async fn takeover(settings: server::Settings) -> server::Handle {
    let end = Instant::now() + WAIT_TIMEOUT;
    sleep(START_TIME).await;
    loop {
        match server::start(settings.clone()).await {
            Ok(handle) => return handle,
            Err(error) => assert!(Instant::now() < end, "{error}"),
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// The caller books at dispatch while one of its servers ends and a server of
/// ledger comes up on the same addresses; the platform's list still names it for
/// dispatch. The end of the first process closes the connection that vouches for
/// the address, and the health answer of the second one names another service, so
/// that nothing is sent there. Ledger sees nothing of dispatch, though it would
/// refuse what names another service.
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
    let old = cluster.servers.remove("dispatch-0").expect("a server");
    let mut settings = server::Settings::new("ledger-9", "ledger");
    settings.bind = old.address();
    settings.health_bind = old.health_address();
    old.stop().await;
    let other = takeover(settings).await;
    let taken = Instant::now();
    let end = taken + Duration::from_secs(6);
    let mut number = 0;
    while Instant::now() < end {
        let payload = format!("booking-{number}");
        caller
            .request(RequestType::Post, "/pickup", payload, WAIT_TIMEOUT)
            .await;
        number += 1;
    }
    let seen = other.seen_since(taken);
    let last = seen.last().map(|seen| seen.at - taken);
    println!(
        "{number} bookings, {} reached the other service, the last after {last:?}",
        other.wrong_service()
    );
    assert!(other.all_starts().is_empty(), "{:?}", other.all_starts());
    assert!(seen.is_empty(), "{seen:?}");
}

async fn count(cluster: &Cluster, reason: &str) -> u64 {
    let mut sum = 0;
    for instance in &cluster.instances {
        sum += metric_sum(&instance.metrics().await, reason);
    }
    sum
}

/// Sends one datagram from a socket of its own.
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

/// Somebody sends datagrams that nobody asked for to every kind of socket: to
/// those toward the servers, to the peer port, to the listeners. Each is dropped
/// and counted, and the caller's feed and requests go on.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_and_malformed_datagrams_are_dropped_and_counted() {
    let cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        ..Plan::default()
    })
    .await;
    let begun = Instant::now();
    let driver = cluster.caller("dispatch", 1).await;
    let mut feed = driver
        .observe("/route", WAIT_TIMEOUT)
        .await
        .expect("a feed");
    let seen: Vec<_> = cluster
        .servers
        .values()
        .flat_map(|server| server.seen_since(begun))
        .collect();
    let backend = seen.first().expect("a request").remote;
    // The first byte of a token names a worker, which may not exist.
    for token in [[0; 8], [0xff; 8]] {
        let before = count(&cluster, "foreign_answer").await;
        send(&forged_answer(token), backend).await;
        cluster
            .wait_until(&format!("{token:x?} is counted"), async || {
                count(&cluster, "foreign_answer").await > before
            })
            .await;
    }
    let before = count(&cluster, "bad_datagram").await;
    send(b"no answer", backend).await;
    let listener = cluster.instances[0].listeners["dispatch"];
    send(&[0xff; 20], listener).await;
    send(&[0x40; 1_500], listener).await;
    send(&[0x40, 0x01, 0, 1, 0xd0], listener).await;
    // An answer where a request belongs.
    send(&forged_answer([1; 8]), listener).await;
    cluster
        .wait_until("five bad datagrams are counted", async || {
            count(&cluster, "bad_datagram").await >= before + 5
        })
        .await;
    let before = count(&cluster, "bad_peer_message").await;
    for length in [0, 1, 16, 200] {
        send(&vec![7; length], cluster.instances[1].peer).await;
    }
    cluster
        .wait_until("forged peer messages are counted", async || {
            count(&cluster, "bad_peer_message").await >= before + 4
        })
        .await;
    let outcome = driver
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

/// A service is withdrawn while callers go on sending. Its datagrams are dropped
/// and counted, and the other service is not disturbed.
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
        .wait_until("the service is gone", async || {
            for instance in &cluster.instances {
                let status = instance.status().await.expect("status");
                if status.revisions.contains_key("services/ledger") {
                    return false;
                }
            }
            true
        })
        .await;
    let before = count(&cluster, "unknown_service").await;
    let office = cluster.caller_at("ledger", 0, 1).await;
    // The workers are told a moment after the status shows it.
    cluster
        .wait_until("a request gets no answer", async || {
            let request = office.request(RequestType::Get, "/sheet", b"", Duration::from_secs(1));
            request.await == Outcome::Silent
        })
        .await;
    assert!(count(&cluster, "unknown_service").await > before);
    let driver = cluster.caller("dispatch", 2).await;
    let outcome = driver
        .request(RequestType::Get, "/route", b"", WAIT_TIMEOUT)
        .await;
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
}
