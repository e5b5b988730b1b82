//! What the decision core is told.

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

/// One thing that happened. The time is passed beside it.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request from a caller, here or relayed by a peer.
    Request {
        /// The request.
        request: Request,
        /// Relays so far.
        hops: u32,
    },
    /// A request that an earlier home claimed, never forwarded and gave up.
    ReleasedRequest {
        /// The earlier home.
        from: id::Holder,
        /// The request.
        request: Request,
        /// Relays so far.
        hops: u32,
    },
    /// A caller's receipt for one of our own messages.
    Receipt {
        /// Caller and service.
        flow: Flow,
        /// Number of the message.
        message: u16,
        /// What the caller says.
        receipt: Receipt,
        /// Relays so far.
        hops: u32,
        /// The datagram, to relay it.
        datagram: bytes::Bytes,
    },
    /// An answer from a backend server.
    Answer {
        /// Where it came from.
        from: id::Endpoint,
        /// Which sending it answers.
        attempt: id::Attempt,
        /// The answer.
        answer: Answer,
    },
    /// A message from a peer, already authenticated.
    Peer {
        /// The sender.
        from: id::Holder,
        /// The message.
        body: peer::PeerMessage,
    },
    /// A new configuration is in force.
    Snapshot(Arc<Snapshot>),
    /// Rows of the slice table changed.
    Table(Arc<Table>),
    /// The view of the other instances changed.
    Membership(Arc<MembershipView>),
    /// Give this backup all records of these slices.
    AddBackup {
        /// The slices.
        slices: Vec<id::Slice>,
        /// The new backup.
        backup: id::Holder,
    },
    /// Give up joining a backup; no write that names it is under way.
    CancelBackup(Vec<id::Slice>),
    /// The instance ends soon and cannot hand its slices over: new work is refused.
    Stopping,
    /// Time has passed.
    Tick,
}
