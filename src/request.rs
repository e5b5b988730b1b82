//! Requests, their identity and their outcomes, free of any wire format.
//!
//! The codec at the edge turns datagrams into these types. The decision modules
//! treat payloads as opaque bytes.

use std::fmt;

use bytes::Bytes;

use crate::id;

/// Identity of a request among its caller's: equal for every copy of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u128);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The caller's token: names the feed or answer that a datagram belongs to.
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
    /// The service, known from the address that the caller used.
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
    /// Which of the caller's requests.
    pub id: Id,
}

/// What a datagram from a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may be repeated at another server.
    Idempotent,
    /// Non-idempotent: runs at most once.
    NonIdempotent,
    /// Opens a feed; idempotent.
    OpenFeed,
    /// Ends a feed; idempotent.
    CloseFeed,
}

impl Kind {
    /// Whether a second sending could make the work happen twice.
    pub fn is_non_idempotent(self) -> bool {
        matches!(self, Self::NonIdempotent)
    }
}

/// What a datagram is of a body that may need several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyBlock {
    /// Names the body among its caller's, by resource and method.
    pub body_id: u64,
    /// Whether earlier parts are at a server already, which this one must meet.
    pub is_continuation: bool,
    /// Whether the body travels to the server.
    pub is_upload: bool,
}

/// A request from a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Caller and service.
    pub flow: Flow,
    /// Identity among the caller's requests.
    pub id: Id,
    /// Names the answer.
    pub token: Token,
    /// What it asks for.
    pub kind: Kind,
    /// Whether the caller expects an acknowledgement of receipt.
    pub confirmable: bool,
    /// Which part of which body it is.
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

/// A receipt from a caller about one of our own messages to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The message arrived.
    Acknowledged,
    /// The caller does not want it.
    Rejected,
}

/// What a backend server's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request was handled, whatever the result.
    Handled,
    /// The server handled it but knows no such thing, as a server of another
    /// service would say too.
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
    /// Whether more parts of the same body follow.
    pub has_more_blocks: bool,
    /// Seconds after which a server that refused wants to be asked again.
    pub retry_after: Option<u32>,
    /// The whole datagram, opaque here.
    pub datagram: Bytes,
}

/// The final word on a request. The three are never blurred.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server's own answer.
    Answered(Bytes),
    /// It was not run and no copy of it will be; the caller may come back.
    NotRun {
        /// Seconds after which to come back.
        retry_after: u32,
    },
    /// It may have run.
    Unknown,
}
