//! Events that the forwarding decisions report to logs and metrics.

use std::fmt;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::flow::Priority;
use crate::id;

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// No configuration or no list of servers has been read yet.
    NoView,
    /// The packet belongs to no flow seen here, and its tag to no known server.
    UnknownTag,
    /// A caller sent a packet that only servers send.
    ServerSide,
    /// All services of the route have weight 0.
    NoWeight,
    /// The queue for this instance's own link is full.
    FullLink,
    /// A retransmitted SYN whose server's zone has been evacuated meanwhile, while no other
    /// server accepts new flows.
    Evacuated,
    /// All servers are cold, and this instance has used up its quota for them.
    Cold,
    /// A queued opening that became too old while this process did not run.
    Overdue,
    /// A retransmitted SYN whose route leads to another service meanwhile, while no server
    /// there accepts new flows or the flow is already open.
    Rerouted,
}

impl DropReason {
    /// All reasons, in order of declaration.
    pub const ALL: [Self; 9] = [
        Self::NoView,
        Self::UnknownTag,
        Self::ServerSide,
        Self::NoWeight,
        Self::FullLink,
        Self::Evacuated,
        Self::Cold,
        Self::Overdue,
        Self::Rerouted,
    ];

    /// Name of the reason in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoView => "no_view",
            Self::UnknownTag => "unknown_tag",
            Self::ServerSide => "server_side",
            Self::NoWeight => "no_weight",
            Self::FullLink => "full_link",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
            Self::Overdue => "overdue",
            Self::Rerouted => "rerouted",
        }
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Why a new flow was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No route exists for the address.
    NoRoute,
    /// No server accepts new flows.
    NoServer,
    /// All servers that accept new flows are in evacuated zones.
    Evacuated,
    /// The service is short of capacity for this priority.
    Short,
}

impl Refusal {
    /// Name of the reason in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoRoute => "refused_no_route",
            Self::NoServer => "refused_no_server",
            Self::Evacuated => "refused_evacuated",
            Self::Short => "refused_short",
        }
    }
}

/// A duration measured from callers' packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timing {
    /// Time between a SYN and the caller's next packet.
    Handshake(Duration),
    /// Time between a request's first packet and the acknowledgement of its answer.
    Answer(Duration),
}

/// A decision about a flow, or a change in the state of a server.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEvent {
    /// A new flow was forwarded to a server.
    Placed {
        /// The flow.
        flow_key: FlowKey,
        /// The chosen server.
        server: id::Server,
        /// Whether the server is in another availability zone.
        is_remote: bool,
        /// Requests of this instance that the server was processing.
        outstanding: u32,
        /// Number of servers that were compared.
        candidates: usize,
        /// Version of the configuration.
        version: u64,
    },
    /// The SYN was sent to a further server because the first one did not answer.
    Reopened {
        /// The flow.
        flow_key: FlowKey,
        /// The unresponsive server.
        silent: id::Server,
        /// The further server; `None` if there is none.
        server: Option<id::Server>,
        /// Time since the first server got the SYN, in milliseconds.
        waited_ms: u64,
    },
    /// The SYN was sent to a further server because the first one's zone has been evacuated
    /// meanwhile.
    Evacuated {
        /// The flow.
        flow_key: FlowKey,
        /// The server that got the SYN first.
        left: id::Server,
    },
    /// The SYN was sent to a server of another service because its route leads there
    /// meanwhile.
    Rerouted {
        /// The flow.
        flow_key: FlowKey,
        /// The server that got the SYN first.
        left: id::Server,
        /// Version of the configuration.
        version: u64,
    },
    /// A new flow was refused with a reset.
    Refused {
        /// The flow.
        flow_key: FlowKey,
        /// Reason of the refusal.
        reason: Refusal,
        /// Version of the configuration.
        version: u64,
    },
    /// An opening was not admitted when it arrived, and has now been placed or refused.
    Waited {
        /// The flow.
        flow_key: FlowKey,
        /// The service.
        service: id::Service,
        /// Priority of the opening.
        priority: Priority,
        /// Time in the queue, in milliseconds.
        waited_ms: u64,
        /// Requests per slot of the zone's usable servers, smoothed.
        load: f64,
        /// Slots of these servers.
        slots: u32,
        /// This instance's requests in progress there.
        in_progress: u32,
        /// Whether the opening was placed.
        is_placed: bool,
    },
    /// An open flow was reset because its server is gone.
    Released {
        /// The flow.
        flow_key: FlowKey,
        /// The server that is gone.
        server: id::Server,
        /// How long its entry has been missing, in milliseconds.
        missing_ms: u64,
    },
    /// The first entry of a server has the address of another one.
    AddressClaimed {
        /// The server of the entry.
        server: id::Server,
        /// The server that was known at the address before.
        known: id::Server,
    },
    /// A packet has the tag of another server than its flow's, and is forwarded to the flow's.
    TagIgnored {
        /// The flow.
        flow_key: FlowKey,
        /// The flow's server.
        server: id::Server,
        /// The server of the tag.
        tagged: id::Server,
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow_key: FlowKey,
        /// Reason of the drop.
        reason: DropReason,
    },
    /// A server does not answer and gets no new flows for a while.
    Suspected {
        /// The server.
        server: id::Server,
        /// Consecutive missed answers.
        misses: u32,
    },
    /// A request has been open for much longer than usual.
    Stalled {
        /// The flow.
        flow_key: FlowKey,
        /// The server.
        server: id::Server,
        /// Time since the request began, in milliseconds.
        waited_ms: u64,
    },
    /// A suspected server has answered.
    SuspicionCleared {
        /// The server.
        server: id::Server,
    },
}
