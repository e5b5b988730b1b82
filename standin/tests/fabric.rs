//! Distribution of datagrams by the fabric and fault injection by the proxy.

use std::net::SocketAddr;
use std::time::Duration;

use standin::fabric;
use standin::fault::Direction;
use standin::fault::Faults;
use standin::proxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time;

/// Timeout of every wait. It only ends a failed test; no test measures time by it.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a loopback datagram would have arrived.
const QUIET_PERIOD: Duration = Duration::from_millis(200);

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn socket() -> UdpSocket {
    UdpSocket::bind(any_port()).await.expect("a socket")
}

fn address(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("an address")
}

async fn send(from: &UdpSocket, to: SocketAddr, text: &str) {
    let sent = from.send_to(text.as_bytes(), to).await;
    sent.expect("the datagram is sent");
}

async fn receive(socket: &UdpSocket) -> (String, SocketAddr) {
    let mut buffer = [0; 100];
    let received = time::timeout(TIMEOUT, socket.recv_from(&mut buffer)).await;
    let (size, from) = received.expect("a datagram").expect("a datagram");
    (String::from_utf8_lossy(&buffer[..size]).into_owned(), from)
}

async fn receives_nothing(socket: &UdpSocket) -> bool {
    time::timeout(QUIET_PERIOD, socket.recv(&mut [0; 100]))
        .await
        .is_err()
}

#[tokio::test]
async fn datagrams_reach_every_instance_from_one_endpoint() {
    let instances = [socket().await, socket().await, socket().await];
    let addresses = instances.iter().map(address).collect();
    let fabric = fabric::start(any_port(), addresses, 7).await;
    let fabric = fabric.expect("the fabric starts");
    let caller = socket().await;
    for _ in 0..60 {
        send(&caller, fabric.address(), "x").await;
    }
    let mut upstreams = Vec::new();
    for instance in &instances {
        upstreams.push(receive(instance).await.1);
    }
    assert_eq!(upstreams[0], upstreams[1]);
    assert_eq!(upstreams[1], upstreams[2]);
    // A caller receives datagrams only from the public address.
    send(&instances[2], upstreams[2], "y").await;
    assert_eq!(receive(&caller).await, ("y".to_owned(), fabric.address()));
}

#[tokio::test]
async fn steering_and_membership_choose_the_instance() {
    let (first, second) = (socket().await, socket().await);
    let fabric = fabric::start(any_port(), vec![address(&first)], 7).await;
    let fabric = fabric.expect("the fabric starts");
    let caller = socket().await;
    fabric.steer(address(&second), 1);
    send(&caller, fabric.address(), "steered").await;
    assert_eq!(receive(&second).await.0, "steered");
    send(&caller, fabric.address(), "sprayed").await;
    assert_eq!(receive(&first).await.0, "sprayed");
    fabric.add(address(&second));
    fabric.remove(address(&first));
    send(&caller, fabric.address(), "moved").await;
    assert_eq!(receive(&second).await.0, "moved");
    assert_eq!(fabric.sent()[&address(&second)], 2);
}

#[tokio::test]
async fn each_direction_has_its_own_faults() {
    let target = socket().await;
    let proxy = proxy::udp(any_port(), address(&target), 7).await;
    let proxy = proxy.expect("the proxy starts");
    let client = socket().await;
    let duplicated = Faults {
        duplicate: 1.0,
        ..Faults::default()
    };
    proxy.set_faults(Direction::Forward, duplicated);
    send(&client, proxy.address(), "x").await;
    let (_, upstream) = receive(&target).await;
    receive(&target).await;

    proxy.cut(Direction::Back, true);
    send(&target, upstream, "lost").await;
    assert!(receives_nothing(&client).await);
    proxy.cut(Direction::Back, false);
    send(&target, upstream, "heard").await;
    assert_eq!(receive(&client).await.0, "heard");

    proxy.set_faults(Direction::Forward, Faults::default());
    proxy.freeze(true);
    send(&client, proxy.address(), "held").await;
    assert!(receives_nothing(&target).await);
    proxy.freeze(false);
    assert_eq!(receive(&target).await.0, "held");
}

#[tokio::test]
async fn jitter_reorders() {
    let target = socket().await;
    let proxy = proxy::udp(any_port(), address(&target), 7).await;
    let proxy = proxy.expect("the proxy starts");
    let jitter = Faults {
        jitter: QUIET_PERIOD,
        ..Faults::default()
    };
    proxy.set_faults(Direction::Forward, jitter);
    let client = socket().await;
    for n in 0..10 {
        send(&client, proxy.address(), &n.to_string()).await;
    }
    let mut order = Vec::new();
    for _ in 0..10 {
        order.push(receive(&target).await.0);
    }
    let mut sorted = order.clone();
    sorted.sort();
    assert_ne!(order, sorted);
    assert_eq!(sorted.concat(), "0123456789");
}

#[tokio::test]
async fn a_cut_connection_stalls_recovers_and_can_be_reset() {
    let listener = TcpListener::bind(any_port()).await.expect("a listener");
    let target = listener.local_addr().expect("an address");
    let proxy = proxy::tcp(any_port(), target, 7).await;
    let proxy = proxy.expect("the proxy starts");
    let client = TcpStream::connect(proxy.address()).await;
    let mut client = client.expect("a connection");
    let (mut target_stream, _) = listener.accept().await.expect("a connection");

    proxy.cut_both(true);
    client.write_all(b"x").await.expect("the byte is written");
    let early = time::timeout(QUIET_PERIOD, target_stream.read_u8()).await;
    assert!(early.is_err(), "a cut connection delivered {early:?}");
    proxy.cut_both(false);
    let late = time::timeout(TIMEOUT, target_stream.read_u8()).await;
    assert_eq!(late.expect("a byte").expect("a byte"), b'x');
    proxy.reset();
    let end = time::timeout(TIMEOUT, client.read_u8()).await;
    assert!(end.expect("the end").is_err());
}
