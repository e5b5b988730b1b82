//! The fabric before the entry instances.
//!
//! It looks into no datagram: each goes to an instance drawn at random, and
//! whatever an instance sends back leaves from the service's public address.

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

struct Spray {
    rng: StdRng,
    instances: Vec<SocketAddr>,
    /// An instance that gets this many of the next datagrams.
    steered: Option<(SocketAddr, u64)>,
    sent: BTreeMap<SocketAddr, u64>,
}

impl Spray {
    fn choose(&mut self) -> Option<SocketAddr> {
        let to = self.steer().or_else(|| self.draw())?;
        *self.sent.entry(to).or_default() += 1;
        Some(to)
    }

    fn steer(&mut self) -> Option<SocketAddr> {
        let (to, left) = self.steered.take()?;
        self.steered = (left > 1).then_some((to, left - 1));
        Some(to)
    }

    fn draw(&mut self) -> Option<SocketAddr> {
        if self.instances.is_empty() {
            return None;
        }
        let drawn = self.rng.random_range(0..self.instances.len());
        Some(self.instances[drawn])
    }
}

/// The public address of one service; it ends when this is dropped.
pub struct Handle {
    address: SocketAddr,
    spray: Arc<Mutex<Spray>>,
    links: Links,
    _tasks: JoinSet<()>,
}

/// Starts spraying over the listen addresses that instances have for a service.
///
/// # Errors
///
/// The address cannot be listened on.
pub async fn start(bind: SocketAddr, instances: Vec<SocketAddr>, seed: u64) -> io::Result<Handle> {
    let public = Arc::new(UdpSocket::bind(bind).await?);
    let address = public.local_addr()?;
    let spray = Arc::new(Mutex::new(Spray {
        rng: StdRng::seed_from_u64(seed),
        instances,
        steered: None,
        sent: BTreeMap::new(),
    }));
    let links = Links::new(seed);
    let chooser = spray.clone();
    let choose = Box::new(move |_| lock(&chooser).choose());
    let mut tasks = JoinSet::new();
    tasks.spawn(relay::run(public, links.clone(), choose));
    Ok(Handle {
        address,
        spray,
        links,
        _tasks: tasks,
    })
}

impl Handle {
    /// The address that callers use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sprays over these instances from now on.
    pub fn set_instances(&self, instances: Vec<SocketAddr>) {
        lock(&self.spray).instances = instances;
    }

    /// Adds an instance.
    pub fn add(&self, instance: SocketAddr) {
        lock(&self.spray).instances.push(instance);
    }

    /// Removes an instance.
    pub fn remove(&self, instance: SocketAddr) {
        let mut spray = lock(&self.spray);
        spray.instances.retain(|other| *other != instance);
    }

    /// Sends the next datagrams to one instance, whether or not it is sprayed over.
    pub fn steer(&self, instance: SocketAddr, count: u64) {
        lock(&self.spray).steered = (count > 0).then_some((instance, count));
    }

    /// Sets the faults of one direction.
    pub fn set_faults(&self, direction: Direction, faults: Faults) {
        self.links.get(direction).set(faults);
    }

    /// Datagrams that each instance was chosen for.
    pub fn sent(&self) -> BTreeMap<SocketAddr, u64> {
        lock(&self.spray).sent.clone()
    }
}
