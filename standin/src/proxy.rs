//! A fault-injecting proxy, for datagrams and for streams.
//!
//! It stands between two parties that were told its address in place of the
//! other's. A stream loses and doubles nothing, as TCP repairs that: cutting or
//! freezing a direction leaves connections open and silent, and what was held
//! back comes through once the direction is open again.

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

/// Most that is read from a stream at once.
const CHUNK: usize = 65_536;

/// A running proxy; it ends when this is dropped.
pub struct Handle {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    /// Senders whose datagrams are lost.
    blocked: Arc<Mutex<BTreeSet<SocketAddr>>>,
    links: Links,
    /// Changes when all connections are to be closed.
    resets: watch::Sender<()>,
    tasks: JoinSet<()>,
}

/// Starts passing datagrams on to a target.
///
/// # Errors
///
/// The address cannot be listened on.
pub async fn udp(bind: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Handle> {
    let public = Arc::new(UdpSocket::bind(bind).await?);
    let mut handle = Handle::new(public.local_addr()?, target, seed);
    let target = handle.target.clone();
    let blocked = handle.blocked.clone();
    let choose = Box::new(move |from| {
        let open = !lock(&blocked).contains(&from);
        open.then(|| *lock(&target))
    });
    let links = handle.links.clone();
    handle.tasks.spawn(relay::run(public, links, choose));
    Ok(handle)
}

/// Starts passing connections on to a target.
///
/// # Errors
///
/// The address cannot be listened on.
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
            blocked: Arc::default(),
            links: Links::new(seed),
            resets: watch::Sender::default(),
            tasks: JoinSet::new(),
        }
    }

    /// The address to use in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes new connections and further datagrams on to another target.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = target;
    }

    /// Sets the faults of one direction.
    pub fn set_faults(&self, direction: Direction, faults: Faults) {
        self.links.get(direction).set(faults);
    }

    /// Lets nothing through in one direction.
    pub fn cut(&self, direction: Direction, on: bool) {
        self.links.get(direction).change(|faults| faults.cut = on);
    }

    /// Loses the datagrams of these senders alone; it does nothing to streams.
    pub fn block(&self, senders: BTreeSet<SocketAddr>) {
        *lock(&self.blocked) = senders;
    }

    /// Lets nothing through in either direction.
    pub fn cut_both(&self, on: bool) {
        self.cut(Direction::Forward, on);
        self.cut(Direction::Back, on);
    }

    /// Holds back everything in both directions until it is off again.
    pub fn freeze(&self, on: bool) {
        for direction in [Direction::Forward, Direction::Back] {
            let link = self.links.get(direction);
            link.change(|faults| faults.frozen = on);
        }
    }

    /// Closes the connections of now; it does nothing to datagrams.
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
                let Ok((near, _)) = accepted else { continue };
                let to = *lock(&target);
                connections.spawn(connect(near, to, links.clone(), resets.subscribe()));
            }
        }
    }
}

async fn connect(near: TcpStream, to: SocketAddr, links: Links, mut resets: watch::Receiver<()>) {
    tokio::select! {
        _ = resets.changed() => {}
        // A failed connection closes the near side, which is all there is to report.
        _ = pass(near, to, &links) => {}
    }
}

async fn pass(near: TcpStream, to: SocketAddr, links: &Links) -> io::Result<()> {
    links.forward.hold().await;
    let far = TcpStream::connect(to).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pump(near_read, far_write, &links.forward);
    let back = pump(far_read, near_write, &links.back);
    tokio::try_join!(forward, back)?;
    Ok(())
}

/// Copies one direction and passes its end on.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, link: &Link) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let size = from.read(&mut buffer).await?;
        link.hold().await;
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}
