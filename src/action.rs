//! Actions that the decision core requests from its worker.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Duration;

use crate::id;
use crate::peer;
use crate::reason::Reason;
use crate::request;
use crate::request::Flow;
use crate::request::Outcome;
use crate::request::Token;
use crate::server::Server;

/// How a final outcome is sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Piggybacked on the acknowledgement of the request, or as a plain reply.
    Direct,
    /// In a separate message, because the request was already acknowledged.
    Separate {
        /// Message number of the separate answer.
        message: u16,
    },
}

/// One action to carry out. The order of the actions of one event matters.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a backend server.
    Forward {
        /// Server that receives the request.
        server: Arc<Server>,
        /// Identifies the answers to this attempt.
        attempt: id::Attempt,
        /// Service that is named in the request, so that a server of another
        /// service refuses it.
        service: id::Service,
        /// Time left until the request's deadline.
        remaining: Duration,
        /// The caller's datagram.
        datagram: Bytes,
    },
    /// Notify a backend server that an answer is no longer wanted.
    Reject {
        /// Address of the server.
        to: id::Endpoint,
        /// Attempt whose answers are not wanted.
        attempt: id::Attempt,
        /// Datagram of the unwanted answer.
        datagram: Bytes,
    },
    /// Send the final outcome of a request to its caller.
    Answer {
        /// Caller and service.
        flow: Flow,
        /// Identity of the request.
        id: request::Id,
        /// The caller's token.
        token: Token,
        /// Whether the request was confirmable.
        confirmable: bool,
        /// How the outcome is sent.
        delivery: Delivery,
        /// Sequence number of the answer, if it opens a feed.
        sequence: Option<u32>,
        /// Final outcome.
        outcome: Outcome,
    },
    /// Acknowledge a request to its caller; the answer follows separately.
    Acknowledge {
        /// Caller and service.
        flow: Flow,
        /// Identity of the request.
        id: request::Id,
    },
    /// Send the next notification of a feed to its caller.
    Notify {
        /// Caller and service.
        flow: Flow,
        /// The caller's token.
        token: Token,
        /// Message number of the notification.
        message: u16,
        /// Sequence number within the feed; a greater one is newer.
        sequence: u32,
        /// Whether the caller must acknowledge the notification.
        confirmable: bool,
        /// Datagram from the server; none ends the feed.
        datagram: Option<Bytes>,
    },
    /// Send a message to a peer.
    Peer {
        /// Receiver; the message is dropped if that incarnation is unknown.
        to: id::Holder,
        /// The message.
        body: peer::PeerMessage,
    },
    /// The new backup of this slice holds all its records.
    BackupSynced {
        /// The slice.
        slice: id::Slice,
        /// The backup.
        backup: id::Holder,
    },
    /// Report an event for metrics, logs and `explain`.
    TraceEvent(TraceEvent),
}

/// An event that is counted, logged and shown by `explain`.
#[derive(Clone, Debug)]
pub struct TraceEvent {
    /// Kind of event.
    pub reason: Reason,
    /// Flow that the event concerns.
    pub flow: Option<Flow>,
    /// Request that the event concerns.
    pub request: Option<request::Id>,
    /// Slice of the flow.
    pub slice: Option<id::Slice>,
    /// Epoch of the slice at that time.
    pub epoch: Option<id::Epoch>,
    /// Revision of the service's profile at that time.
    pub revision: Option<id::Revision>,
    /// Server that was used.
    pub server: Option<id::Server>,
    /// Duration of the request, where it is known.
    pub elapsed: Option<Duration>,
}

impl TraceEvent {
    /// An event with only a reason.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            flow: None,
            request: None,
            slice: None,
            epoch: None,
            revision: None,
            server: None,
            elapsed: None,
        }
    }
}
