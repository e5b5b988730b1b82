//! The network fabric in front of the entry instances.
//!
//! It sprays datagrams: each one goes to a random instance, regardless of its
//! contents. Whatever an instance sends back is sent on from the service's public
//! address.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use crate::fault::Direction;
use crate::fault::Faults;
use crate::lock::lock;
use crate::relay;
use crate::relay::Links;

struct Sprayer {
    rng: StdRng,
    instances: Vec<SocketAddr>,
    /// Instance that gets the next datagrams, and how many of them.
    steered: Option<(SocketAddr, u64)>,
    sent: BTreeMap<SocketAddr, u64>,
}

impl Sprayer {
    fn choose(&mut self) -> Option<SocketAddr> {
        let to = self.take_steered().or_else(|| self.choose_random())?;
        *self.sent.entry(to).or_default() += 1;
        Some(to)
    }

    fn take_steered(&mut self) -> Option<SocketAddr> {
        let (to, remaining) = self.steered.take()?;
        self.steered = (remaining > 1).then_some((to, remaining - 1));
        Some(to)
    }

    fn choose_random(&mut self) -> Option<SocketAddr> {
        if self.instances.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..self.instances.len());
        Some(self.instances[index])
    }
}

/// Handle of a running fabric with the public address of one service. Dropping it
/// stops the fabric.
pub struct Handle {
    address: SocketAddr,
    sprayer: Arc<Mutex<Sprayer>>,
    links: Links,
    _tasks: JoinSet<()>,
}

/// Starts a fabric that sprays over these listen addresses of instances.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(bind: SocketAddr, instances: Vec<SocketAddr>, seed: u64) -> io::Result<Handle> {
    let public = Arc::new(UdpSocket::bind(bind).await?);
    let address = public.local_addr()?;
    let sprayer = Arc::new(Mutex::new(Sprayer {
        rng: StdRng::seed_from_u64(seed),
        instances,
        steered: None,
        sent: BTreeMap::new(),
    }));
    let links = Links::new(seed);
    let shared_sprayer = sprayer.clone();
    let choose = Box::new(move |_| lock(&shared_sprayer).choose());
    let mut tasks = JoinSet::new();
    tasks.spawn(relay::run(public, links.clone(), choose));
    Ok(Handle {
        address,
        sprayer,
        links,
        _tasks: tasks,
    })
}

impl Handle {
    /// Public address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the set of instances.
    pub fn set_instances(&self, instances: Vec<SocketAddr>) {
        lock(&self.sprayer).instances = instances;
    }

    /// Adds an instance to the set.
    pub fn add(&self, instance: SocketAddr) {
        lock(&self.sprayer).instances.push(instance);
    }

    /// Removes an instance from the set.
    pub fn remove(&self, instance: SocketAddr) {
        let mut sprayer = lock(&self.sprayer);
        sprayer.instances.retain(|other| *other != instance);
    }

    /// Sends the next `count` datagrams to this instance, whether or not it is in the
    /// set.
    pub fn steer(&self, instance: SocketAddr, count: u64) {
        lock(&self.sprayer).steered = (count > 0).then_some((instance, count));
    }

    /// Sets the faults of one direction.
    pub fn set_faults(&self, direction: Direction, faults: Faults) {
        self.links.get(direction).set(faults);
    }

    /// Number of datagrams sent to each instance, those lost by faults included.
    pub fn sent(&self) -> BTreeMap<SocketAddr, u64> {
        lock(&self.sprayer).sent.clone()
    }
}
