//! Faults of a path, one direction at a time.
//!
//! Every datagram gets its fate from a seeded generator, so that a failing test
//! can be run again with the same faults. Jitter greater than the time between
//! two datagrams reorders them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time;

use crate::lock::lock;

/// Way through a fabric or proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that opened the flow.
    Forward,
    /// Towards the side that opened the flow.
    Back,
}

/// What happens to traffic in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Share of datagrams lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams delivered twice, from 0 to 1.
    pub duplicate: f64,
    /// Added to every delivery.
    pub delay: Duration,
    /// Most that is added at random to a delivery, for each copy anew.
    pub jitter: Duration,
    /// Lets nothing through: datagrams are lost, a stream waits.
    pub cut: bool,
    /// Holds everything back until it is off again.
    pub frozen: bool,
}

/// One direction of a path.
pub(crate) struct Link {
    faults: watch::Sender<Faults>,
    rng: Mutex<StdRng>,
}

impl Link {
    pub(crate) fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            faults: watch::Sender::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    pub(crate) fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
    }

    /// Delivers a datagram as the faults have it.
    pub(crate) async fn carry(&self, socket: &Arc<UdpSocket>, to: SocketAddr, datagram: Bytes) {
        self.until(|faults| !faults.frozen).await;
        for delay in self.deliveries() {
            if delay.is_zero() {
                // A datagram that cannot be sent is a lost one.
                let _ = socket.send_to(&datagram, to).await;
            } else {
                let socket = socket.clone();
                let datagram = datagram.clone();
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    let _ = socket.send_to(&datagram, to).await;
                });
            }
        }
    }

    /// Holds one piece of a stream for as long as the faults have it.
    pub(crate) async fn hold(&self) {
        self.until(|faults| !faults.frozen && !faults.cut).await;
        let faults = *self.faults.borrow();
        time::sleep(self.delay(&faults)).await;
    }

    async fn until(&self, open: impl Fn(&Faults) -> bool) {
        let mut changes = self.faults.subscribe();
        // The sender lives as long as this link.
        let _ = changes.wait_for(open).await;
    }

    /// How long each copy of a datagram takes; none if it is lost.
    fn deliveries(&self) -> Vec<Duration> {
        let faults = *self.faults.borrow();
        if faults.cut || self.chance(faults.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.chance(faults.duplicate));
        (0..copies).map(|_| self.delay(&faults)).collect()
    }

    fn delay(&self, faults: &Faults) -> Duration {
        let share = lock(&self.rng).random_range(0.0..=1.0);
        faults.delay + faults.jitter.mul_f64(share)
    }

    fn chance(&self, share: f64) -> bool {
        lock(&self.rng).random_bool(share.clamp(0.0, 1.0))
    }
}
