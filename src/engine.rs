//! The decision core of one worker.
//!
//! An [`Engine`] takes an event and the time and returns what to do. It has no
//! socket, task, log or hidden randomness, so that every order of late, lost and
//! doubled events can be written as a short test. It owns the slices whose number
//! leaves its own number when divided by the count of workers; nothing of a slice
//! is shared between workers but the servers' counts.

mod clock;
mod feed;
mod handover;
mod inbound;
mod outbound;
mod ownership;
mod rebalance;
mod replica;
mod settlement;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::action::Action;
use crate::action::TraceEvent;
use crate::budget::RetryBudget;
use crate::event::Event;
use crate::id;
use crate::peer::member::MembershipView;
use crate::reason::Reason;
use crate::record::FeedKey;
use crate::record::ParkedRequests;
use crate::record::SentAttempt;
use crate::record::Slice;
use crate::record::Timer;
use crate::record::UnacknowledgedAnswers;
use crate::request::Flow;
use crate::request::Key;
use crate::snapshot::Snapshot;
use crate::table::Table;

/// Bits of an attempt's number that count; the worker's number stands above them.
pub const ATTEMPT_BITS: u32 = 56;

/// Sockets toward the backend servers; an attempt's number picks one of them.
/// Something between the two ends may lose track of one of them; a feed that fell
/// silent is registered again from another.
pub const SERVER_SOCKETS: u64 = 4;

/// What an engine is told once.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's life.
    pub me: id::Holder,
    /// This instance's availability zone.
    pub zone: id::Zone,
    /// Number of this worker.
    pub worker: u8,
    /// Count of workers.
    pub workers: u8,
    /// The fleet's key for the slice hash.
    pub hash_key: u64,
    /// Requests that may wait for a home.
    pub max_parked: usize,
    /// Records and feeds that may be kept.
    pub max_flows: usize,
    /// Seed of every random choice.
    pub seed: u64,
}

/// One service's use of this worker.
#[derive(Debug, Default)]
struct Usage {
    in_progress: u32,
    feeds: u32,
    budget: RetryBudget,
}

/// The decision core of one worker.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    snapshot: Arc<Snapshot>,
    table: Arc<Table>,
    members: Arc<MembershipView>,
    slices: HashMap<id::Slice, Slice>,
    sendings: HashMap<id::Attempt, SentAttempt>,
    usage: HashMap<id::Service, Usage>,
    receipts: UnacknowledgedAnswers,
    park: ParkedRequests,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    /// Slices with replication steps that are not acknowledged.
    unacknowledged: BTreeSet<id::Slice>,
    /// Feeds to register anew, in order.
    moves: VecDeque<(id::Slice, FeedKey)>,
    /// Slices whose registrations are dropped at a time, after another took over.
    releases: VecDeque<(Instant, id::Slice)>,
    /// Leaving servers whose feeds are being moved.
    vacated: HashSet<id::Server>,
    swept: Option<Instant>,
    ticked: Option<Instant>,
    /// After a long pause: until when waiting datagrams are being read.
    catching_up_until: Option<Instant>,
    rebalanced: Option<Instant>,
    records: usize,
    feeds: usize,
    next_attempt: u64,
    next_message: u16,
    next_number: u64,
    /// Whether new work is refused, since this instance ends soon.
    closing: bool,
    rng: SmallRng,
    out: Vec<Action>,
}

impl Engine {
    /// An engine that knows no configuration yet.
    pub fn new(settings: Settings) -> Self {
        let mask = (1 << ATTEMPT_BITS) - 1;
        // Answers to an earlier life of this instance must not match attempts of
        // this one, so numbers start where the clock stood when it began.
        let start = settings.me.incarnation.0 << 8;
        Self {
            snapshot: Arc::default(),
            table: Arc::default(),
            members: Arc::default(),
            slices: HashMap::new(),
            sendings: HashMap::new(),
            usage: HashMap::new(),
            receipts: UnacknowledgedAnswers::new(),
            park: ParkedRequests::new(),
            timers: BinaryHeap::new(),
            unacknowledged: BTreeSet::new(),
            moves: VecDeque::new(),
            releases: VecDeque::new(),
            vacated: HashSet::new(),
            swept: None,
            ticked: None,
            catching_up_until: None,
            rebalanced: None,
            records: 0,
            feeds: 0,
            next_attempt: start & mask,
            next_message: settings.seed as u16,
            next_number: start,
            rng: SmallRng::seed_from_u64(settings.seed),
            out: Vec::new(),
            closing: false,
            settings,
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.watch_pause(now);
        match event {
            Event::Request { request, hops } => self.request(now, request, hops),
            Event::ReleasedRequest {
                from,
                request,
                hops,
            } => self.released(now, &from, request, hops),
            Event::Receipt {
                flow,
                message,
                receipt,
                hops,
                datagram,
            } => self.receipt(now, flow, message, receipt, hops, datagram),
            Event::Answer {
                from,
                attempt,
                answer,
            } => self.answer(now, from, attempt, answer),
            Event::Peer { from, body } => self.peer(now, from, body),
            Event::Snapshot(snapshot) => self.snapshot = snapshot,
            Event::Table(table) => self.take_table(now, table),
            Event::Membership(members) => self.take_members(now, members),
            Event::AddBackup { slices, backup } => self.join(now, &slices, &backup),
            Event::CancelBackup(slices) => self.abandon(now, &slices),
            Event::Stopping => self.closing = true,
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    /// Requests that this worker still works on.
    pub fn in_progress(&self) -> usize {
        self.usage
            .values()
            .map(|usage| usage.in_progress as usize)
            .sum()
    }

    /// Feeds that this worker keeps, copies for other homes included.
    pub fn feeds(&self) -> usize {
        self.feeds
    }

    /// Records that this worker keeps, copies for other homes included.
    pub fn records(&self) -> usize {
        self.records
    }

    /// Timers that have not fired.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// Requests that wait for a home.
    pub fn parked(&self) -> usize {
        self.park.len()
    }

    /// Whether a slice belongs to this worker.
    fn owns(&self, slice: id::Slice) -> bool {
        slice.0 % u32::from(self.settings.workers) == u32::from(self.settings.worker)
    }

    fn slice_of(&self, flow: &Flow) -> id::Slice {
        self.table.slice(self.settings.hash_key, flow)
    }

    fn usage(&mut self, service: &id::Service) -> &mut Usage {
        self.usage.entry(service.clone()).or_default()
    }

    fn schedule(&mut self, at: Instant, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    fn note(&mut self, reason: Reason) {
        self.out.push(Action::TraceEvent(TraceEvent::new(reason)));
    }

    fn note_flow(&mut self, reason: Reason, slice: id::Slice, flow: &Flow) {
        let note = self.flow_note(reason, slice, flow);
        self.out.push(Action::TraceEvent(note));
    }

    fn note_request(&mut self, reason: Reason, slice: id::Slice, key: &Key) {
        let note = TraceEvent {
            request: Some(key.id),
            ..self.flow_note(reason, slice, &key.flow)
        };
        self.out.push(Action::TraceEvent(note));
    }

    fn flow_note(&self, reason: Reason, slice: id::Slice, flow: &Flow) -> TraceEvent {
        let service = self.snapshot.services.get(&flow.service);
        TraceEvent {
            flow: Some(flow.clone()),
            slice: Some(slice),
            epoch: Some(self.table.row(slice).epoch),
            revision: service.map(|service| service.revision),
            ..TraceEvent::new(reason)
        }
    }
}
