//! A small fleet in one thread: engines and controls joined by queues whose
//! messages a seeded generator loses, delays, doubles and reorders.

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
use crate::backend::Mood;
use crate::caller::Board;
use crate::caller::Ticket;
use crate::lab;
use crate::lab::ms;
use crate::lab::secs;
use crate::platform::Platform;

pub(crate) const SLICE_COUNT: u32 = 32;
pub(crate) const SERVICES: [&str; 2] = ["dispatch", "ledger"];
pub(crate) const PARK_TIME: Duration = Duration::from_secs(5);
const ZONES: [&str; 3] = ["bole", "kality", "merkato"];
const TICK: Duration = Duration::from_millis(50);
const BEAT: Duration = Duration::from_secs(1);
pub(crate) const PROBE: Duration = Duration::from_secs(2);
const LEAVE_WITHIN: Duration = Duration::from_secs(30);

/// Marks datagrams that stand for receipts.
const RECEIPT: u8 = 1;

/// What a node is handed.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Request(u64, u32),
    Receipt(Flow, u16, u32),
    Answer(id::Endpoint, id::Attempt, Answer),
    Peer(id::Holder, peer::PeerMessage),
    Listing(Vec<Entry>, Duration),
    Silent,
    Change(Entry),
    Removed(String),
    Written(u32, WriteResult),
}

/// A write of the slice table on its way.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) document: u32,
    pub(crate) expected: Option<u64>,
    pub(crate) value: Bytes,
    pub(crate) is_told: bool,
}

/// A request on its way to a server.
#[derive(Clone, Debug)]
pub(crate) struct Sending {
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) server: usize,
    pub(crate) service: id::Service,
    pub(crate) attempt: id::Attempt,
    pub(crate) number: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum ToCaller {
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
pub(crate) enum Item {
    Node(usize, u64, Input),
    Server(Sending),
    Finish(Sending),
    Reject(usize, usize, id::Attempt),
    Caller(ToCaller),
    Copy(u64),
    Write(Write),
}

/// One entry instance.
pub(crate) struct Node {
    pub(crate) holder: id::Holder,
    pub(crate) zone: id::Zone,
    pub(crate) engines: Vec<Engine>,
    pub(crate) control: SlicePlanner,
    pub(crate) servers: Vec<Arc<Server>>,
    pub(crate) is_up: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) is_linked: bool,
    pub(crate) restart_at: Option<Duration>,
    pub(crate) inbox: VecDeque<Input>,
    pub(crate) known: BTreeMap<String, Entry>,
    pub(crate) epochs: HashMap<id::Slice, id::Epoch>,
    pub(crate) table: Arc<table::Table>,
    pub(crate) next_beat: Duration,
    pub(crate) next_probe: Duration,
    pub(crate) next_renewal: Duration,
    pub(crate) is_withdrawn: bool,
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) requests: u64,
    pub(crate) once: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) untold: u64,
    pub(crate) notifications: u64,
    pub(crate) feeds: u64,
    pub(crate) reopened: u64,
    pub(crate) kills: u64,
    pub(crate) freezes: u64,
    pub(crate) reasons: BTreeMap<Reason, u64>,
}

/// The fleet and the world around it.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) base: Instant,
    pub(crate) rng: SmallRng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: Platform,
    pub(crate) backends: Vec<Backend>,
    pub(crate) tickets: Vec<Ticket>,
    pub(crate) boards: Vec<Board>,
    pub(crate) cuts: HashSet<(usize, usize)>,
    pub(crate) loss: f64,
    pub(crate) worst_delay: u64,
    pub(crate) profile: Profile,
    pub(crate) violations: Vec<String>,
    pub(crate) figures: Figures,
    pub(crate) workers: u8,
    pub(crate) lives: u64,
    pub(crate) queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub(crate) items: HashMap<u64, Item>,
    pub(crate) next_item: u64,
    pub(crate) next_tick: Duration,
    pub(crate) next_notification: Duration,
    pub(crate) rows: HashMap<(id::Slice, id::Epoch), Row>,
}

/// Timings short enough for a run of two minutes; their order is the real one.
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
            base: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            platform: Platform::default(),
            backends: Vec::new(),
            tickets: Vec::new(),
            boards: Vec::new(),
            cuts: HashSet::new(),
            loss: 0.005,
            worst_delay: 20,
            profile: profile(),
            violations: Vec::new(),
            figures: Figures::default(),
            workers,
            lives: 0,
            queue: BinaryHeap::new(),
            items: HashMap::new(),
            next_item: 0,
            next_tick: Duration::ZERO,
            next_notification: Duration::ZERO,
            rows: HashMap::new(),
        };
        fleet.add_backends();
        for place in 0..count {
            let node = fleet.node(place);
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
                    mood: Mood::Well,
                    busy: 0,
                    feeds: BTreeMap::new(),
                });
            }
        }
    }

    pub(crate) fn at(&self, offset: Duration) -> Instant {
        self.base + offset
    }

    pub(crate) fn node(&mut self, place: usize) -> Node {
        self.lives += 1;
        // As in the daemon, a life is numbered by its start in microseconds.
        let life = self.now.as_micros() as u64 + 1_000 + self.lives;
        let holder = lab::holder(&format!("e{place}"), life);
        let zone: id::Zone = ZONES[place % ZONES.len()].parse().expect("a legal name");
        let now = self.at(self.now);
        let servers: Vec<Arc<Server>> = self
            .backends
            .iter()
            .enumerate()
            .map(|(n, b)| lab::server(now, b.id.as_str(), b.service, 1_000 + n as u16))
            .collect();
        for (server, backend) in servers.iter().zip(&self.backends) {
            server.state().draining = backend.mood == Mood::Draining;
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
            address: lab::endpoint(4, place as u16),
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
            is_linked: true,
            restart_at: None,
            inbox: VecDeque::new(),
            known: BTreeMap::new(),
            epochs: HashMap::new(),
            table: Arc::new(table::Table::new(SLICE_COUNT)),
            next_beat: self.now,
            next_probe: self.now,
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

    pub(crate) fn push(&mut self, at: Duration, item: Item) {
        self.next_item += 1;
        self.queue.push(Reverse((at, self.next_item)));
        self.items.insert(self.next_item, item);
    }

    pub(crate) fn delay(&mut self) -> Duration {
        // Most are quick, some are late enough to be overtaken by a takeover.
        let most = if self.rng.random_bool(0.02) {
            self.worst_delay * 20
        } else {
            self.worst_delay
        };
        ms(1 + self.rng.random_range(0..most))
    }

    pub(crate) fn is_lost(&mut self) -> bool {
        let loss = self.loss;
        self.rng.random_bool(loss)
    }

    /// Runs until a time.
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
                let item = self.items.remove(&number).expect("pushed before");
                self.take(item);
            } else {
                self.next_tick += TICK;
                self.tick();
            }
        }
    }

    pub(crate) fn take(&mut self, item: Item) {
        match item {
            Item::Node(place, life, input) => self.arrive(place, life, input),
            Item::Server(sending) => self.serve(sending),
            Item::Finish(sending) => self.finish(&sending),
            Item::Reject(server, node, attempt) => {
                self.backends[server].feeds.remove(&(node, attempt));
            }
            Item::Caller(message) => self.hear(message),
            Item::Copy(number) => self.copy(number),
            Item::Write(write) => self.store(write),
        }
    }

    pub(crate) fn arrive(&mut self, place: usize, life: u64, input: Input) {
        let node = &self.nodes[place];
        let same = life == 0 || node.holder.incarnation.0 == life;
        if !node.is_up || !same {
            self.drop_input(&input);
            return;
        }
        if self.now < node.frozen_until || !node.inbox.is_empty() {
            self.drop_input(&input);
            self.nodes[place].inbox.push_back(input);
            return;
        }
        self.handle(place, input);
    }

    pub(crate) fn drop_input(&mut self, input: &Input) {
        match input {
            Input::Request(number, _) => self.excuse(*number),
            Input::Peer(_, peer::PeerMessage::Relay(relay)) => self.drop_relay(relay),
            _ => {}
        }
    }

    pub(crate) fn drop_relay(&mut self, relay: &peer::Relay) {
        if relay.datagram.len() == 8 {
            self.excuse(number_of(&relay.datagram));
        }
    }

    pub(crate) fn excuse(&mut self, number: u64) {
        self.tickets[number as usize].excused = true;
    }

    /// Handles one input at a node that is awake.
    pub(crate) fn handle(&mut self, place: usize, input: Input) {
        let now = self.at(self.now);
        match input {
            Input::Request(number, hops) => self.handle_request(place, number, hops, None),
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
                self.give(place, slice, event);
            }
            Input::Answer(from, attempt, answer) => {
                let worker = (attempt.0 >> ATTEMPT_BITS) as usize;
                let event = Event::Answer {
                    from,
                    attempt,
                    answer,
                };
                let actions = self.nodes[place].engines[worker].handle(now, event);
                self.act(place, actions);
            }
            Input::Peer(from, body) => self.handle_peer(place, from, body),
            Input::Listing(entries, at) => self.handle_listing(place, entries, at),
            Input::Silent => self.nodes[place].control.lose_contact(),
            Input::Change(entry) => self.learn(place, entry),
            Input::Removed(key) => {
                let node = &mut self.nodes[place];
                node.known.remove(&key);
                node.control.remove(&key);
            }
            Input::Written(document, written) => {
                self.nodes[place]
                    .control
                    .write_finished(now, document, written);
                self.plan(place);
            }
        }
    }

    pub(crate) fn handle_request(
        &mut self,
        place: usize,
        number: u64,
        hops: u32,
        released: Option<id::Holder>,
    ) {
        let now = self.now;
        let life = self.nodes[place].holder.incarnation.0;
        let ticket = &mut self.tickets[number as usize];
        ticket.handled.get_or_insert(now);
        if !ticket.holders.contains(&(place, life)) {
            ticket.holders.push((place, life));
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
        self.give(place, slice, event);
    }

    pub(crate) fn request(&self, number: u64) -> Request {
        let ticket = &self.tickets[number as usize];
        lab::request(&ticket.flow, number, ticket.kind)
    }

    pub(crate) fn give(&mut self, place: usize, slice: id::Slice, event: Event) {
        let now = self.at(self.now);
        let worker = (slice.0 % u32::from(self.workers)) as usize;
        let subject = match &event {
            Event::Request { request, .. } => Some(request.id.0 as u64),
            _ => None,
        };
        let actions = self.nodes[place].engines[worker].handle(now, event);
        let dropped = lab::has_reason(&actions, Reason::TooManyHops)
            || lab::has_reason(&actions, Reason::ParkFull);
        if let Some(number) = subject.filter(|_| dropped) {
            self.excuse(number);
        }
        self.act(place, actions);
    }

    pub(crate) fn handle_peer(&mut self, place: usize, from: id::Holder, body: peer::PeerMessage) {
        let now = self.at(self.now);
        match body {
            peer::PeerMessage::Relay(relay) => {
                let flow = peer::unpack_flow(relay.flow.as_ref()).expect("packed by an engine");
                if relay.datagram.len() == 8 {
                    let released = relay.released.then_some(from);
                    self.handle_request(place, number_of(&relay.datagram), relay.hops, released);
                } else {
                    let message = u16::from_be_bytes([relay.datagram[1], relay.datagram[2]]);
                    self.handle(place, Input::Receipt(flow, message, relay.hops));
                }
            }
            peer::PeerMessage::Heartbeat(message) => {
                self.nodes[place].control.heartbeat(now, &from, &message);
                self.copy_tables(place, &from);
            }
            peer::PeerMessage::TakeoverRequest(message) => {
                self.nodes[place]
                    .control
                    .takeover_requested(now, &from, &message.slices);
            }
            body => {
                if let Some(slice) = slice_of(&body) {
                    self.give(place, slice, Event::Peer { from, body });
                }
            }
        }
    }

    /// Peers give each other copies of what the platform holds.
    pub(crate) fn copy_tables(&mut self, place: usize, from: &id::Holder) {
        let sender = self.nodes.iter().find(|node| node.holder == *from);
        let Some(sender) = sender else {
            return;
        };
        let newer = |entry: &&Entry| {
            let known = self.nodes[place].known.get(&entry.key);
            entry.key.starts_with(SLICES_PREFIX)
                && known.is_none_or(|known| known.mod_revision < entry.mod_revision)
        };
        let entries: Vec<Entry> = sender.known.values().filter(newer).cloned().collect();
        let life = self.nodes[place].holder.incarnation.0;
        for entry in entries {
            let at = self.now + secs(2);
            self.push(at, Item::Node(place, life, Input::Change(entry)));
        }
    }

    pub(crate) fn learn(&mut self, place: usize, entry: Entry) {
        let now = self.at(self.now);
        let node = &mut self.nodes[place];
        let known = node.known.get(&entry.key);
        if known.is_some_and(|known| known.mod_revision >= entry.mod_revision) {
            return;
        }
        node.control.apply_entry(now, &entry);
        node.known.insert(entry.key.clone(), entry);
    }

    pub(crate) fn handle_listing(&mut self, place: usize, entries: Vec<Entry>, at: Duration) {
        let at = self.at(at);
        let keep: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let node = &mut self.nodes[place];
        node.known.retain(|key, _| keep.contains(key.as_str()));
        node.control.retain(&keep);
        node.control.contact(at);
        for entry in entries {
            self.learn(place, entry);
        }
    }

    pub(crate) fn plan(&mut self, place: usize) {
        let now = self.at(self.now);
        let node = &mut self.nodes[place];
        node.control.set_leaving(node.leaving_since.is_some());
        let commands = node.control.tick(now);
        for command in commands {
            self.carry_out(place, command);
        }
    }

    pub(crate) fn carry_out(&mut self, place: usize, command: Command) {
        match command {
            Command::Write {
                document,
                expected,
                rows,
            } => self.write(place, document, expected, rows),
            Command::AddBackup { slices, backup } => {
                for slice in slices {
                    let event = Event::AddBackup {
                        slices: vec![slice],
                        backup: backup.clone(),
                    };
                    self.give(place, slice, event);
                }
            }
            Command::CancelBackup(slices) => {
                for slice in slices {
                    self.give(place, slice, Event::CancelBackup(vec![slice]));
                }
            }
            Command::RequestTakeover { to, slices } => {
                let slices = slices.into_iter().map(|slice| slice.0).collect();
                self.send(
                    place,
                    &to,
                    peer::PeerMessage::TakeoverRequest(peer::TakeoverRequest { slices }),
                );
            }
            Command::Table(table) => {
                self.check_table(place, &table);
                self.nodes[place].table = Arc::clone(&table);
                self.tell(place, &Event::Table(table));
            }
            Command::Membership(view) => self.tell(place, &Event::Membership(view)),
        }
    }

    pub(crate) fn tell(&mut self, place: usize, event: &Event) {
        let now = self.at(self.now);
        for worker in 0..usize::from(self.workers) {
            let actions = self.nodes[place].engines[worker].handle(now, event.clone());
            self.act(place, actions);
        }
    }

    /// Epochs grow at each instance, and one epoch means one row everywhere.
    pub(crate) fn check_table(&mut self, place: usize, table: &table::Table) {
        for (slice, row) in table.rows() {
            let node = &mut self.nodes[place];
            let known = node.epochs.insert(slice, row.epoch).unwrap_or_default();
            if row.epoch < known {
                let text = format!("(g) {} went back in slice {slice}", node.holder);
                self.violations.push(text);
            }
            let first = self.rows.entry((slice, row.epoch));
            let first = first.or_insert_with(|| row.clone());
            if first != row {
                let text = format!("(e) two rows for slice {slice} epoch {}", row.epoch);
                self.violations.push(text);
            }
        }
    }

    pub(crate) fn tick(&mut self) {
        for key in self.platform.lapse(self.now) {
            self.announce(&Input::Removed(key));
        }
        for place in 0..self.nodes.len() {
            self.tick_node(place);
        }
        if self.now >= self.next_notification {
            self.next_notification = self.now + secs(1);
            self.notify();
        }
        self.watch_boards();
    }

    pub(crate) fn tick_node(&mut self, place: usize) {
        let due = |at: Option<Duration>| at.is_some_and(|at| at <= self.now);
        if due(self.nodes[place].restart_at) {
            self.nodes[place] = self.node(place);
        }
        if !self.nodes[place].is_up || self.now < self.nodes[place].frozen_until {
            return;
        }
        while let Some(input) = self.nodes[place].inbox.pop_front() {
            self.handle(place, input);
        }
        self.keep_registered(place);
        self.probe(place);
        if self.now >= self.nodes[place].next_beat {
            self.nodes[place].next_beat = self.now + BEAT;
            self.beat(place);
        }
        // The planner looks at every other tick.
        if (self.now.as_millis() / TICK.as_millis()).is_multiple_of(2) {
            self.plan(place);
        }
        self.tell(place, &Event::Tick);
        self.end_leaving(place);
    }

    pub(crate) fn end_leaving(&mut self, place: usize) {
        let node = &self.nodes[place];
        let Some(since) = node.leaving_since else {
            return;
        };
        let (homes, backups, _) = node.control.holdings();
        let working: usize = node.engines.iter().map(Engine::in_progress).sum();
        let done = homes + backups == 0 && working == 0;
        if done || self.now >= since + LEAVE_WITHIN {
            let key = format!("{INSTANCES}{}", node.holder.instance);
            self.platform.withdraw(&key);
            self.announce(&Input::Removed(key));
            self.stop(place);
            self.nodes[place].restart_at = Some(self.now + secs(2));
        }
    }

    /// Begins or ends the draining of a server, and all health checks tell.
    pub(crate) fn drain(&mut self, server: usize, draining: bool) {
        self.backends[server].mood = match draining {
            true => Mood::Draining,
            false => Mood::Well,
        };
        for node in &self.nodes {
            node.servers[server].state().draining = draining;
        }
    }

    /// Ends a process at once.
    pub(crate) fn stop(&mut self, place: usize) {
        let life = self.nodes[place].holder.incarnation.0;
        let inbox = std::mem::take(&mut self.nodes[place].inbox);
        for input in &inbox {
            self.drop_input(input);
        }
        self.nodes[place].is_up = false;
        self.nodes[place].frozen_until = Duration::ZERO;
        self.excuse_held(place, life);
    }

    /// Stops a process for a while; what comes waits.
    pub(crate) fn freeze(&mut self, place: usize, length: Duration) {
        let life = self.nodes[place].holder.incarnation.0;
        self.nodes[place].frozen_until = self.now + length;
        self.excuse_held(place, life);
    }

    pub(crate) fn excuse_held(&mut self, place: usize, life: u64) {
        for ticket in &mut self.tickets {
            if ticket.given.is_empty() && ticket.holders.contains(&(place, life)) {
                ticket.excused = true;
            }
        }
    }

    pub(crate) fn act(&mut self, place: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_action(place, action);
        }
    }

    pub(crate) fn carry_out_action(&mut self, place: usize, action: Action) {
        match action {
            Action::Forward {
                server,
                attempt,
                service,
                datagram,
                ..
            } => {
                let target = self.backend(&server.id);
                let sending = Sending {
                    node: place,
                    life: self.nodes[place].holder.incarnation.0,
                    server: target,
                    service,
                    attempt,
                    number: number_of(&datagram),
                };
                if !self.is_lost() {
                    let at = self.now + self.delay();
                    self.push(at, Item::Server(sending));
                }
            }
            Action::Reject { to, attempt, .. } => {
                let target = self.backends.iter().position(|b| b.address == to);
                let target = target.expect("all servers are known");
                let at = self.now + self.delay();
                self.push(at, Item::Reject(target, place, attempt));
            }
            Action::Answer {
                id,
                delivery,
                sequence,
                outcome,
                ..
            } => self.give_outcome(id.0 as u64, delivery, sequence, outcome),
            Action::Acknowledge { id, .. } => {
                self.tell_caller(ToCaller::Acknowledge(id.0 as u64));
            }
            Action::Notify {
                flow,
                token,
                message,
                sequence,
                confirmable,
                datagram,
            } => self.tell_caller(ToCaller::Notify {
                flow,
                token: token.0 as u64,
                message,
                sequence,
                confirmable,
                datagram,
            }),
            Action::Peer { to, body } => self.send(place, &to, body),
            Action::BackupSynced { slice, backup } => {
                self.nodes[place].control.backup_synced(slice, &backup);
            }
            Action::TraceEvent(note) => {
                *self.figures.reasons.entry(note.reason).or_default() += 1;
            }
        }
    }

    pub(crate) fn backend(&self, id: &id::Server) -> usize {
        let place = self.backends.iter().position(|b| b.id == *id);
        place.expect("all servers are known")
    }

    pub(crate) fn give_outcome(
        &mut self,
        number: u64,
        delivery: Delivery,
        sequence: Option<u32>,
        outcome: Outcome,
    ) {
        let now = self.now;
        let ticket = &mut self.tickets[number as usize];
        ticket.given.push((now, outcome.clone()));
        if let Outcome::Answered(datagram) = &outcome
            && number_of(datagram) != number
        {
            let text = format!("(c) request {number} was given another's answer");
            self.violations.push(text);
        }
        let separate = match delivery {
            Delivery::Direct => None,
            Delivery::Separate { message } => Some(message),
        };
        self.tell_caller(ToCaller::Outcome {
            number,
            outcome,
            sequence,
            separate,
        });
    }

    pub(crate) fn tell_caller(&mut self, message: ToCaller) {
        if !self.is_lost() {
            let at = self.now + self.delay();
            self.push(at, Item::Caller(message));
        }
    }

    /// The newest row of a slice at the platform.
    pub(crate) fn platform_rows(&self) -> Vec<Row> {
        let entry = self.platform.get(&format!("{SLICES_PREFIX}0"));
        let Some(entry) = entry else {
            return Vec::new();
        };
        let document: Document = serde_json::from_slice(&entry.value).expect("written by us");
        document.rows
    }

    /// Table rows as a node's engines last got them.
    pub(crate) fn node_table(&self, place: usize) -> &table::Table {
        &self.nodes[place].table
    }
}

pub(crate) fn number_of(datagram: &[u8]) -> u64 {
    u64::from_be_bytes(datagram[..8].try_into().expect("written by this file"))
}

fn receipt_datagram(message: u16) -> Bytes {
    let [high, low] = message.to_be_bytes();
    Bytes::copy_from_slice(&[RECEIPT, high, low])
}

fn slice_of(body: &peer::PeerMessage) -> Option<id::Slice> {
    match body {
        peer::PeerMessage::ReplicationStep(message) => Some(id::Slice(message.slice)),
        peer::PeerMessage::ReplicationAck(message) => Some(id::Slice(message.slice)),
        peer::PeerMessage::FinalOutcome(message) => Some(id::Slice(message.slice)),
        peer::PeerMessage::FeedTransfer(message) => Some(id::Slice(message.slice)),
        _ => None,
    }
}
