//! Server affinity: the instances of a zone that prefer a server.
//!
//! Load pattern: twenty instances of a zone place short requests on thirty servers with two
//! slots each. An instance has less than one request in progress in total, so that its own
//! counts say almost nothing about a server, and requests queue at one server while others
//! are free. If only a few instances prefer a server, each of these sends it most of its
//! requests and knows its load nearly exactly.
//!
//! Every instance computes the owners by itself. Two instances with different lists, such as
//! one that has just started, differ in their preferences only: a server that no instance
//! owns is still selected when the owned ones are busy.

use crate::flow::Peer;
use crate::flow::record::ServerHandle;
use crate::flow::warmup::hash;
use crate::id;

/// Load that a server of this zone is expected to have from its owners when another instance
/// compares it with the servers that it owns itself.
const EXPECTED_AT_OTHERS: f64 = 2.5;

/// Load that a new flow adds.
const OWN_REQUEST: f64 = 1.0;

/// The instances of this zone, and how many of them own a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Owners {
    /// Owners of each server; 0 if servers have no owners.
    per_server: usize,
    /// Hash of this instance.
    own: u64,
    /// Hashes of the other instances of the zone, in ascending order.
    others: Vec<u64>,
}

impl Owners {
    /// The owners among the instances of this zone. This instance counts even if it is not
    /// listed.
    pub(crate) fn new(
        per_server: usize,
        me: &id::Instance,
        zone: &id::Zone,
        peers: &[Peer],
    ) -> Self {
        let others = peers
            .iter()
            .filter(|peer| peer.zone == *zone && peer.instance != *me);
        let mut others: Vec<u64> = others.map(|peer| hash(&peer.instance)).collect();
        others.sort_unstable();
        Self {
            per_server,
            own: hash(me),
            others,
        }
    }

    /// Whether servers have owners. If all instances would own all servers, none do.
    pub(crate) fn is_active(&self) -> bool {
        self.per_server > 0 && self.others.len() >= self.per_server
    }

    /// Place of this instance among the owners of the server with this rank among `servers`
    /// ones; `None` if it is not one of them.
    ///
    /// Ranks are spread evenly over the instances in the order of their hashes. If each
    /// server selected its owners by a hash of its own instead, some instances would own no
    /// server and others seven of thirty, and a fifth more of the requests would wait. An
    /// instance that joins or leaves moves the ranks after it by a part of one place.
    fn place(&self, rank: usize, servers: usize) -> Option<usize> {
        let instances = self.others.len() + 1;
        let own = self.others.partition_point(|other| *other < self.own);
        let first = rank * instances / servers;
        let mut owners = (0..self.per_server).map(|n| first + n * instances / self.per_server);
        owners.position(|owner| owner % instances == own)
    }

    /// The servers of a service in this zone that this instance owns, and its place among
    /// the owners of each.
    ///
    /// The order does not depend on the incarnation, so that a server that restarts keeps
    /// its owners.
    pub(crate) fn owned(
        &self,
        servers: impl Iterator<Item = (ServerHandle, u64)>,
    ) -> Vec<(ServerHandle, usize)> {
        if !self.is_active() {
            return Vec::new();
        }
        let mut servers: Vec<(u64, ServerHandle)> =
            servers.map(|(handle, hash)| (hash, handle)).collect();
        servers.sort_unstable();
        let count = servers.len();
        let ranked = servers.into_iter().enumerate();
        let owned =
            ranked.filter_map(|(rank, (_, handle))| Some((handle, self.place(rank, count)?)));
        owned.collect()
    }

    /// Estimated requests of all instances at a server, including the new one, where this
    /// instance has `own` in progress.
    ///
    /// An owned server gets less than one request more for the owners before this one, so
    /// that of servers which look equally loaded each owner prefers another.
    pub(crate) fn total_load(&self, own: f64, affinity: Affinity, zone_instances: usize) -> f64 {
        let instances = zone_instances as f64;
        match affinity {
            Affinity::Owned { place } if self.is_active() => {
                let owners = self.per_server as f64;
                own * owners + OWN_REQUEST + f64::from(place) / owners
            }
            Affinity::Other if self.is_active() => own * instances + EXPECTED_AT_OTHERS,
            Affinity::Owned { .. } | Affinity::Other | Affinity::Remote => {
                own * instances + OWN_REQUEST
            }
        }
    }
}

/// Relation of this instance to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Affinity {
    /// The server is in this zone, and this instance is one of its owners.
    Owned {
        /// Place among the owners; 0 is the first.
        place: u8,
    },
    /// The server is in this zone, and other instances may own it.
    Other,
    /// The server is in another zone.
    #[default]
    Remote,
}

impl Affinity {
    pub(crate) fn is_owned(self) -> bool {
        matches!(self, Self::Owned { .. })
    }
}
