//! Events that the decision core handles.

use std::sync::Arc;

use crate::id;
use crate::peer;
use crate::peer::member::MembershipView;
use crate::request::Answer;
use crate::request::Flow;
use crate::request::Receipt;
use crate::request::Request;
use crate::snapshot::Snapshot;
use crate::table::Table;

/// One event. Its time is passed alongside.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request from a caller, received here or relayed by a peer.
    Request {
        /// The request.
        request: Request,
        /// Number of relays so far.
        hops: u32,
    },
    /// A request that the previous home claimed, never forwarded and handed over.
    ReleasedRequest {
        /// The previous home.
        from: id::Holder,
        /// The request.
        request: Request,
        /// Number of relays so far.
        hops: u32,
    },
    /// A caller's reply to one of this instance's own messages.
    Receipt {
        /// Caller and service.
        flow: Flow,
        /// Message number that the caller refers to.
        message: u16,
        /// Whether the caller acknowledged or rejected the message.
        receipt: Receipt,
        /// Number of relays so far.
        hops: u32,
        /// The datagram, kept in case it must be relayed.
        datagram: bytes::Bytes,
    },
    /// An answer from a backend server.
    Answer {
        /// Address that the answer came from.
        from: id::Endpoint,
        /// Attempt that is answered.
        attempt: id::Attempt,
        /// The answer.
        answer: Answer,
    },
    /// An authenticated message from a peer.
    Peer {
        /// The sender.
        from: id::Holder,
        /// The message.
        body: peer::PeerMessage,
    },
    /// A new configuration is in effect.
    Snapshot(Arc<Snapshot>),
    /// Rows of the slice table changed.
    Table(Arc<Table>),
    /// The view of the other instances has changed.
    Membership(Arc<MembershipView>),
    /// Copy all records of these slices to a new backup.
    AddBackup {
        /// The slices.
        slices: Vec<id::Slice>,
        /// The new backup.
        backup: id::Holder,
    },
    /// Cancel the copy to a new backup; no table write that names it is in
    /// progress.
    CancelBackup(Vec<id::Slice>),
    /// This instance stops soon and cannot hand its slices over: new requests are
    /// refused.
    Stopping,
    /// Time has passed.
    Tick,
}
