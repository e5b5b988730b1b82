//! A fault-injecting proxy for UDP and TCP.
//!
//! A client connects to the proxy's address in place of the target's. Loss and
//! duplication do not apply to streams, because TCP would repair them. Cutting or
//! freezing a direction of a stream keeps the connection open without traffic; the
//! data held back is delivered once the direction is open again.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::fault::Direction;
use crate::fault::Faults;
use crate::fault::Link;
use crate::lock::lock;
use crate::relay;
use crate::relay::Links;

/// Maximum number of bytes read from a stream at once.
const CHUNK_SIZE: usize = 65_536;

/// Handle of a running proxy. Dropping it stops the proxy.
pub struct Handle {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    /// Senders whose datagrams are dropped.
    blocked_senders: Arc<Mutex<BTreeSet<SocketAddr>>>,
    links: Links,
    /// Signals that all connections must be closed.
    resets: watch::Sender<()>,
    tasks: JoinSet<()>,
}

/// Starts a proxy that relays datagrams to a target.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn udp(bind: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Handle> {
    let public = Arc::new(UdpSocket::bind(bind).await?);
    let mut handle = Handle::new(public.local_addr()?, target, seed);
    let target = handle.target.clone();
    let blocked_senders = handle.blocked_senders.clone();
    let choose_target = Box::new(move |from| {
        let is_allowed = !lock(&blocked_senders).contains(&from);
        is_allowed.then(|| *lock(&target))
    });
    let links = handle.links.clone();
    handle.tasks.spawn(relay::run(public, links, choose_target));
    Ok(handle)
}

/// Starts a proxy that relays TCP connections to a target.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn tcp(bind: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Handle> {
    let listener = TcpListener::bind(bind).await?;
    let mut handle = Handle::new(listener.local_addr()?, target, seed);
    let target = handle.target.clone();
    let links = handle.links.clone();
    let resets = handle.resets.clone();
    handle.tasks.spawn(accept(listener, target, links, resets));
    Ok(handle)
}

impl Handle {
    fn new(address: SocketAddr, target: SocketAddr, seed: u64) -> Self {
        Self {
            address,
            target: Arc::new(Mutex::new(target)),
            blocked_senders: Arc::default(),
            links: Links::new(seed),
            resets: watch::Sender::default(),
            tasks: JoinSet::new(),
        }
    }

    /// Address for clients to use in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Relays new connections and further datagrams to another target.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = target;
    }

    /// Sets the faults of one direction.
    pub fn set_faults(&self, direction: Direction, faults: Faults) {
        self.links.get(direction).set(faults);
    }

    /// Cuts one direction, or restores it.
    pub fn cut(&self, direction: Direction, on: bool) {
        self.links.get(direction).modify(|faults| faults.cut = on);
    }

    /// Drops the datagrams of these senders and of no others. Streams are not affected.
    pub fn block(&self, senders: BTreeSet<SocketAddr>) {
        *lock(&self.blocked_senders) = senders;
    }

    /// Cuts both directions, or restores them.
    pub fn cut_both(&self, on: bool) {
        self.cut(Direction::Forward, on);
        self.cut(Direction::Back, on);
    }

    /// Holds back all traffic in both directions until called with `false`.
    pub fn freeze(&self, on: bool) {
        for direction in [Direction::Forward, Direction::Back] {
            let link = self.links.get(direction);
            link.modify(|faults| faults.frozen = on);
        }
    }

    /// Closes all current connections. Datagrams are not affected.
    pub fn reset(&self) {
        self.resets.send_replace(());
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    links: Links,
    resets: watch::Sender<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                let target = *lock(&target);
                connections.spawn(serve_connection(
                    client,
                    target,
                    links.clone(),
                    resets.subscribe(),
                ));
            }
        }
    }
}

async fn serve_connection(
    client: TcpStream,
    target: SocketAddr,
    links: Links,
    mut resets: watch::Receiver<()>,
) {
    tokio::select! {
        _ = resets.changed() => {}
        // An error closes the client's connection and needs no further report.
        _ = relay_connection(client, target, &links) => {}
    }
}

async fn relay_connection(client: TcpStream, target: SocketAddr, links: &Links) -> io::Result<()> {
    links.forward.delay_chunk().await;
    let upstream = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let forward = copy_direction(client_read, upstream_write, &links.forward);
    let back = copy_direction(upstream_read, client_write, &links.back);
    tokio::try_join!(forward, back)?;
    Ok(())
}

/// Copies one direction of a connection, including the end of the stream.
async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: &Link,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_SIZE];
    loop {
        let size = from.read(&mut buffer).await?;
        link.delay_chunk().await;
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}
