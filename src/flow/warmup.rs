//! How many new flows a server that is still cold gets from each instance.
//!
//! Load pattern: operators take back a zone at the peak. Its servers are empty and
//! therefore look best to every instance, but while they are cold each of them
//! bears only a few requests a second, all instances together.
//!
//! The instances share that without a word to each other: all know the members, and
//! each ranks them alike for each server. Where two lists of members differ for a
//! moment, so do a few shares.

use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::flow::Server;
use crate::id;

/// Span in which a share holds: a second, and what two packets may differ in on
/// their way.
const SPAN: Duration = Duration::from_millis(1_100);

/// An instance that shares the callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The instance.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
}

/// What a service's servers bear after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long a server stays cold.
    pub duration: Duration,
    /// Requests a second that a cold server bears, from all instances together;
    /// 0 when that is not limited.
    pub rate: f64,
}

/// This instance's part of a cold server's new flows.
#[derive(Debug, Default)]
pub(crate) struct Share {
    /// New flows in each span; `None` when they are not limited.
    most: Option<usize>,
    /// When the last ones went there.
    given: VecDeque<Instant>,
}

impl Share {
    pub(crate) fn set(&mut self, most: Option<usize>) {
        self.most = most;
    }

    /// Whether the span up to now has room for one more.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        let Some(most) = self.most else {
            return true;
        };
        let recent = self.given.iter().filter(|at| now < **at + SPAN);
        recent.count() < most
    }

    pub(crate) fn take(&mut self, now: Instant) {
        if self.most.is_none() {
            return;
        }
        while self.given.front().is_some_and(|at| now >= *at + SPAN) {
            self.given.pop_front();
        }
        self.given.push_back(now);
    }
}

/// New flows that one of the peers may send a cold server in a second.
///
/// The shares of all add up to the rate, rounded down, or to one. All zones share
/// alike, since a service may have servers in one zone only.
pub fn cold_flow_quota(me: &id::Instance, peers: &[Peer], server: &Server, rate: f64) -> usize {
    let total = (rate as usize).max(1);
    let mine = place(me, server);
    let places = peers.iter().map(|peer| place(&peer.instance, server));
    let rank = places.filter(|other| *other < mine).count();
    let count = peers.len().max(1);
    total / count + usize::from(rank < total % count)
}

/// Order of the instances for one life of a server.
fn place(instance: &id::Instance, server: &Server) -> u64 {
    let mut hasher = SipHasher13::new();
    (instance, server.serial, server.incarnation).hash(&mut hasher);
    hasher.finish()
}
