//! What the decisions have to tell the logs and the counters.

use std::fmt;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::id;

/// Why a packet was not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// No configuration or no list of servers has been read yet.
    NoView,
    /// The packet belongs to no flow seen here and its tag to no known server.
    UnknownTag,
    /// A caller sent what only servers send.
    ServerSide,
    /// The route's weights leave no service.
    NoWeight,
    /// Too much waits for this instance's own link.
    FullLink,
    /// The copy of an opening packet whose server's zone has been evacuated
    /// meanwhile, while no other server takes new flows.
    Evacuated,
    /// All servers are cold and have had this instance's share of new flows.
    Cold,
}

impl DropReason {
    /// Every reason, in the order of the list.
    pub const ALL: [Self; 7] = [
        Self::NoView,
        Self::UnknownTag,
        Self::ServerSide,
        Self::NoWeight,
        Self::FullLink,
        Self::Evacuated,
        Self::Cold,
    ];

    /// The reason as it stands in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoView => "no_view",
            Self::UnknownTag => "unknown_tag",
            Self::ServerSide => "server_side",
            Self::NoWeight => "no_weight",
            Self::FullLink => "full_link",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
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
    /// No route exists.
    NoRoute,
    /// No server takes new flows.
    NoServer,
    /// All servers that would take it are in evacuated zones.
    Evacuated,
}

impl Refusal {
    /// The reason as it stands in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoRoute => "refused_no_route",
            Self::NoServer => "refused_no_server",
            Self::Evacuated => "refused_evacuated",
        }
    }
}

/// How long something took, as seen from callers' packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timing {
    /// From an opening packet to the caller's next one.
    Handshake(Duration),
    /// From a request's first packet to the acknowledgement of its answer.
    Answer(Duration),
}

/// One decision about a flow, or one change of what is believed.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEvent {
    /// A new flow went to a server.
    Placed {
        /// The flow.
        flow_key: FlowKey,
        /// The chosen server.
        server: id::Server,
        /// Whether the server is in another availability zone.
        is_remote: bool,
        /// Requests of this instance that the server was working on.
        outstanding: u32,
        /// Servers that could have been chosen.
        candidates: usize,
        /// Version of the configuration.
        version: u64,
    },
    /// The opening packet went to a further server, since the first is silent.
    Reopened {
        /// The flow.
        flow_key: FlowKey,
        /// The silent server.
        silent: id::Server,
        /// The further server; `None` when there is none.
        server: Option<id::Server>,
        /// How long the first was given, in milliseconds.
        waited_ms: u64,
    },
    /// The opening packet went to a further server, since the first one's zone has
    /// been evacuated meanwhile.
    Evacuated {
        /// The flow.
        flow_key: FlowKey,
        /// The server that had the packet first.
        left: id::Server,
    },
    /// A new flow was refused with a reset.
    Refused {
        /// The flow.
        flow_key: FlowKey,
        /// Why.
        reason: Refusal,
        /// Version of the configuration.
        version: u64,
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
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow_key: FlowKey,
        /// Why.
        reason: DropReason,
    },
    /// A server is silent and gets no new flows for a while.
    Suspected {
        /// The server.
        server: id::Server,
        /// Silences in a row.
        misses: u32,
    },
    /// A request has been open for much longer than usual.
    Stalled {
        /// The flow.
        flow_key: FlowKey,
        /// The server.
        server: id::Server,
        /// Since when, in milliseconds.
        waited_ms: u64,
    },
    /// A suspected server has answered.
    SuspicionCleared {
        /// The server.
        server: id::Server,
    },
}
