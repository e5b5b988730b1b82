//! What the decision core wants done.

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

/// How a final outcome travels to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// With the acknowledgement of the request, or as a plain reply.
    Direct,
    /// By a message of its own, since the request was acknowledged already.
    Separate {
        /// Number of that message.
        message: u16,
    },
}

/// One thing to do. Order within one event's actions matters.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a backend server.
    Forward {
        /// The server.
        server: Arc<Server>,
        /// Marks the answers to this sending.
        attempt: id::Attempt,
        /// The service, which the server is told so that another one refuses.
        service: id::Service,
        /// Time left for it.
        remaining: Duration,
        /// The caller's datagram.
        datagram: Bytes,
    },
    /// Tell a backend server that an answer is not wanted any more.
    Reject {
        /// The server's address.
        to: id::Endpoint,
        /// The sending whose answers are not wanted.
        attempt: id::Attempt,
        /// The unwanted datagram.
        datagram: Bytes,
    },
    /// Give a caller the final outcome of its request.
    Answer {
        /// Caller and service.
        flow: Flow,
        /// Which request.
        id: request::Id,
        /// The caller's token.
        token: Token,
        /// Whether the request was confirmable.
        confirmable: bool,
        /// How it travels.
        delivery: Delivery,
        /// Position in the feed that the answer opens.
        sequence: Option<u32>,
        /// The outcome.
        outcome: Outcome,
    },
    /// Tell a caller that its request has arrived and the answer will follow.
    Acknowledge {
        /// Caller and service.
        flow: Flow,
        /// Which request.
        id: request::Id,
    },
    /// Give a caller the next notification of its feed.
    Notify {
        /// Caller and service.
        flow: Flow,
        /// The caller's token.
        token: Token,
        /// Number of the message.
        message: u16,
        /// Position in the feed; greater is newer.
        sequence: u32,
        /// Whether the caller must acknowledge it.
        confirmable: bool,
        /// The server's datagram; none ends the feed.
        datagram: Option<Bytes>,
    },
    /// Send a message to a peer.
    Peer {
        /// The receiver; dropped if it is gone.
        to: id::Holder,
        /// The message.
        body: peer::PeerMessage,
    },
    /// The new backup of this slice has all records.
    BackupSynced {
        /// The slice.
        slice: id::Slice,
        /// The backup.
        backup: id::Holder,
    },
    /// Something worth counting, logging and explaining.
    TraceEvent(TraceEvent),
}

/// An entry for metrics, logs and `explain`.
#[derive(Clone, Debug)]
pub struct TraceEvent {
    /// What happened.
    pub reason: Reason,
    /// To whom.
    pub flow: Option<Flow>,
    /// To which request.
    pub request: Option<request::Id>,
    /// In which slice.
    pub slice: Option<id::Slice>,
    /// Under which epoch of the slice.
    pub epoch: Option<id::Epoch>,
    /// Under which revision of the profile.
    pub revision: Option<id::Revision>,
    /// By which server.
    pub server: Option<id::Server>,
    /// How long it took, where that is known.
    pub elapsed: Option<Duration>,
}

impl TraceEvent {
    /// A note of a reason alone.
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
