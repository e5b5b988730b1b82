//! Fault injection for one direction of a network path.
//!
//! Loss, duplication and jitter are drawn from a seeded generator, so that a failing
//! test can be repeated with the same faults. Jitter greater than the time between
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

/// Direction of traffic through a fabric or proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that opened the flow.
    Forward,
    /// Towards the side that opened the flow.
    Back,
}

/// Faults injected into the traffic of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is delivered twice, from 0 to 1.
    pub duplicate: f64,
    /// Delay of every delivery.
    pub delay: Duration,
    /// Maximum random delay on top, drawn for each delivered copy.
    pub jitter: Duration,
    /// Cuts the path: datagrams are lost, streams stall.
    pub cut: bool,
    /// Holds back all traffic until the flag is cleared.
    pub frozen: bool,
}

/// One direction of a network path.
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

    pub(crate) fn modify(&self, modify: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(modify);
    }

    /// Delivers a datagram subject to the current faults.
    pub(crate) async fn deliver(&self, socket: &Arc<UdpSocket>, to: SocketAddr, datagram: Bytes) {
        self.wait_until(|faults| !faults.frozen).await;
        for delay in self.deliveries() {
            if delay.is_zero() {
                // A failed send counts as a lost datagram.
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

    /// Delays a chunk of a stream for as long as the current faults require.
    pub(crate) async fn delay_chunk(&self) {
        self.wait_until(|faults| !faults.frozen && !faults.cut)
            .await;
        let faults = *self.faults.borrow();
        time::sleep(self.delay(&faults)).await;
    }

    async fn wait_until(&self, condition: impl Fn(&Faults) -> bool) {
        let mut updates = self.faults.subscribe();
        // `self` owns the sender, so the channel cannot close.
        let _ = updates.wait_for(condition).await;
    }

    /// Delays of the copies of a datagram; empty if it is lost.
    fn deliveries(&self) -> Vec<Duration> {
        let faults = *self.faults.borrow();
        if faults.cut || self.happens(faults.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.happens(faults.duplicate));
        (0..copies).map(|_| self.delay(&faults)).collect()
    }

    fn delay(&self, faults: &Faults) -> Duration {
        let fraction = lock(&self.rng).random_range(0.0..=1.0);
        faults.delay + faults.jitter.mul_f64(fraction)
    }

    fn happens(&self, probability: f64) -> bool {
        lock(&self.rng).random_bool(probability.clamp(0.0, 1.0))
    }
}
