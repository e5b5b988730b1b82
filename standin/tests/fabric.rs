//! How the fabric sprays, and what the proxy does to traffic.

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

/// Bound on every wait; nothing is measured by it.
const PATIENCE: Duration = Duration::from_secs(20);
/// Long enough for a datagram on loopback that should not come.
const SILENCE: Duration = Duration::from_millis(200);

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
    sent.expect("it is sent");
}

async fn receive(socket: &UdpSocket) -> (String, SocketAddr) {
    let mut buffer = [0; 100];
    let received = time::timeout(PATIENCE, socket.recv_from(&mut buffer)).await;
    let (size, from) = received.expect("a datagram").expect("a datagram");
    (String::from_utf8_lossy(&buffer[..size]).into_owned(), from)
}

async fn hears_nothing(socket: &UdpSocket) -> bool {
    time::timeout(SILENCE, socket.recv(&mut [0; 100]))
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
    // The public address is the only one that a caller hears from.
    send(&instances[2], upstreams[2], "y").await;
    assert_eq!(receive(&caller).await, ("y".to_owned(), fabric.address()));
}

#[tokio::test]
async fn steering_and_membership_choose_the_instance() {
    let (here, there) = (socket().await, socket().await);
    let fabric = fabric::start(any_port(), vec![address(&here)], 7).await;
    let fabric = fabric.expect("the fabric starts");
    let caller = socket().await;
    fabric.steer(address(&there), 1);
    send(&caller, fabric.address(), "steered").await;
    assert_eq!(receive(&there).await.0, "steered");
    send(&caller, fabric.address(), "sprayed").await;
    assert_eq!(receive(&here).await.0, "sprayed");
    fabric.add(address(&there));
    fabric.remove(address(&here));
    send(&caller, fabric.address(), "moved").await;
    assert_eq!(receive(&there).await.0, "moved");
    assert_eq!(fabric.sent()[&address(&there)], 2);
}

#[tokio::test]
async fn each_direction_has_its_own_faults() {
    let far = socket().await;
    let proxy = proxy::udp(any_port(), address(&far), 7).await;
    let proxy = proxy.expect("the proxy starts");
    let near = socket().await;
    let doubled = Faults {
        duplicate: 1.0,
        ..Faults::default()
    };
    proxy.set_faults(Direction::Forward, doubled);
    send(&near, proxy.address(), "x").await;
    let (_, upstream) = receive(&far).await;
    receive(&far).await;

    proxy.cut(Direction::Back, true);
    send(&far, upstream, "lost").await;
    assert!(hears_nothing(&near).await);
    proxy.cut(Direction::Back, false);
    send(&far, upstream, "heard").await;
    assert_eq!(receive(&near).await.0, "heard");

    proxy.set_faults(Direction::Forward, Faults::default());
    proxy.freeze(true);
    send(&near, proxy.address(), "held").await;
    assert!(hears_nothing(&far).await);
    proxy.freeze(false);
    assert_eq!(receive(&far).await.0, "held");
}

#[tokio::test]
async fn jitter_reorders() {
    let far = socket().await;
    let proxy = proxy::udp(any_port(), address(&far), 7).await;
    let proxy = proxy.expect("the proxy starts");
    let jitter = Faults {
        jitter: SILENCE,
        ..Faults::default()
    };
    proxy.set_faults(Direction::Forward, jitter);
    let near = socket().await;
    for n in 0..10 {
        send(&near, proxy.address(), &n.to_string()).await;
    }
    let mut order = Vec::new();
    for _ in 0..10 {
        order.push(receive(&far).await.0);
    }
    let mut sorted = order.clone();
    sorted.sort();
    assert_ne!(order, sorted);
    assert_eq!(sorted.concat(), "0123456789");
}

#[tokio::test]
async fn a_cut_connection_is_silent_heals_and_can_be_reset() {
    let listener = TcpListener::bind(any_port()).await.expect("a listener");
    let target = listener.local_addr().expect("an address");
    let proxy = proxy::tcp(any_port(), target, 7).await;
    let proxy = proxy.expect("the proxy starts");
    let near = TcpStream::connect(proxy.address()).await;
    let mut near = near.expect("a connection");
    let (mut far, _) = listener.accept().await.expect("a connection");

    proxy.cut_both(true);
    near.write_all(b"x").await.expect("it is written");
    let early = time::timeout(SILENCE, far.read_u8()).await;
    assert!(early.is_err(), "a cut connection gave {early:?}");
    proxy.cut_both(false);
    let late = time::timeout(PATIENCE, far.read_u8()).await;
    assert_eq!(late.expect("a byte").expect("a byte"), b'x');
    proxy.reset();
    let end = time::timeout(PATIENCE, near.read_u8()).await;
    assert!(end.expect("the end").is_err());
}
