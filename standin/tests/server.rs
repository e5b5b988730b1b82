//! Requests, feeds, block-wise transfers and injected faults of the backend server.

mod support;

use std::time::Duration;

use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use coap_lite::block_handler::BlockValue;
use coap_lite::option_value::OptionValueU32;
use futures::future;
use standin::caller;
use standin::caller::Caller;
use standin::caller::Outcome;
use standin::caller::Update;
use standin::server;
use standin::server::Handle;
use standin::server::Settings;
use support::TIMEOUT;
use support::any_port;
use support::request_json;
use support::wait_until;
use tokio::net::UdpSocket;
use tokio::time;
use tokio::time::Instant;

/// Time within which a loopback datagram would have arrived.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
const NOTIFY_INTERVAL: Duration = Duration::from_millis(20);

async fn start(change: impl FnOnce(&mut Settings)) -> (Handle, Caller) {
    let mut settings = Settings::new("d1", "dispatch");
    settings.notify_interval = NOTIFY_INTERVAL;
    change(&mut settings);
    let server = server::start(settings).await.expect("the server starts");
    let settings = caller::Settings::new(server.address());
    let caller = caller::start(settings).await.expect("the caller starts");
    (server, caller)
}

fn code(outcome: &Outcome) -> Option<ResponseType> {
    match outcome {
        Outcome::Answered { code, .. } => Some(*code),
        _ => None,
    }
}

fn post(payload: &[u8]) -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Request(RequestType::Post);
    packet.header.set_type(MessageType::NonConfirmable);
    packet.payload = payload.to_vec();
    packet
}

async fn socket() -> UdpSocket {
    UdpSocket::bind(any_port()).await.expect("a socket")
}

/// Sends a message and waits for the answer.
async fn exchange(server: &Handle, socket: &UdpSocket, packet: &Packet) -> Packet {
    let datagram = packet.to_bytes().expect("a datagram");
    let sent = socket.send_to(&datagram, server.address()).await;
    sent.expect("the datagram is sent");
    let mut buffer = [0; 2_000];
    let size = time::timeout(TIMEOUT, socket.recv(&mut buffer)).await;
    let size = size.expect("an answer").expect("an answer");
    Packet::from_bytes(&buffer[..size]).expect("a message")
}

fn refusal() -> Outcome {
    let retry_after = Duration::from_secs(2);
    Outcome::NotRun { retry_after }
}

#[tokio::test]
async fn slots_bound_what_runs_and_the_queue_what_waits() {
    let (server, caller) = start(|settings| {
        settings.slots = 2;
        settings.queue = 3;
        settings.service_time = QUIET_PERIOD;
    })
    .await;
    // All requests are sent before the server reads the first, so that none finds a slot
    // that was freed in between.
    server.freeze(true);
    let mut exchanges = Vec::new();
    for n in 0..7 {
        let id = format!("p-{n}");
        exchanges.push(caller.begin(RequestType::Post, "/x", id).await);
    }
    server.freeze(false);
    let outcomes = exchanges.iter_mut().map(|one| one.outcome(TIMEOUT));
    let outcomes = future::join_all(outcomes).await;

    let ran = outcomes.iter().filter(|outcome| code(outcome).is_some());
    assert_eq!(ran.count(), 5);
    let shed = outcomes.iter().filter(|outcome| **outcome == refusal());
    assert_eq!(shed.count(), 2);
    assert_eq!(server.peak(), 2);
    assert_eq!(server.all_starts().len(), 5);
    assert_eq!(server.outstanding(), 0);
}

#[tokio::test]
async fn every_copy_of_a_request_starts() {
    let (server, caller) = start(|_| {}).await;
    let mut exchange = caller.begin(RequestType::Post, "/x", "p-1").await;
    exchange.outcome(TIMEOUT).await;
    caller.send_copy(&exchange.datagram(), None).await;
    let second_outcome = exchange.outcome(TIMEOUT).await;
    assert_eq!(code(&second_outcome), Some(ResponseType::Created));
    assert_eq!(server.starts("p-1"), 2);
}

#[tokio::test]
async fn a_slow_request_gets_a_separate_answer() {
    // Without the empty acknowledgement the caller would retransmit long before the
    // answer, and the server would start the request twice.
    let (server, _) = start(|settings| settings.service_time = QUIET_PERIOD * 8).await;
    let mut settings = caller::Settings::new(server.address());
    settings.ack_timeout = QUIET_PERIOD * 3;
    let caller = caller::start(settings).await.expect("the caller starts");
    let outcome = caller.request(RequestType::Put, "/x", "p-1", TIMEOUT).await;
    assert_eq!(code(&outcome), Some(ResponseType::Changed));
    assert_eq!(server.starts("p-1"), 1);
}

#[tokio::test]
async fn a_request_past_its_deadline_does_not_start() {
    let (server, caller) = start(|settings| {
        settings.slots = 1;
        settings.service_time = QUIET_PERIOD * 5;
    })
    .await;
    let mut first = caller.begin(RequestType::Post, "/x", "p-1").await;
    wait_until("the slot is taken", || server.starts("p-1") == 1).await;

    let mut packet = post(b"p-2");
    let deadline = CoapOption::Unknown(server::DEADLINE_OPTION);
    packet.add_option_as(deadline, OptionValueU32(20));
    let answer = exchange(&server, &socket().await, &packet).await;
    let unavailable = MessageClass::Response(ResponseType::ServiceUnavailable);
    assert_eq!(answer.header.code, unavailable);
    assert!(code(&first.outcome(TIMEOUT).await).is_some());
    assert_eq!(server.starts("p-2"), 0);
}

#[tokio::test]
async fn a_draining_server_keeps_its_feeds_and_refuses_new_work() {
    let (server, caller) = start(|_| {}).await;
    let mut feed = caller.observe("/x", TIMEOUT).await.expect("a feed");
    server.drain(true);
    let since = Instant::now();

    let outcome = caller
        .request(RequestType::Post, "/x", "p-1", TIMEOUT)
        .await;
    assert_eq!(outcome, refusal());
    assert_eq!(server.starts("p-1"), 0);
    assert_eq!(caller.observe("/x", TIMEOUT).await.err(), Some(refusal()));
    feed.renew().await;
    for _ in 0..3 {
        let update = feed.next(TIMEOUT).await;
        assert!(matches!(update, Update::Notification { .. }), "{update:?}");
    }
    let received = server.received_since(since);
    assert_eq!(
        received
            .iter()
            .filter(|request| request.is_new_work)
            .count(),
        2
    );
    assert_eq!(feed.missed(), 0);
    let health = request_json(server.health_address(), "GET", "/health", "").await;
    assert_eq!(health.expect("an answer")["state"], "draining");
}

#[tokio::test]
async fn a_feed_without_its_observer_is_silent_until_it_is_renewed() {
    let (server, caller) = start(|_| {}).await;
    let mut feed = caller.observe("/x", TIMEOUT).await.expect("a feed");
    server.clear_observers();
    let mut attempts_left = 100;
    while feed.next(QUIET_PERIOD).await != Update::Silent {
        attempts_left -= 1;
        assert!(attempts_left > 0, "the feed still receives notifications");
    }
    feed.renew().await;
    let update = feed.next(TIMEOUT).await;
    assert!(matches!(update, Update::Notification { .. }), "{update:?}");
}

#[tokio::test]
async fn a_reset_ends_a_feed() {
    let (server, caller) = start(|_| {}).await;
    let feed = caller.observe("/x", TIMEOUT).await.expect("a feed");
    assert_eq!(server.observers(), 1);
    // The caller rejects the next notification because its exchange has ended.
    drop(feed);
    wait_until("the observer is gone", || server.observers() == 0).await;
}

#[tokio::test]
async fn bodies_pass_in_blocks() {
    let (server, caller) = start(|_| {}).await;
    let body = "sheet ".repeat(500);
    let mut upload = caller.upload(RequestType::Put, "/x", body.clone(), 256);
    assert_eq!(upload.step(TIMEOUT).await, None);
    assert_eq!(server.starts(&body), 0);
    let outcome = upload.finish(TIMEOUT).await;
    assert_eq!(code(&outcome), Some(ResponseType::Changed));
    assert_eq!(server.starts(&body), 1);

    let outcome = caller.download(server::LARGE_PATH).finish(TIMEOUT).await;
    let Outcome::Answered { payload, .. } = outcome else {
        panic!("not answered: {outcome:?}");
    };
    assert_eq!(payload.len(), server::LARGE_SIZE);
    let pattern = b"server=d1,path=/large".iter().cycle();
    assert!(payload.iter().eq(pattern.take(server::LARGE_SIZE)));
}

#[tokio::test]
async fn an_upload_without_its_first_blocks_is_incomplete() {
    let (server, caller) = start(|_| {}).await;
    let mut upload = caller.upload(RequestType::Put, "/x", vec![b'x'; 600], 256);
    assert_eq!(upload.step(TIMEOUT).await, None);
    // The restarted server has lost the first block.
    let address = server.address();
    server.stop().await;
    let mut settings = Settings::new("d1", "dispatch");
    settings.bind = address;
    let server = server::start(settings).await.expect("the server restarts");
    let outcome = upload.finish(TIMEOUT).await;
    let incomplete = ResponseType::RequestEntityIncomplete;
    assert_eq!(code(&outcome), Some(incomplete));
    assert!(server.all_starts().is_empty());
}

#[tokio::test]
async fn an_upload_with_a_missing_block_is_incomplete() {
    let (server, _) = start(|_| {}).await;
    let socket = socket().await;
    for (num, expected) in [
        (0, ResponseType::Continue),
        (2, ResponseType::RequestEntityIncomplete),
    ] {
        let mut packet = post(&[b'x'; 16]);
        let block = BlockValue::new(num, num == 0, 16).expect("a block");
        packet.add_option_as(CoapOption::Block1, block);
        let answer = exchange(&server, &socket, &packet).await;
        assert_eq!(answer.header.code, MessageClass::Response(expected));
    }
    assert!(server.all_starts().is_empty());
}

#[tokio::test]
async fn a_request_for_another_service_is_counted() {
    let (server, _) = start(|_| {}).await;
    let mut settings = caller::Settings::new(server.address());
    settings.host = Some("ledger".to_owned());
    let caller = caller::start(settings).await.expect("the caller starts");
    let outcome = caller
        .request(RequestType::Post, "/x", "p-1", TIMEOUT)
        .await;
    assert_eq!(code(&outcome), Some(ResponseType::NotFound));
    assert_eq!(server.wrong_service(), 1);
    assert_eq!(server.starts("p-1"), 0);
}

#[tokio::test]
async fn a_frozen_server_is_silent_and_goes_on_afterwards() {
    let (server, caller) = start(|_| {}).await;
    server.freeze(true);
    let mut exchange = caller.begin(RequestType::Post, "/x", "p-1").await;
    assert_eq!(exchange.outcome(QUIET_PERIOD).await, Outcome::Silent);
    assert_eq!(server.starts("p-1"), 0);
    server.freeze(false);
    let outcome = exchange.outcome(TIMEOUT).await;
    assert_eq!(code(&outcome), Some(ResponseType::Created));
}

#[tokio::test]
async fn health_reports_the_state_overridden_values_and_failures() {
    let (server, _) = start(|_| {}).await;
    let health = async || request_json(server.health_address(), "GET", "/health", "").await;
    let actual = serde_json::json!({
        "service": "dispatch", "server": "d1", "state": "up", "outstanding": 0, "slots": 2
    });
    assert_eq!(health().await, Some(actual));
    server.override_health(server::HealthOverrides {
        outstanding: Some(9),
        service: Some("ledger".to_owned()),
        state: None,
    });
    let overridden = health().await.expect("an answer");
    assert_eq!(overridden["outstanding"], 9);
    assert_eq!(overridden["service"], "ledger");
    server.health_down(true);
    assert_eq!(health().await, None);
}
