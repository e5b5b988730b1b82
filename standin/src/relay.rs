//! Datagrams passed on in both directions, the part that fabric and proxy share.
//!
//! Each caller gets an upstream socket of its own, so that the far side sees a
//! stable endpoint for it and answers find their way back.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use crate::fault::Direction;
use crate::fault::Link;
use crate::message::MAX_DATAGRAM;

/// Chooses where the next datagram of a sender goes; none drops it.
pub(crate) type Choose = Box<dyn Fn(SocketAddr) -> Option<SocketAddr> + Send + Sync>;

/// The two directions of a path.
#[derive(Clone)]
pub(crate) struct Links {
    pub(crate) forward: Arc<Link>,
    pub(crate) back: Arc<Link>,
}

impl Links {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            forward: Link::new(seed),
            // Any other seed does, as long as it follows from the first.
            back: Link::new(!seed),
        }
    }

    pub(crate) fn get(&self, direction: Direction) -> &Link {
        match direction {
            Direction::Forward => &self.forward,
            Direction::Back => &self.back,
        }
    }
}

/// Passes datagrams on until it is dropped.
pub(crate) async fn run(public: Arc<UdpSocket>, links: Links, choose: Choose) {
    let mut upstreams = HashMap::new();
    let mut returns = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((size, caller)) = public.recv_from(&mut buffer).await else {
            continue;
        };
        if let Entry::Vacant(entry) = upstreams.entry(caller) {
            let Ok(upstream) = bind().await else {
                continue;
            };
            let back = links.back.clone();
            returns.spawn(send_back(upstream.clone(), public.clone(), caller, back));
            entry.insert(upstream);
        }
        if let Some(to) = choose(caller) {
            let datagram = Bytes::copy_from_slice(&buffer[..size]);
            links.forward.carry(&upstreams[&caller], to, datagram).await;
        }
    }
}

async fn bind() -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    Ok(Arc::new(socket))
}

async fn send_back(
    upstream: Arc<UdpSocket>,
    public: Arc<UdpSocket>,
    caller: SocketAddr,
    link: Arc<Link>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((size, _)) = upstream.recv_from(&mut buffer).await else {
            continue;
        };
        let datagram = Bytes::copy_from_slice(&buffer[..size]);
        link.carry(&public, caller, datagram).await;
    }
}
