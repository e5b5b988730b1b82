//! Simulates a small fleet in one thread: engines and slice planners exchange messages
//! through a queue, where a seeded generator drops, delays, duplicates and reorders
//! them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::action::Action;
use godwitreel::action::Delivery;
use godwitreel::control;
use godwitreel::control::Command;
use godwitreel::control::INSTANCES;
use godwitreel::control::SLICES_PREFIX;
use godwitreel::control::SlicePlanner;
use godwitreel::control::WriteResult;
use godwitreel::document::Profile;
use godwitreel::engine::ATTEMPT_BITS;
use godwitreel::engine::Engine;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::peer;
use godwitreel::platform::Entry;
use godwitreel::reason::Reason;
use godwitreel::request::Answer;
use godwitreel::request::Flow;
use godwitreel::request::Outcome;
use godwitreel::request::Receipt;
use godwitreel::request::Request;
use godwitreel::server::Server;
use godwitreel::snapshot::Snapshot;
use godwitreel::table;
use godwitreel::table::Document;
use godwitreel::table::Row;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::backend::Backend;
use crate::backend::ServerBehavior;
use crate::caller::Subscription;
use crate::caller::TrackedRequest;
use crate::lab;
use crate::lab::ms;
use crate::lab::secs;
use crate::platform::Platform;

pub(crate) const SLICE_COUNT: u32 = 32;
pub(crate) const SERVICES: [&str; 2] = ["dispatch", "ledger"];
pub(crate) const PARK_TIME: Duration = Duration::from_secs(5);
const ZONES: [&str; 3] = ["bole", "kality", "merkato"];
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
pub(crate) const POLL_INTERVAL: Duration = Duration::from_secs(2);
const LEAVE_TIMEOUT: Duration = Duration::from_secs(30);

/// First byte of datagrams that represent acknowledgements of callers.
const RECEIPT: u8 = 1;

/// Input of a node.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Request(u64, u32),
    Receipt(Flow, u16, u32),
    Answer(id::Endpoint, id::Attempt, Answer),
    Peer(id::Holder, peer::PeerMessage),
    Listing(Vec<Entry>, Duration),
    StoreUnreachable,
    EntryChanged(Entry),
    EntryRemoved(String),
    WriteFinished(u32, WriteResult),
}

/// A write of the slice table that has not reached the platform yet.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) node: usize,
    pub(crate) incarnation: u64,
    pub(crate) document: u32,
    pub(crate) expected: Option<u64>,
    pub(crate) value: Bytes,
    /// Whether the writer still waits for the result.
    pub(crate) expects_result: bool,
}

/// A request that was forwarded to a server.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedRequest {
    pub(crate) node: usize,
    pub(crate) incarnation: u64,
    pub(crate) server: usize,
    pub(crate) service: id::Service,
    pub(crate) attempt: id::Attempt,
    pub(crate) number: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum CallerMessage {
    Outcome {
        number: u64,
        outcome: Outcome,
        sequence: Option<u32>,
        separate: Option<u16>,
    },
    Acknowledge(u64),
    Notify {
        flow: Flow,
        token: u64,
        message: u16,
        sequence: u32,
        confirmable: bool,
        datagram: Option<Bytes>,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum Scheduled {
    Node(usize, u64, Input),
    Server(ForwardedRequest),
    Finish(ForwardedRequest),
    Reject(usize, usize, id::Attempt),
    Caller(CallerMessage),
    Retransmit(u64),
    Write(Write),
}

/// A simulated entry instance.
pub(crate) struct Node {
    pub(crate) holder: id::Holder,
    pub(crate) zone: id::Zone,
    pub(crate) engines: Vec<Engine>,
    pub(crate) control: SlicePlanner,
    pub(crate) servers: Vec<Arc<Server>>,
    pub(crate) is_up: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) is_platform_reachable: bool,
    pub(crate) restart_at: Option<Duration>,
    pub(crate) inbox: VecDeque<Input>,
    pub(crate) known_entries: BTreeMap<String, Entry>,
    pub(crate) epochs: HashMap<id::Slice, id::Epoch>,
    pub(crate) table: Arc<table::Table>,
    pub(crate) next_heartbeat: Duration,
    pub(crate) next_poll: Duration,
    pub(crate) next_renewal: Duration,
    pub(crate) is_withdrawn: bool,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) requests: u64,
    pub(crate) non_idempotent: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) without_outcome: u64,
    pub(crate) notifications: u64,
    pub(crate) feeds: u64,
    pub(crate) reopened: u64,
    pub(crate) kills: u64,
    pub(crate) freezes: u64,
    pub(crate) reasons: BTreeMap<Reason, u64>,
}

/// The simulated fleet with its callers, servers and platform.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) start: Instant,
    pub(crate) rng: SmallRng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: Platform,
    pub(crate) backends: Vec<Backend>,
    pub(crate) tracked_requests: Vec<TrackedRequest>,
    pub(crate) subscriptions: Vec<Subscription>,
    /// Sender and receiver of each direction in which peer messages are dropped.
    pub(crate) blocked_links: HashSet<(usize, usize)>,
    pub(crate) loss_rate: f64,
    pub(crate) max_delay_ms: u64,
    pub(crate) profile: Profile,
    pub(crate) violations: Vec<String>,
    pub(crate) counts: Counts,
    pub(crate) workers: u8,
    pub(crate) started_nodes: u64,
    /// Times and ids of the scheduled events.
    pub(crate) queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub(crate) scheduled: HashMap<u64, Scheduled>,
    pub(crate) next_id: u64,
    pub(crate) next_tick: Duration,
    pub(crate) next_notification: Duration,
    /// The first row seen for each epoch of a slice.
    pub(crate) first_rows: HashMap<(id::Slice, id::Epoch), Row>,
}

/// Returns a profile whose times are short enough for a run of two minutes; by length
/// they have the same order as in production.
pub(crate) fn profile() -> Profile {
    Profile {
        deadline_ms: 6_000,
        copy_lifetime_s: 20,
        feed_silence_s: 4,
        slow_start_s: 1,
        eject_rest_s: 3,
        ..Profile::default()
    }
}

impl Fleet {
    pub(crate) fn new(seed: u64, count: usize, workers: u8) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            start: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            platform: Platform::default(),
            backends: Vec::new(),
            tracked_requests: Vec::new(),
            subscriptions: Vec::new(),
            blocked_links: HashSet::new(),
            loss_rate: 0.005,
            max_delay_ms: 20,
            profile: profile(),
            violations: Vec::new(),
            counts: Counts::default(),
            workers,
            started_nodes: 0,
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            next_id: 0,
            next_tick: Duration::ZERO,
            next_notification: Duration::ZERO,
            first_rows: HashMap::new(),
        };
        fleet.add_backends();
        for index in 0..count {
            let node = fleet.node(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    pub(crate) fn add_backends(&mut self) {
        for (service, count) in [(SERVICES[0], 6), (SERVICES[1], 4)] {
            for number in 0..count {
                let port = 1_000 + self.backends.len() as u16;
                self.backends.push(Backend {
                    id: format!("{service}-{number}").parse().expect("a legal name"),
                    service,
                    address: lab::endpoint(2, port),
                    behavior: ServerBehavior::Normal,
                    running_requests: 0,
                    feeds: BTreeMap::new(),
                });
            }
        }
    }

    pub(crate) fn at(&self, offset: Duration) -> Instant {
        self.start + offset
    }

    pub(crate) fn node(&mut self, index: usize) -> Node {
        self.started_nodes += 1;
        // As in the daemon, the incarnation is the start time in microseconds.
        let incarnation = self.now.as_micros() as u64 + 1_000 + self.started_nodes;
        let holder = lab::holder(&format!("e{index}"), incarnation);
        let zone: id::Zone = ZONES[index % ZONES.len()].parse().expect("a legal name");
        let now = self.at(self.now);
        let servers: Vec<Arc<Server>> = self
            .backends
            .iter()
            .enumerate()
            .map(|(n, b)| lab::server(now, b.id.as_str(), b.service, 1_000 + n as u16))
            .collect();
        for (server, backend) in servers.iter().zip(&self.backends) {
            server.state().draining = backend.behavior == ServerBehavior::Draining;
        }
        let snapshot = self.snapshot(&servers);
        let workers = self.workers;
        let engines = (0..workers)
            .map(|worker| {
                let mut engine = Engine::new(lab::settings(&holder, worker, workers));
                engine.handle(now, Event::Snapshot(Arc::clone(&snapshot)));
                let empty = Arc::new(table::Table::new(SLICE_COUNT));
                engine.handle(now, Event::Table(empty));
                engine
            })
            .collect();
        let settings = control::Settings {
            me: holder.clone(),
            zone: zone.clone(),
            address: lab::endpoint(4, index as u16),
            slices: SLICE_COUNT,
            suspect_after: secs(3),
            isolation_limit: secs(15),
            recordless_takeover_wait: secs(18),
        };
        Node {
            control: SlicePlanner::new(settings, now),
            holder,
            zone,
            engines,
            servers,
            is_up: true,
            frozen_until: Duration::ZERO,
            leaving_since: None,
            is_platform_reachable: true,
            restart_at: None,
            inbox: VecDeque::new(),
            known_entries: BTreeMap::new(),
            epochs: HashMap::new(),
            table: Arc::new(table::Table::new(SLICE_COUNT)),
            next_heartbeat: self.now,
            next_poll: self.now,
            next_renewal: self.now,
            is_withdrawn: false,
        }
    }

    pub(crate) fn snapshot(&self, servers: &[Arc<Server>]) -> Arc<Snapshot> {
        let services = SERVICES.iter().map(|name| {
            let mut own: Vec<Arc<Server>> = servers
                .iter()
                .filter(|server| server.service.as_str() == *name)
                .map(Arc::clone)
                .collect();
            own.sort_by(|a, b| a.id.cmp(&b.id));
            lab::service(name, &self.profile, own)
        });
        lab::snapshot(services.collect())
    }

    pub(crate) fn schedule(&mut self, at: Duration, item: Scheduled) {
        self.next_id += 1;
        self.queue.push(Reverse((at, self.next_id)));
        self.scheduled.insert(self.next_id, item);
    }

    pub(crate) fn delay(&mut self) -> Duration {
        // A few messages are delayed so long that a takeover happens before they arrive.
        let most = if self.rng.random_bool(0.02) {
            self.max_delay_ms * 20
        } else {
            self.max_delay_ms
        };
        ms(1 + self.rng.random_range(0..most))
    }

    pub(crate) fn is_lost(&mut self) -> bool {
        let loss = self.loss_rate;
        self.rng.random_bool(loss)
    }

    /// Runs the simulation until the given time.
    pub(crate) fn run_until(&mut self, until: Duration) {
        while self.now < until {
            let due = self.queue.peek().map(|Reverse((at, _))| *at);
            let next = due.unwrap_or(until).min(self.next_tick);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if due.is_some_and(|due| due <= self.next_tick) {
                let Some(Reverse((_, number))) = self.queue.pop() else {
                    continue;
                };
                let item = self.scheduled.remove(&number).expect("scheduled event");
                self.run_scheduled(item);
            } else {
                self.next_tick += TICK_INTERVAL;
                self.tick();
            }
        }
    }

    pub(crate) fn run_scheduled(&mut self, item: Scheduled) {
        match item {
            Scheduled::Node(index, incarnation, input) => {
                self.deliver_input(index, incarnation, input)
            }
            Scheduled::Server(forwarded) => self.serve(forwarded),
            Scheduled::Finish(forwarded) => self.finish(&forwarded),
            Scheduled::Reject(server, node, attempt) => {
                self.backends[server].feeds.remove(&(node, attempt));
            }
            Scheduled::Caller(message) => self.receive_at_caller(message),
            Scheduled::Retransmit(number) => self.transmit(number),
            Scheduled::Write(write) => self.process_write(write),
        }
    }

    pub(crate) fn deliver_input(&mut self, index: usize, incarnation: u64, input: Input) {
        let node = &self.nodes[index];
        let is_current = incarnation == 0 || node.holder.incarnation.0 == incarnation;
        if !node.is_up || !is_current {
            self.record_dropped_input(&input);
            return;
        }
        if self.now < node.frozen_until || !node.inbox.is_empty() {
            self.record_dropped_input(&input);
            self.nodes[index].inbox.push_back(input);
            return;
        }
        self.handle(index, input);
    }

    pub(crate) fn record_dropped_input(&mut self, input: &Input) {
        match input {
            Input::Request(number, _) => self.mark_as_affected(*number),
            Input::Peer(_, peer::PeerMessage::Relay(relay)) => self.record_dropped_relay(relay),
            _ => {}
        }
    }

    pub(crate) fn record_dropped_relay(&mut self, relay: &peer::Relay) {
        if relay.datagram.len() == 8 {
            self.mark_as_affected(number_of(&relay.datagram));
        }
    }

    /// Notes that a fault may keep this request from getting an outcome.
    pub(crate) fn mark_as_affected(&mut self, number: u64) {
        self.tracked_requests[number as usize].is_fault_affected = true;
    }

    /// Handles an input at a node that is up and not frozen.
    pub(crate) fn handle(&mut self, index: usize, input: Input) {
        let now = self.at(self.now);
        match input {
            Input::Request(number, hops) => self.handle_request(index, number, hops, None),
            Input::Receipt(flow, message, hops) => {
                let datagram = receipt_datagram(message);
                let slice = table::slice(SLICE_COUNT, lab::HASH_KEY, &flow);
                let event = Event::Receipt {
                    flow,
                    message,
                    receipt: Receipt::Acknowledged,
                    hops,
                    datagram,
                };
                self.handle_at_engine(index, slice, event);
            }
            Input::Answer(from, attempt, answer) => {
                let worker = (attempt.0 >> ATTEMPT_BITS) as usize;
                let event = Event::Answer {
                    from,
                    attempt,
                    answer,
                };
                let actions = self.nodes[index].engines[worker].handle(now, event);
                self.carry_out_actions(index, actions);
            }
            Input::Peer(from, body) => self.handle_peer(index, from, body),
            Input::Listing(entries, at) => self.handle_listing(index, entries, at),
            Input::StoreUnreachable => self.nodes[index].control.lose_contact(),
            Input::EntryChanged(entry) => self.apply_entry(index, entry),
            Input::EntryRemoved(key) => {
                let node = &mut self.nodes[index];
                node.known_entries.remove(&key);
                node.control.remove(&key);
            }
            Input::WriteFinished(document, written) => {
                self.nodes[index]
                    .control
                    .write_finished(now, document, written);
                self.run_planner(index);
            }
        }
    }

    pub(crate) fn handle_request(
        &mut self,
        index: usize,
        number: u64,
        hops: u32,
        released: Option<id::Holder>,
    ) {
        let now = self.now;
        let incarnation = self.nodes[index].holder.incarnation.0;
        let tracked = &mut self.tracked_requests[number as usize];
        tracked.first_handled.get_or_insert(now);
        if !tracked.handled_by.contains(&(index, incarnation)) {
            tracked.handled_by.push((index, incarnation));
        }
        let request = self.request(number);
        let slice = table::slice(SLICE_COUNT, lab::HASH_KEY, &request.flow);
        let event = match released {
            Some(from) => Event::ReleasedRequest {
                from,
                request,
                hops,
            },
            None => Event::Request { request, hops },
        };
        self.handle_at_engine(index, slice, event);
    }

    pub(crate) fn request(&self, number: u64) -> Request {
        let tracked = &self.tracked_requests[number as usize];
        lab::request(&tracked.flow, number, tracked.kind)
    }

    /// Lets the engine that owns the slice handle an event.
    pub(crate) fn handle_at_engine(&mut self, index: usize, slice: id::Slice, event: Event) {
        let now = self.at(self.now);
        let worker = (slice.0 % u32::from(self.workers)) as usize;
        let request_number = match &event {
            Event::Request { request, .. } => Some(request.id.0 as u64),
            _ => None,
        };
        let actions = self.nodes[index].engines[worker].handle(now, event);
        let dropped = lab::has_reason(&actions, Reason::TooManyHops)
            || lab::has_reason(&actions, Reason::ParkFull);
        if let Some(number) = request_number.filter(|_| dropped) {
            self.mark_as_affected(number);
        }
        self.carry_out_actions(index, actions);
    }

    pub(crate) fn handle_peer(&mut self, index: usize, from: id::Holder, body: peer::PeerMessage) {
        let now = self.at(self.now);
        match body {
            peer::PeerMessage::Relay(relay) => {
                let flow = peer::unpack_flow(relay.flow.as_ref()).expect("packed by an engine");
                if relay.datagram.len() == 8 {
                    let released = relay.released.then_some(from);
                    self.handle_request(index, number_of(&relay.datagram), relay.hops, released);
                } else {
                    let message = u16::from_be_bytes([relay.datagram[1], relay.datagram[2]]);
                    self.handle(index, Input::Receipt(flow, message, relay.hops));
                }
            }
            peer::PeerMessage::Heartbeat(message) => {
                self.nodes[index].control.heartbeat(now, &from, &message);
                self.copy_table_documents(index, &from);
            }
            peer::PeerMessage::TakeoverRequest(message) => {
                self.nodes[index]
                    .control
                    .takeover_requested(now, &from, &message.slices);
            }
            body => {
                if let Some(slice) = slice_of_message(&body) {
                    self.handle_at_engine(index, slice, Event::Peer { from, body });
                }
            }
        }
    }

    /// Copies the newer table documents of a peer, as instances do with the values of the
    /// platform.
    pub(crate) fn copy_table_documents(&mut self, index: usize, from: &id::Holder) {
        let sender = self.nodes.iter().find(|node| node.holder == *from);
        let Some(sender) = sender else {
            return;
        };
        let newer = |entry: &&Entry| {
            let known = self.nodes[index].known_entries.get(&entry.key);
            entry.key.starts_with(SLICES_PREFIX)
                && known.is_none_or(|known| known.mod_revision < entry.mod_revision)
        };
        let entries: Vec<Entry> = sender
            .known_entries
            .values()
            .filter(newer)
            .cloned()
            .collect();
        let incarnation = self.nodes[index].holder.incarnation.0;
        for entry in entries {
            let at = self.now + secs(2);
            self.schedule(
                at,
                Scheduled::Node(index, incarnation, Input::EntryChanged(entry)),
            );
        }
    }

    pub(crate) fn apply_entry(&mut self, index: usize, entry: Entry) {
        let now = self.at(self.now);
        let node = &mut self.nodes[index];
        let known = node.known_entries.get(&entry.key);
        if known.is_some_and(|known| known.mod_revision >= entry.mod_revision) {
            return;
        }
        node.control.apply_entry(now, &entry);
        node.known_entries.insert(entry.key.clone(), entry);
    }

    pub(crate) fn handle_listing(&mut self, index: usize, entries: Vec<Entry>, at: Duration) {
        let at = self.at(at);
        let keep: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let node = &mut self.nodes[index];
        node.known_entries
            .retain(|key, _| keep.contains(key.as_str()));
        node.control.retain(&keep);
        node.control.contact(at);
        for entry in entries {
            self.apply_entry(index, entry);
        }
    }

    pub(crate) fn run_planner(&mut self, index: usize) {
        let now = self.at(self.now);
        let node = &mut self.nodes[index];
        node.control.set_leaving(node.leaving_since.is_some());
        let commands = node.control.tick(now);
        for command in commands {
            self.carry_out_command(index, command);
        }
    }

    pub(crate) fn carry_out_command(&mut self, index: usize, command: Command) {
        match command {
            Command::Write {
                document,
                expected,
                rows,
            } => self.write(index, document, expected, rows),
            Command::AddBackup { slices, backup } => {
                for slice in slices {
                    let event = Event::AddBackup {
                        slices: vec![slice],
                        backup: backup.clone(),
                    };
                    self.handle_at_engine(index, slice, event);
                }
            }
            Command::CancelBackup(slices) => {
                for slice in slices {
                    self.handle_at_engine(index, slice, Event::CancelBackup(vec![slice]));
                }
            }
            Command::RequestTakeover { to, slices } => {
                let slices = slices.into_iter().map(|slice| slice.0).collect();
                self.send(
                    index,
                    &to,
                    peer::PeerMessage::TakeoverRequest(peer::TakeoverRequest { slices }),
                );
            }
            Command::Table(table) => {
                self.check_table(index, &table);
                self.nodes[index].table = Arc::clone(&table);
                self.broadcast_event(index, &Event::Table(table));
            }
            Command::Membership(view) => self.broadcast_event(index, &Event::Membership(view)),
        }
    }

    /// Lets all engines of a node handle an event.
    pub(crate) fn broadcast_event(&mut self, index: usize, event: &Event) {
        let now = self.at(self.now);
        for worker in 0..usize::from(self.workers) {
            let actions = self.nodes[index].engines[worker].handle(now, event.clone());
            self.carry_out_actions(index, actions);
        }
    }

    /// Checks that epochs never decrease at an instance and that all instances have the
    /// same row for an epoch.
    pub(crate) fn check_table(&mut self, index: usize, table: &table::Table) {
        for (slice, row) in table.rows() {
            let node = &mut self.nodes[index];
            let known = node.epochs.insert(slice, row.epoch).unwrap_or_default();
            if row.epoch < known {
                let text = format!("(g) {} got a smaller epoch for slice {slice}", node.holder);
                self.violations.push(text);
            }
            let first = self.first_rows.entry((slice, row.epoch));
            let first = first.or_insert_with(|| row.clone());
            if first != row {
                let text = format!(
                    "(e) two different rows for slice {slice} epoch {}",
                    row.epoch
                );
                self.violations.push(text);
            }
        }
    }

    pub(crate) fn tick(&mut self) {
        for key in self.platform.expire_leases(self.now) {
            self.send_to_connected_nodes(&Input::EntryRemoved(key));
        }
        for index in 0..self.nodes.len() {
            self.tick_node(index);
        }
        if self.now >= self.next_notification {
            self.next_notification = self.now + secs(1);
            self.send_notifications();
        }
        self.reopen_silent_subscriptions();
    }

    pub(crate) fn tick_node(&mut self, index: usize) {
        let due = |at: Option<Duration>| at.is_some_and(|at| at <= self.now);
        if due(self.nodes[index].restart_at) {
            self.nodes[index] = self.node(index);
        }
        if !self.nodes[index].is_up || self.now < self.nodes[index].frozen_until {
            return;
        }
        while let Some(input) = self.nodes[index].inbox.pop_front() {
            self.handle(index, input);
        }
        self.renew_registration(index);
        self.poll_store(index);
        if self.now >= self.nodes[index].next_heartbeat {
            self.nodes[index].next_heartbeat = self.now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(index);
        }
        // The planner runs at every other tick.
        if (self.now.as_millis() / TICK_INTERVAL.as_millis()).is_multiple_of(2) {
            self.run_planner(index);
        }
        self.broadcast_event(index, &Event::Tick);
        self.finish_leaving(index);
    }

    pub(crate) fn finish_leaving(&mut self, index: usize) {
        let node = &self.nodes[index];
        let Some(since) = node.leaving_since else {
            return;
        };
        let (homes, backups, _) = node.control.holdings();
        let working: usize = node.engines.iter().map(Engine::in_progress).sum();
        let done = homes + backups == 0 && working == 0;
        if done || self.now >= since + LEAVE_TIMEOUT {
            let key = format!("{INSTANCES}{}", node.holder.instance);
            self.platform.withdraw(&key);
            self.send_to_connected_nodes(&Input::EntryRemoved(key));
            self.kill_node(index);
            self.nodes[index].restart_at = Some(self.now + secs(2));
        }
    }

    /// Begins or ends the draining of a server; the health checks of all nodes report
    /// it.
    pub(crate) fn drain(&mut self, server: usize, draining: bool) {
        self.backends[server].behavior = match draining {
            true => ServerBehavior::Draining,
            false => ServerBehavior::Normal,
        };
        for node in &self.nodes {
            node.servers[server].state().draining = draining;
        }
    }

    /// Kills a process.
    pub(crate) fn kill_node(&mut self, index: usize) {
        let incarnation = self.nodes[index].holder.incarnation.0;
        let inbox = std::mem::take(&mut self.nodes[index].inbox);
        for input in &inbox {
            self.record_dropped_input(input);
        }
        self.nodes[index].is_up = false;
        self.nodes[index].frozen_until = Duration::ZERO;
        self.mark_held_as_affected(index, incarnation);
    }

    /// Pauses a process; its inputs wait until it continues.
    pub(crate) fn freeze_node(&mut self, index: usize, length: Duration) {
        let incarnation = self.nodes[index].holder.incarnation.0;
        self.nodes[index].frozen_until = self.now + length;
        self.mark_held_as_affected(index, incarnation);
    }

    /// Marks the requests that a process handled and that have no outcome yet.
    pub(crate) fn mark_held_as_affected(&mut self, index: usize, incarnation: u64) {
        for tracked in &mut self.tracked_requests {
            if tracked.sent_outcomes.is_empty()
                && tracked.handled_by.contains(&(index, incarnation))
            {
                tracked.is_fault_affected = true;
            }
        }
    }

    pub(crate) fn carry_out_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_action(index, action);
        }
    }

    pub(crate) fn carry_out_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Forward {
                server,
                attempt,
                service,
                datagram,
                ..
            } => {
                let target = self.backend(&server.id);
                let forwarded = ForwardedRequest {
                    node: index,
                    incarnation: self.nodes[index].holder.incarnation.0,
                    server: target,
                    service,
                    attempt,
                    number: number_of(&datagram),
                };
                if !self.is_lost() {
                    let at = self.now + self.delay();
                    self.schedule(at, Scheduled::Server(forwarded));
                }
            }
            Action::Reject { to, attempt, .. } => {
                let target = self.backends.iter().position(|b| b.address == to);
                let target = target.expect("known server");
                let at = self.now + self.delay();
                self.schedule(at, Scheduled::Reject(target, index, attempt));
            }
            Action::Answer {
                id,
                delivery,
                sequence,
                outcome,
                ..
            } => self.record_sent_outcome(id.0 as u64, delivery, sequence, outcome),
            Action::Acknowledge { id, .. } => {
                self.send_to_caller(CallerMessage::Acknowledge(id.0 as u64));
            }
            Action::Notify {
                flow,
                token,
                message,
                sequence,
                confirmable,
                datagram,
            } => self.send_to_caller(CallerMessage::Notify {
                flow,
                token: token.0 as u64,
                message,
                sequence,
                confirmable,
                datagram,
            }),
            Action::Peer { to, body } => self.send(index, &to, body),
            Action::BackupSynced { slice, backup } => {
                self.nodes[index].control.backup_synced(slice, &backup);
            }
            Action::TraceEvent(note) => {
                *self.counts.reasons.entry(note.reason).or_default() += 1;
            }
        }
    }

    pub(crate) fn backend(&self, id: &id::Server) -> usize {
        let index = self.backends.iter().position(|b| b.id == *id);
        index.expect("known server")
    }

    pub(crate) fn record_sent_outcome(
        &mut self,
        number: u64,
        delivery: Delivery,
        sequence: Option<u32>,
        outcome: Outcome,
    ) {
        let now = self.now;
        let tracked = &mut self.tracked_requests[number as usize];
        tracked.sent_outcomes.push((now, outcome.clone()));
        if let Outcome::Answered(datagram) = &outcome
            && number_of(datagram) != number
        {
            let text = format!("(c) request {number} got the answer to another request");
            self.violations.push(text);
        }
        let separate = match delivery {
            Delivery::Direct => None,
            Delivery::Separate { message } => Some(message),
        };
        self.send_to_caller(CallerMessage::Outcome {
            number,
            outcome,
            sequence,
            separate,
        });
    }

    pub(crate) fn send_to_caller(&mut self, message: CallerMessage) {
        if !self.is_lost() {
            let at = self.now + self.delay();
            self.schedule(at, Scheduled::Caller(message));
        }
    }

    /// Rows of the slice table that the platform stores.
    pub(crate) fn platform_rows(&self) -> Vec<Row> {
        let entry = self.platform.get(&format!("{SLICES_PREFIX}0"));
        let Some(entry) = entry else {
            return Vec::new();
        };
        let document: Document = serde_json::from_slice(&entry.value).expect("written by us");
        document.rows
    }

    /// The slice table that a node's engines received last.
    pub(crate) fn node_table(&self, index: usize) -> &table::Table {
        &self.nodes[index].table
    }
}

pub(crate) fn number_of(datagram: &[u8]) -> u64 {
    u64::from_be_bytes(datagram[..8].try_into().expect("written by this file"))
}

fn receipt_datagram(message: u16) -> Bytes {
    let [high, low] = message.to_be_bytes();
    Bytes::copy_from_slice(&[RECEIPT, high, low])
}

fn slice_of_message(body: &peer::PeerMessage) -> Option<id::Slice> {
    match body {
        peer::PeerMessage::ReplicationStep(message) => Some(id::Slice(message.slice)),
        peer::PeerMessage::ReplicationAck(message) => Some(id::Slice(message.slice)),
        peer::PeerMessage::FinalOutcome(message) => Some(id::Slice(message.slice)),
        peer::PeerMessage::FeedTransfer(message) => Some(id::Slice(message.slice)),
        _ => None,
    }
}
