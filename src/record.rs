//! What is kept of one request, of one feed and of one slice.

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

/// What a claim leads to once the backup has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimFollowUp {
    Forward,
    Refuse { retry_after: u32, reason: Reason },
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for the backup to acknowledge the claim; not forwarded.
    Claiming(ClaimFollowUp),
    /// At one or more servers.
    Sent,
    /// Has its final outcome, kept for copies.
    Settled(Outcome),
    /// Claimed by an earlier home; it may have run.
    Claimed,
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) phase: Phase,
    /// As backup, and as its successor: whose claim it is.
    pub(crate) claimed_by: Option<id::Holder>,
    /// Whether a copy of what another home claimed came here, whose sender is to be
    /// told when that home has no time left.
    pub(crate) has_waiting_sender: bool,
    pub(crate) kind: Kind,
    pub(crate) token: Token,
    pub(crate) confirmable: bool,
    pub(crate) block: BodyBlock,
    pub(crate) received_at: Instant,
    /// Number of the separate answer, once receipt has been acknowledged.
    pub(crate) separate: Option<u16>,
    /// Separate answers sent so far without a receipt.
    pub(crate) resends: u32,
    pub(crate) sequence: Option<u32>,
    pub(crate) attempts: Vec<id::Attempt>,
    pub(crate) tried_servers: Vec<id::Server>,
    /// The caller's datagram, dropped when no sending can follow.
    pub(crate) datagram: Bytes,
}

impl Record {
    /// What a backup keeps of a claim of a request that came at a time.
    pub(crate) fn claimed(born: Instant, claimer: id::Holder) -> Self {
        Self {
            phase: Phase::Claimed,
            claimed_by: Some(claimer),
            has_waiting_sender: false,
            kind: Kind::NonIdempotent,
            token: Token(0),
            confirmable: true,
            block: BodyBlock::default(),
            received_at: born,
            separate: None,
            resends: 0,
            sequence: None,
            attempts: Vec::new(),
            tried_servers: Vec::new(),
            datagram: Bytes::new(),
        }
    }

    /// Whether its final outcome is known.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Settled(_))
    }

    /// Whether it is kept after its outcome, to answer copies with the same. A
    /// server forgets a body once it is whole: a copy of the last part, although
    /// idempotent by its method, would be refused as incomplete.
    pub(crate) fn is_kept(&self) -> bool {
        self.kind.is_non_idempotent() || self.block.is_upload
    }

    /// Whether this instance works on it.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Claiming(_) | Phase::Sent)
    }
}

/// Name of a feed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct FeedKey {
    pub(crate) flow: Flow,
    pub(crate) token: Token,
}

/// A registration under way beside the one in use.
#[derive(Clone, Debug)]
pub(crate) struct Renewal {
    pub(crate) attempt: id::Attempt,
    pub(crate) server: id::Server,
    pub(crate) since: Instant,
}

/// One feed.
#[derive(Clone, Debug)]
pub(crate) struct Feed {
    /// The caller's registration, on its own: a share of the received buffer would
    /// keep more than its bytes for as long as the feed lives.
    pub(crate) datagram: Box<[u8]>,
    pub(crate) server: id::Server,
    /// The registration in use; none while this instance only keeps a copy.
    pub(crate) attempt: Option<id::Attempt>,
    pub(crate) renewal: Option<Box<Renewal>>,
    /// Servers that failed to take the feed since it was last heard.
    pub(crate) failed: Vec<id::Server>,
    pub(crate) sequence: u32,
    pub(crate) last_notification: Instant,
    /// When the caller last showed that it is there.
    pub(crate) confirmed: Instant,
    /// Confirmable notifications without a receipt.
    pub(crate) unconfirmed: u32,
    /// When it is looked after next; a timer for another time is outdated.
    pub(crate) next_check: Instant,
    /// As a copy: number of the replication step that brought it.
    pub(crate) replication_step: u64,
}

/// What this instance is for a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Role {
    #[default]
    None,
    Home,
    Backup,
}

/// A replication step that is not acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) item: peer::ReplicationItem,
    /// When it was last sent; none while it waits for room.
    pub(crate) sent: Option<Instant>,
    /// The request that waits for it.
    pub(crate) waiter: Option<Key>,
}

/// A backup as its home sees it.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) holder: id::Holder,
    /// Whether the table names it.
    pub(crate) is_in_table: bool,
    /// Whether the control task was told that it has everything.
    pub(crate) complete: bool,
    pub(crate) pending: BTreeMap<u64, Pending>,
    /// Number of the last step of the first copy.
    pub(crate) initial_copy_end: u64,
}

/// The server that holds the parts of a larger body.
#[derive(Clone, Debug)]
pub(crate) struct Pin {
    pub(crate) server: id::Server,
    /// The sending of an earlier part, whose path the later ones share.
    pub(crate) attempt: id::Attempt,
    /// When a part was last sent.
    pub(crate) used: Instant,
}

/// Everything kept for one slice.
#[derive(Debug, Default)]
pub(crate) struct Slice {
    pub(crate) role: Role,
    pub(crate) epoch: id::Epoch,
    /// As backup: the greatest epoch under which a home has replicated to us.
    pub(crate) replicated_epoch: id::Epoch,
    /// Since when the slice is known to have lost its records.
    pub(crate) records_lost_since: Option<Instant>,
    pub(crate) replica: Option<Replica>,
    pub(crate) records: HashMap<Key, Record>,
    pub(crate) feeds: BTreeMap<FeedKey, Feed>,
    /// Servers that hold parts of larger bodies, by the bodies' names.
    pub(crate) pins: HashMap<(Flow, u64), Pin>,
    /// Open requests by flow.
    pub(crate) open_requests: HashMap<Flow, u32>,
}

/// What a sending was for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Request(Key),
    Feed(FeedKey),
}

/// A sending whose answer is still of use.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) slice: id::Slice,
    pub(crate) purpose: Purpose,
    pub(crate) server: Arc<Server>,
    pub(crate) since: Instant,
}

/// A request on its way to whoever decides for it.
#[derive(Clone, Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) request: Request,
    /// Relays so far.
    pub(crate) hops: u32,
    /// When this instance first had it.
    pub(crate) since: Instant,
}

/// What waits for a point in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Acknowledge receipt if no answer came yet.
    Acknowledge(id::Slice, Key),
    /// The attempt took too long.
    Attempt(id::Slice, Key, id::Attempt),
    /// The request's time is over.
    Deadline(id::Slice, Key),
    /// The separate answer has no receipt.
    Resend(id::Slice, Key),
    /// The record is not needed any more.
    Expire(id::Slice, Key),
    /// Look after the feed.
    Feed(id::Slice, FeedKey),
    /// Offer the slice's feeds to its home once more.
    OfferFeeds(id::Slice),
}

/// Non-idempotent requests that wait for their slices to get a home.
pub(crate) type ParkedRequests = VecDeque<IncomingRequest>;

/// A separate answer that waits for its receipt, by message number.
pub(crate) type UnacknowledgedAnswers = HashMap<(Flow, u16), Id>;
