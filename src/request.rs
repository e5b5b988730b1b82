//! Requests, their identity and their outcomes, independent of the wire format.
//!
//! The codec at the edge converts datagrams to these types. The decision modules
//! treat payloads as opaque bytes.

use std::fmt;

use bytes::Bytes;

use crate::id;

/// Identity of a request among those of its caller, equal for every duplicate of
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u128);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The caller's token, which names the feed or request that a datagram belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u128);

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A caller of one service: the unit that is hashed to a slice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// The service, derived from the address that the caller used.
    pub service: id::Service,
    /// The caller.
    pub caller: id::Endpoint,
}

impl fmt::Display for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.caller)
    }
}

/// Full identity of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Caller and service.
    pub flow: Flow,
    /// Identity among the caller's requests.
    pub id: Id,
}

/// Kind of request that a caller's datagram carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may be repeated at another server.
    Idempotent,
    /// Non-idempotent: must run at most once.
    NonIdempotent,
    /// Opens a feed; idempotent.
    OpenFeed,
    /// Ends a feed; idempotent.
    CloseFeed,
}

impl Kind {
    /// Whether forwarding the request twice could run it twice.
    pub fn is_non_idempotent(self) -> bool {
        matches!(self, Self::NonIdempotent)
    }
}

/// Position of a datagram in a block-wise transfer (RFC 7959).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyBlock {
    /// Identifies the body among those of its caller, by resource and method.
    pub body_id: u64,
    /// Whether a server already holds earlier blocks, so that this one must go to
    /// that server.
    pub is_continuation: bool,
    /// Whether the body is sent to the server.
    pub is_upload: bool,
}

/// A request from a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Caller and service.
    pub flow: Flow,
    /// Identity among the caller's requests.
    pub id: Id,
    /// Token that the answer carries.
    pub token: Token,
    /// Kind of request.
    pub kind: Kind,
    /// Whether the caller expects an acknowledgement of receipt.
    pub confirmable: bool,
    /// Position in a block-wise transfer.
    pub block: BodyBlock,
    /// The whole datagram, opaque here.
    pub datagram: Bytes,
}

impl Request {
    /// The full identity.
    pub fn key(&self) -> Key {
        Key {
            flow: self.flow.clone(),
            id: self.id,
        }
    }
}

/// A caller's reply to one of this instance's own messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The caller received the message.
    Acknowledged,
    /// The caller does not want the message.
    Rejected,
}

/// How a backend server treated a request, according to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request was handled, whatever its result.
    Handled,
    /// The server handled the request and answered "not found", as a server of
    /// another service would too.
    NotFound,
    /// The server states that it did not start the request.
    Refused,
}

/// An answer from a backend server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Whether the server handled the request.
    pub verdict: Verdict,
    /// Whether the answer belongs to a feed that stays open.
    pub keeps_feed_open: bool,
    /// Whether more blocks of the same body follow.
    pub has_more_blocks: bool,
    /// Seconds after which a server that refused may be tried again.
    pub retry_after: Option<u32>,
    /// The whole datagram, opaque here.
    pub datagram: Bytes,
}

/// The final outcome of a request. The three cases are kept strictly apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server's own answer.
    Answered(Bytes),
    /// The request was not run and no duplicate of it will be; the caller may
    /// retry.
    NotRun {
        /// Seconds after which the caller may retry.
        retry_after: u32,
    },
    /// The request may have run.
    Unknown,
}
