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

/// This instance's quota of new flows for a cold server.
#[derive(Debug, Default)]
pub(crate) struct ColdQuota {
    /// New flows per window; `None` for no limit.
    limit: Option<usize>,
    /// When recent flows were opened.
    recent: VecDeque<Instant>,
}

impl ColdQuota {
    pub(crate) fn set(&mut self, limit: Option<usize>) {
        self.limit = limit;
    }

    /// Whether the window that ends now has room for another flow.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let in_window = self.recent.iter().filter(|at| now < **at + QUOTA_WINDOW);
        in_window.count() < limit
    }

    pub(crate) fn count_flow(&mut self, now: Instant) {
        if self.limit.is_none() {
            return;
        }
        while self
            .recent
            .front()
            .is_some_and(|at| now >= *at + QUOTA_WINDOW)
        {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }
}

/// New flows per second that one instance may open at a cold server.
///
/// The quotas of all instances add up to the rate, rounded down, or to one. All zones have
/// equal quotas, because a service may have servers in one zone only.
pub fn cold_flow_quota(me: &id::Instance, peers: &[Peer], server: &Server, rate: f64) -> usize {
    let total = (rate as usize).max(1);
    let own_hash = rank_hash(me, server);
    let hashes = peers.iter().map(|peer| rank_hash(&peer.instance, server));
    let rank = hashes.filter(|other| *other < own_hash).count();
    let count = peers.len().max(1);
    total / count + usize::from(rank < total % count)
}

/// Hash by which the instances are ranked for one incarnation of a server.
fn rank_hash(instance: &id::Instance, server: &Server) -> u64 {
    let mut hasher = SipHasher13::new();
    (instance, server.serial, server.incarnation).hash(&mut hasher);
    hasher.finish()
}
