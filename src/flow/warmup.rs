//! Quotas of new flows for servers that are still cold.
//!
//! Load pattern: operators end the evacuation of a zone at peak load. Its servers are idle
//! and therefore the best candidates for every instance, but while they are cold, each of
//! them can process only a few requests per second from all instances together.
//!
//! The instances divide that rate without communication: all of them know the list of
//! instances, and each computes the same ranking for each server. While two instances have
//! different lists for a moment, a few quotas differ as well.

use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::flow::Server;
use crate::id;

/// Window of the quota: one second, and the difference in delay that two packets may have.
const QUOTA_WINDOW: Duration = Duration::from_millis(1_100);

/// An instance that shares the callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Availability zone of the instance.
    pub zone: id::Zone,
}

/// Load limits of a service's servers after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long a server stays cold.
    pub duration: Duration,
    /// Requests per second that a cold server can process from all instances together; 0 for
    /// no limit.
    pub rate: f64,
}

/// When recent new flows were opened at a cold server whose rate is limited.
#[derive(Debug, Default)]
pub(crate) struct RecentFlows {
    times: VecDeque<Instant>,
}

impl RecentFlows {
    /// Number of flows in the window that ends now.
    pub(crate) fn count(&self, now: Instant) -> usize {
        let in_window = self.times.iter().filter(|at| now < **at + QUOTA_WINDOW);
        in_window.count()
    }

    pub(crate) fn add(&mut self, now: Instant) {
        while self
            .times
            .front()
            .is_some_and(|at| now >= *at + QUOTA_WINDOW)
        {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }
}

/// The instances that share the callers, by hash, and this one's place among them.
///
/// For each incarnation of a server, the ring begins at another hash, and the instances
/// rank in the order that follows. One instance more or less moves only the ranks behind
/// it.
#[derive(Clone, Debug)]
pub struct PeerRing {
    /// Hashes of all instances, in ascending order.
    hashes: Vec<u64>,
    /// Hash of this instance.
    own: u64,
}

impl PeerRing {
    /// The ring of these instances. This one is counted even if it is not listed.
    pub fn new(me: &id::Instance, peers: &[Peer]) -> Self {
        let own = hash(me);
        let others = peers.iter().filter(|peer| peer.instance != *me);
        let mut hashes: Vec<u64> = others.map(|peer| hash(&peer.instance)).collect();
        hashes.push(own);
        hashes.sort_unstable();
        Self { hashes, own }
    }

    /// New flows per second that this instance may open at a cold server.
    ///
    /// The quotas of all instances add up to the rate, rounded down, or to one. All zones
    /// have equal quotas, because a service may have servers in one zone only.
    pub fn cold_flow_quota(&self, server: &Server, rate: f64) -> usize {
        let total = (rate as usize).max(1);
        let count = self.hashes.len();
        total / count + usize::from(self.rank(server) < total % count)
    }

    /// Number of instances between the server's hash and this instance.
    fn rank(&self, server: &Server) -> usize {
        let begin = hash(&(server.serial, server.incarnation));
        let place = |hash: u64| self.hashes.partition_point(|other| *other < hash);
        let (begin, own) = (place(begin), place(self.own));
        match own.checked_sub(begin) {
            Some(rank) => rank,
            None => self.hashes.len() - begin + own,
        }
    }
}

pub(super) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
