//! The decision core of one worker.
//!
//! An [`Engine`] takes an event and the time and returns the actions to carry out.
//! It has no sockets, tasks, logs or hidden randomness, so that every order of
//! late, lost and duplicated events can be written as a short test. It owns the
//! slices whose number modulo the number of workers equals its own number; workers
//! share nothing of a slice except the request and feed counts of the servers.

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

/// Bits of an attempt number that form its counter; the worker's number is stored
/// in the bits above.
pub const ATTEMPT_BITS: u32 = 56;

/// Number of sockets used toward the backend servers; an attempt's number selects
/// one of them. A device on the network may lose its connection state for one of
/// them; a feed without notifications is registered again from another.
pub const SERVER_SOCKETS: u64 = 4;

/// Fixed settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance and its incarnation.
    pub me: id::Holder,
    /// This instance's availability zone.
    pub zone: id::Zone,
    /// Number of this worker.
    pub worker: u8,
    /// Number of workers.
    pub workers: u8,
    /// The fleet's key of the slice hash.
    pub hash_key: u64,
    /// Limit of the requests that wait for a home.
    pub max_parked: usize,
    /// Limit of the records, and of the feeds, that are kept.
    pub max_flows: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Resources that one service uses at this worker.
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
    membership: Arc<MembershipView>,
    slices: HashMap<id::Slice, Slice>,
    sent_attempts: HashMap<id::Attempt, SentAttempt>,
    usage: HashMap<id::Service, Usage>,
    unacknowledged_answers: UnacknowledgedAnswers,
    parked_requests: ParkedRequests,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    /// Slices with replication steps that are not acknowledged yet.
    slices_with_pending_steps: BTreeSet<id::Slice>,
    /// Feeds that wait to be registered again, in order.
    queued_renewals: VecDeque<(id::Slice, FeedKey)>,
    /// Slices whose feed registrations are dropped at a given time, after another
    /// instance took them over.
    scheduled_releases: VecDeque<(Instant, id::Slice)>,
    /// Leaving servers whose feeds were already queued for a move.
    leaving_servers: HashSet<id::Server>,
    last_sweep: Option<Instant>,
    last_tick: Option<Instant>,
    /// End of the period after a long pause in which datagrams that waited in
    /// socket buffers may still arrive.
    catching_up_until: Option<Instant>,
    last_rebalance: Option<Instant>,
    records: usize,
    feeds: usize,
    next_attempt: u64,
    next_message: u16,
    next_step_number: u64,
    /// Whether new requests are refused because this instance stops soon.
    is_stopping: bool,
    rng: SmallRng,
    actions: Vec<Action>,
}

impl Engine {
    /// Creates an engine without any configuration.
    pub fn new(settings: Settings) -> Self {
        let mask = (1 << ATTEMPT_BITS) - 1;
        // Answers to an earlier incarnation of this instance must not match
        // attempts of this one, so the numbers start at the time of this
        // incarnation's start.
        let start = settings.me.incarnation.0 << 8;
        Self {
            snapshot: Arc::default(),
            table: Arc::default(),
            membership: Arc::default(),
            slices: HashMap::new(),
            sent_attempts: HashMap::new(),
            usage: HashMap::new(),
            unacknowledged_answers: UnacknowledgedAnswers::new(),
            parked_requests: ParkedRequests::new(),
            timers: BinaryHeap::new(),
            slices_with_pending_steps: BTreeSet::new(),
            queued_renewals: VecDeque::new(),
            scheduled_releases: VecDeque::new(),
            leaving_servers: HashSet::new(),
            last_sweep: None,
            last_tick: None,
            catching_up_until: None,
            last_rebalance: None,
            records: 0,
            feeds: 0,
            next_attempt: start & mask,
            next_message: settings.seed as u16,
            next_step_number: start,
            rng: SmallRng::seed_from_u64(settings.seed),
            actions: Vec::new(),
            is_stopping: false,
            settings,
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        match event {
            Event::Request { request, hops } => self.handle_request(now, request, hops),
            Event::ReleasedRequest {
                from,
                request,
                hops,
            } => self.handle_released_request(now, &from, request, hops),
            Event::Receipt {
                flow,
                message,
                receipt,
                hops,
                datagram,
            } => self.handle_receipt(now, flow, message, receipt, hops, datagram),
            Event::Answer {
                from,
                attempt,
                answer,
            } => self.handle_answer(now, from, attempt, answer),
            Event::Peer { from, body } => self.handle_peer_message(now, from, body),
            Event::Snapshot(snapshot) => self.snapshot = snapshot,
            Event::Table(table) => self.update_table(now, table),
            Event::Membership(members) => self.update_membership(now, members),
            Event::AddBackup { slices, backup } => self.start_backup_copies(now, &slices, &backup),
            Event::CancelBackup(slices) => self.cancel_backup_copies(now, &slices),
            Event::Stopping => self.is_stopping = true,
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Number of requests that this worker is working on.
    pub fn in_progress(&self) -> usize {
        self.usage
            .values()
            .map(|usage| usage.in_progress as usize)
            .sum()
    }

    /// Number of feeds that this worker holds, including copies kept for other
    /// homes.
    pub fn feeds(&self) -> usize {
        self.feeds
    }

    /// Number of records that this worker holds, including copies kept for other
    /// homes.
    pub fn records(&self) -> usize {
        self.records
    }

    /// Number of timers that have not fired.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// Number of requests that wait for a home.
    pub fn parked(&self) -> usize {
        self.parked_requests.len()
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

    fn emit(&mut self, reason: Reason) {
        self.actions
            .push(Action::TraceEvent(TraceEvent::new(reason)));
    }

    fn emit_flow(&mut self, reason: Reason, slice: id::Slice, flow: &Flow) {
        let event = self.flow_event(reason, slice, flow);
        self.actions.push(Action::TraceEvent(event));
    }

    fn emit_request(&mut self, reason: Reason, slice: id::Slice, key: &Key) {
        let event = TraceEvent {
            request: Some(key.id),
            ..self.flow_event(reason, slice, &key.flow)
        };
        self.actions.push(Action::TraceEvent(event));
    }

    fn flow_event(&self, reason: Reason, slice: id::Slice, flow: &Flow) -> TraceEvent {
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
