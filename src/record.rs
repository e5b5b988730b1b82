//! State of requests, feeds and slices that the engine keeps.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use crate::id;
use crate::peer;
use crate::reason::Reason;
use crate::request::BodyBlock;
use crate::request::Flow;
use crate::request::Id;
use crate::request::Key;
use crate::request::Kind;
use crate::request::Outcome;
use crate::request::Request;
use crate::request::Token;
use crate::server::Server;

/// Next step after the backup has acknowledged a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimFollowUp {
    Forward,
    Refuse { retry_after: u32, reason: Reason },
}

/// Phase of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for the backup to acknowledge the claim; not forwarded.
    Claiming(ClaimFollowUp),
    /// Sent to one or more servers.
    Sent,
    /// Finished; the outcome is kept to answer duplicates.
    Settled(Outcome),
    /// Claimed by an earlier home; the request may have run.
    Claimed,
}

/// State of a request.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) phase: Phase,
    /// At the backup, and at the home that succeeds it: the holder that claimed the
    /// request.
    pub(crate) claimed_by: Option<id::Holder>,
    /// Whether a duplicate of a request that another home claimed was received here. The
    /// duplicate's sender gets an outcome when the request's deadline has passed.
    pub(crate) has_waiting_sender: bool,
    pub(crate) kind: Kind,
    pub(crate) token: Token,
    pub(crate) confirmable: bool,
    pub(crate) block: BodyBlock,
    pub(crate) received_at: Instant,
    /// Message number of the separate answer, once receipt of the request has been
    /// acknowledged.
    pub(crate) separate_message: Option<u16>,
    /// How often the separate answer was sent again; set to the maximum once the caller
    /// has acknowledged it.
    pub(crate) resends: u32,
    pub(crate) sequence: Option<u32>,
    pub(crate) attempts: Vec<id::Attempt>,
    pub(crate) tried_servers: Vec<id::Server>,
    /// The caller's datagram; emptied when no further attempt can follow.
    pub(crate) datagram: Bytes,
}

impl Record {
    /// Record that a backup keeps of a claim, for a request received at `received_at`.
    pub(crate) fn claimed(received_at: Instant, claimer: id::Holder) -> Self {
        Self {
            phase: Phase::Claimed,
            claimed_by: Some(claimer),
            has_waiting_sender: false,
            kind: Kind::NonIdempotent,
            token: Token(0),
            confirmable: true,
            block: BodyBlock::default(),
            received_at,
            separate_message: None,
            resends: 0,
            sequence: None,
            attempts: Vec::new(),
            tried_servers: Vec::new(),
            datagram: Bytes::new(),
        }
    }

    /// Whether the final outcome is known.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Settled(_))
    }

    /// Whether the record is kept after the outcome, to give duplicates of the request
    /// the same answer. This includes uploads with an idempotent method: a server
    /// discards the blocks of a body once it is complete, and would refuse a duplicate
    /// of the last block as incomplete.
    pub(crate) fn is_kept(&self) -> bool {
        self.kind.is_non_idempotent() || self.block.is_upload
    }

    /// Whether this instance is processing the request.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Claiming(_) | Phase::Sent)
    }
}

/// Identifies a feed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct FeedKey {
    pub(crate) flow: Flow,
    pub(crate) token: Token,
}

/// A new registration of a feed that is in progress while the current one stays in use.
#[derive(Clone, Debug)]
pub(crate) struct Renewal {
    pub(crate) attempt: id::Attempt,
    pub(crate) server: id::Server,
    pub(crate) started_at: Instant,
}

/// State of a feed.
#[derive(Clone, Debug)]
pub(crate) struct Feed {
    /// The caller's registration, copied: a slice of the receive buffer would keep the
    /// whole buffer allocated for as long as the feed exists.
    pub(crate) datagram: Box<[u8]>,
    pub(crate) server: id::Server,
    /// The registration in use; `None` while this instance only keeps a copy.
    pub(crate) attempt: Option<id::Attempt>,
    pub(crate) renewal: Option<Box<Renewal>>,
    /// Servers that did not accept the feed since its last notification.
    pub(crate) failed_servers: Vec<id::Server>,
    pub(crate) sequence: u32,
    pub(crate) last_notification: Instant,
    /// When the caller last confirmed the feed.
    pub(crate) last_confirmed: Instant,
    /// Number of confirmable notifications that are not acknowledged.
    pub(crate) unconfirmed: u32,
    /// Time of the next check; a timer for another time is outdated.
    pub(crate) next_check: Instant,
    /// If the feed is a copy: number of the replication step that it came with.
    pub(crate) replication_step: u64,
}

/// Role of this instance for a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Role {
    #[default]
    None,
    Home,
    Backup,
}

/// A replication step that the backup has not acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) item: peer::ReplicationItem,
    /// When the step was last sent; `None` while it waits for room in the send window.
    pub(crate) sent: Option<Instant>,
    /// The request that waits for the acknowledgement.
    pub(crate) waiter: Option<Key>,
}

/// Replication state of a backup, kept by the home.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) holder: id::Holder,
    /// Whether the slice table names this backup.
    pub(crate) is_in_table: bool,
    /// Whether the control task was notified that the backup has all records.
    pub(crate) complete: bool,
    pub(crate) pending: BTreeMap<u64, Pending>,
    /// Number of the last step of the initial full copy.
    pub(crate) initial_copy_end: u64,
}

/// The server that holds the blocks of a larger body.
#[derive(Clone, Debug)]
pub(crate) struct Pin {
    pub(crate) server: id::Server,
    /// The attempt for an earlier block, whose server socket the later blocks also use.
    pub(crate) attempt: id::Attempt,
    /// When a block was last sent.
    pub(crate) last_sent: Instant,
}

/// State of a slice.
#[derive(Debug, Default)]
pub(crate) struct Slice {
    pub(crate) role: Role,
    pub(crate) epoch: id::Epoch,
    /// At the backup: greatest epoch under which a home has replicated to this instance.
    pub(crate) replicated_epoch: id::Epoch,
    /// Since when the slice is known to have lost its records.
    pub(crate) records_lost_since: Option<Instant>,
    pub(crate) replica: Option<Replica>,
    pub(crate) records: HashMap<Key, Record>,
    pub(crate) feeds: BTreeMap<FeedKey, Feed>,
    /// Servers that hold blocks of larger bodies, by flow and body id.
    pub(crate) pins: HashMap<(Flow, u64), Pin>,
    /// Open requests by flow.
    pub(crate) open_requests: HashMap<Flow, u32>,
}

/// The request or feed that an attempt was sent for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Request(Key),
    Feed(FeedKey),
}

/// An attempt whose answer is still expected.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) slice: id::Slice,
    pub(crate) purpose: Purpose,
    pub(crate) server: Arc<Server>,
    pub(crate) sent_at: Instant,
}

/// A request that the home of its slice has not taken yet.
#[derive(Clone, Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) request: Request,
    /// Number of relays so far.
    pub(crate) hops: u32,
    /// When this instance received the request.
    pub(crate) received_at: Instant,
}

/// A timer of the engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Acknowledge receipt if no answer has been received yet.
    Acknowledge(id::Slice, Key),
    /// The attempt has timed out.
    Attempt(id::Slice, Key, id::Attempt),
    /// The request's deadline has passed.
    Deadline(id::Slice, Key),
    /// The separate answer has not been acknowledged.
    Resend(id::Slice, Key),
    /// The record is no longer needed.
    Expire(id::Slice, Key),
    /// Check the feed.
    Feed(id::Slice, FeedKey),
    /// Offer the slice's feeds to its home again.
    OfferFeeds(id::Slice),
}

/// Non-idempotent requests that wait for their slices to get a home.
pub(crate) type ParkedRequests = VecDeque<IncomingRequest>;

/// Separate answers that wait for an acknowledgement, by flow and message number.
pub(crate) type UnacknowledgedAnswers = HashMap<(Flow, u16), Id>;
