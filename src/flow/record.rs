//! What is known of one backend server.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Incarnation;
use crate::flow::Serial;
use crate::flow::Tag;
use crate::flow::liveness::Liveness;
use crate::flow::load::owner::Affinity;
use crate::flow::load::speed::Speed;
use crate::flow::outcome::RequestOutcomes;
use crate::flow::warmup::RecentFlows;
use crate::flow::warmup::hash;
use crate::id;

/// Load per slot that is added to a server at which all requests fail; a lower share of
/// failures adds proportionally less.
///
/// Load pattern: one server in ten answers with errors at once, or hangs. Without the
/// penalty, the failing server is always the least loaded and attracts flows, and the
/// hanging one gets another request whenever a caller gives up. The penalty is larger
/// than the spill margin, so that servers of other zones are preferred to failing ones.
const MAX_PENALTY: f64 = 4.0;

/// Share of failures up to which a server gets no penalty. Queues that fill for a moment
/// make some requests look stalled. If each of them moved load away, all instances of a
/// zone would move together from one server to the next.
const TOLERATED_BAD_SHARE: f64 = 0.35;

/// The state that a server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new flows.
    Ready,
    /// Finishes its open flows and then stops.
    Draining,
}

/// A server as listed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Key of the server in the store.
    pub id: id::Server,
    /// Identity that datagrams to the server carry.
    pub serial: Serial,
    /// Current incarnation; `None` if the entry does not contain one.
    pub incarnation: Option<Incarnation>,
    /// The service that the server runs.
    pub service: id::Service,
    /// Address that receives datagrams.
    pub address: SocketAddrV4,
    /// Availability zone of the server.
    pub zone: id::Zone,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts new flows.
    pub state: ServerState,
    /// How long the server stays slow after its start.
    pub cold_for: Duration,
}

/// Destination of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the server.
    pub address: SocketAddrV4,
    /// Identity of the intended server.
    pub serial: Serial,
    /// Tag that routes the later packets of the flow to the server.
    pub tag: Tag,
}

/// Handle of a server's incarnation in the directory. It stays valid until the server is
/// removed, which happens after all of its flows have been forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerHandle {
    pub(super) index: u32,
    /// Number of earlier incarnations of the server.
    pub(super) generation: u32,
}

impl ServerHandle {
    pub(super) fn index(self) -> usize {
        self.index as usize
    }

    /// Whether both refer to incarnations of the same server.
    pub(crate) fn is_same_server(self, other: Self) -> bool {
        self.index == other.index
    }
}

/// The first entry of another server with the address of this one.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) claimant: id::Server,
    pub(super) since: Instant,
}

/// State that is kept for a server.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) server: Server,
    pub(crate) tag: Tag,
    /// Number of earlier incarnations.
    pub(super) generation: u32,
    /// Whether the entry cannot be parsed and therefore gets no new flows; the server itself
    /// may be alive.
    pub(crate) is_unreadable: bool,
    /// When the entry was found missing; `None` while it is listed.
    pub(crate) missing_since: Option<Instant>,
    /// The last claim on the address, unless the entries have shown since that this server is
    /// alive.
    pub(super) claim: Option<Claim>,
    pub(crate) draining_since: Option<Instant>,
    /// Whether the server's zone is evacuated.
    pub(crate) is_evacuated: bool,
    /// Whether this instance owns the server: recomputed when the instances of the zone
    /// change.
    pub(crate) affinity: Affinity,
    /// Hash of the server's key, which orders the servers for their owners.
    pub(super) server_hash: u64,
    pub(crate) cold_until: Instant,
    /// New flows from this instance while the server is cold.
    pub(crate) cold_flows: RecentFlows,
    pub(crate) liveness: Liveness,
    pub(crate) outcomes: RequestOutcomes,
    /// Requests of this instance that the server has not answered yet, stalled ones included:
    /// the selection has to avoid a server that hangs.
    pub(crate) outstanding: u32,
    /// Flows of this instance whose handshake is in progress; part of `flows`. With owners,
    /// the selection counts them like requests.
    pub(crate) opening: u32,
    /// Handshakes and requests of this instance that use the server's slots, for admission.
    /// Stalled requests are left out: the server may have rejected them with a reset, which
    /// goes past this instance.
    pub(crate) in_progress: u32,
    /// Open flows seen by this instance.
    pub(crate) flows: u32,
    /// Load added for the share of failures, as last computed.
    pub(crate) penalty: f64,
    pub(crate) speed: Speed,
    /// Index in the list of its pool.
    pub(super) pool_index: usize,
    /// Whether an older server has the same tag, so that the flows of both could not be
    /// distinguished.
    pub(super) has_duplicate_tag: bool,
}

impl Record {
    pub(super) fn new(
        handle: ServerHandle,
        server: Server,
        has_duplicate_tag: bool,
        now: Instant,
    ) -> Self {
        Self {
            tag: Tag::of(server.serial),
            generation: handle.generation,
            is_unreadable: false,
            missing_since: None,
            claim: None,
            draining_since: draining_since(&server, None, now),
            is_evacuated: false,
            affinity: Affinity::default(),
            server_hash: hash(&server.id),
            cold_until: now + server.cold_for,
            cold_flows: RecentFlows::default(),
            liveness: Liveness::default(),
            outcomes: RequestOutcomes::default(),
            outstanding: 0,
            opening: 0,
            in_progress: 0,
            flows: 0,
            penalty: 0.0,
            speed: Speed::default(),
            pool_index: 0,
            has_duplicate_tag,
            server,
        }
    }

    pub(crate) fn target(&self) -> Target {
        Target {
            address: self.server.address,
            serial: self.server.serial,
            tag: self.tag,
        }
    }

    /// Recipient of packets of the server's open flows.
    ///
    /// At a claimed address, this is whichever server is there: this one continues its
    /// flows, and another one resets them, because it does not know them. The answer is
    /// always right, unlike a reset by an instance, which cannot tell which one has ended.
    pub(crate) fn flow_target(&self) -> Target {
        let target = self.target();
        match self.is_claimed() {
            true => Target {
                serial: Serial::ANY,
                ..target
            },
            false => target,
        }
    }

    /// Updates the cached penalty. A selection compares dozens of servers, most of which have
    /// no failures, so that the penalty is not computed there.
    pub(crate) fn update_penalty(&mut self, now: Instant) {
        self.penalty = penalty(self.outcomes.bad_share(now));
    }

    /// Whether the server accepts new flows.
    pub(crate) fn accepts_flows(&self) -> bool {
        self.accepts_by_last_entry() && !self.is_unreadable
    }

    /// Whether the server accepts new flows according to its last readable entry.
    pub(crate) fn accepts_by_last_entry(&self) -> bool {
        let ready = self.server.state == ServerState::Ready;
        let is_listed = self.missing_since.is_none() && !self.is_claimed();
        ready && is_listed && !self.has_duplicate_tag
    }

    /// Whether another server may have started at the address, so that this one has ended.
    pub(super) fn is_claimed(&self) -> bool {
        let is_unanswered = |claim: &Claim| !self.has_answered_since(claim.since);
        self.claim.as_ref().is_some_and(is_unanswered)
    }

    /// Whether the server has answered after `at`.
    pub(super) fn has_answered_since(&self, at: Instant) -> bool {
        self.liveness.last_answer() > Some(at)
    }
}

pub(super) fn draining_since(
    server: &Server,
    before: Option<Instant>,
    now: Instant,
) -> Option<Instant> {
    match server.state {
        ServerState::Ready => None,
        ServerState::Draining => before.or(Some(now)),
    }
}

/// Load that a server's share of failures adds.
fn penalty(bad_share: f64) -> f64 {
    let excess = (bad_share - TOLERATED_BAD_SHARE).max(0.0);
    MAX_PENALTY * excess / (1.0 - TOLERATED_BAD_SHARE)
}
