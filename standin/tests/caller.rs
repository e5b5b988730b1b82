//! Conformance of the caller to the protocol on an unreliable path.

use std::net::SocketAddr;
use std::time::Duration;

use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use standin::caller;
use standin::caller::Outcome;
use standin::caller::Update;
use standin::fault::Direction;
use standin::fault::Faults;
use standin::proxy;
use standin::server;
use tokio::net::UdpSocket;
use tokio::time;

/// Timeout of every wait. It only ends a failed test; no test measures time by it.
const TIMEOUT: Duration = Duration::from_secs(20);

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn receive(socket: &UdpSocket) -> (Packet, SocketAddr) {
    let mut buffer = [0; 2_000];
    let received = time::timeout(TIMEOUT, socket.recv_from(&mut buffer)).await;
    let (size, from) = received.expect("a datagram").expect("a datagram");
    let packet = Packet::from_bytes(&buffer[..size]).expect("a message");
    (packet, from)
}

async fn send(socket: &UdpSocket, to: SocketAddr, packet: &Packet) {
    let datagram = packet.to_bytes().expect("a datagram");
    let sent = socket.send_to(&datagram, to).await;
    sent.expect("the datagram is sent");
}

/// Starts a server, a proxy in front of it and a caller that uses the proxy.
async fn start_behind_proxy() -> (server::Handle, proxy::Handle, caller::Caller) {
    let mut settings = server::Settings::new("d1", "dispatch");
    settings.notify_interval = Duration::from_millis(20);
    let server = server::start(settings).await.expect("the server starts");
    let proxy = proxy::udp(any_port(), server.address(), 7).await;
    let proxy = proxy.expect("the proxy starts");
    let mut settings = caller::Settings::new(proxy.address());
    settings.ack_timeout = Duration::from_millis(20);
    settings.max_retransmit = 8;
    let caller = caller::start(settings).await.expect("the caller starts");
    (server, proxy, caller)
}

#[tokio::test]
async fn a_lost_request_is_sent_again() {
    let (server, proxy, caller) = start_behind_proxy().await;
    proxy.cut_both(true);
    let mut exchange = caller.begin(RequestType::Put, "/x", "p-1").await;
    let lost = exchange.outcome(Duration::from_millis(10)).await;
    assert_eq!(lost, Outcome::Silent);
    proxy.cut_both(false);
    let outcome = exchange.outcome(TIMEOUT).await;
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    assert!(server.starts("p-1") >= 1);
}

#[tokio::test]
async fn a_feed_drops_older_notifications() {
    let (_server, proxy, caller) = start_behind_proxy().await;
    let mut feed = caller.observe("/x", TIMEOUT).await.expect("a feed");
    let jitter = Faults {
        jitter: Duration::from_millis(200),
        ..Faults::default()
    };
    proxy.set_faults(Direction::Back, jitter);
    let mut newest = 0;
    for _ in 0..10 {
        let update = feed.next(TIMEOUT).await;
        let Update::Notification { observe, .. } = update else {
            panic!("no notification: {update:?}");
        };
        assert!(observe > newest);
        newest = observe;
    }
    assert!(feed.outdated() > 0);
    assert!(feed.missed() > 0);
}

#[tokio::test]
async fn a_separate_answer_is_acknowledged_and_an_unknown_one_rejected() {
    let socket = UdpSocket::bind(any_port()).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let caller = caller::start(caller::Settings::new(to)).await;
    let caller = caller.expect("the caller starts");
    let mut exchange = caller.begin(RequestType::Get, "/x", []).await;
    let (request, from) = receive(&socket).await;

    let mut answer = Packet::new();
    answer.header.code = MessageClass::Response(ResponseType::GatewayTimeout);
    answer.header.set_type(MessageType::Confirmable);
    answer.header.message_id = 77;
    answer.set_token(request.get_token().to_vec());
    send(&socket, from, &answer).await;
    assert_eq!(exchange.outcome(TIMEOUT).await, Outcome::Unknown);
    let (ack, _) = receive(&socket).await;
    assert_eq!(ack.header.get_type(), MessageType::Acknowledgement);
    assert_eq!(ack.header.message_id, 77);

    drop(exchange);
    send(&socket, from, &answer).await;
    let (reset, _) = receive(&socket).await;
    assert_eq!(reset.header.get_type(), MessageType::Reset);
    assert_eq!(reset.header.message_id, 77);
}
