//! Relays datagrams in both directions, for the fabric and the proxy.
//!
//! Each caller gets its own upstream socket, so that the target sees a stable
//! endpoint for the caller and answers can be routed back.

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

/// Chooses the target of a sender's next datagram; none drops the datagram.
pub(crate) type ChooseTarget = Box<dyn Fn(SocketAddr) -> Option<SocketAddr> + Send + Sync>;

/// Both directions of a network path.
#[derive(Clone)]
pub(crate) struct Links {
    pub(crate) forward: Arc<Link>,
    pub(crate) back: Arc<Link>,
}

impl Links {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            forward: Link::new(seed),
            // Differs from the forward seed and is still reproducible.
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

/// Relays datagrams until the future is dropped.
pub(crate) async fn run(public: Arc<UdpSocket>, links: Links, choose_target: ChooseTarget) {
    let mut upstreams = HashMap::new();
    let mut return_tasks = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((size, caller)) = public.recv_from(&mut buffer).await else {
            continue;
        };
        if let Entry::Vacant(entry) = upstreams.entry(caller) {
            let Ok(upstream) = bind_upstream().await else {
                continue;
            };
            let back = links.back.clone();
            return_tasks.spawn(relay_answers(
                upstream.clone(),
                public.clone(),
                caller,
                back,
            ));
            entry.insert(upstream);
        }
        if let Some(target) = choose_target(caller) {
            let datagram = Bytes::copy_from_slice(&buffer[..size]);
            links
                .forward
                .deliver(&upstreams[&caller], target, datagram)
                .await;
        }
    }
}

async fn bind_upstream() -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    Ok(Arc::new(socket))
}

async fn relay_answers(
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
        link.deliver(&public, caller, datagram).await;
    }
}
