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
use godwitreel::control::Control;
use godwitreel::control::INSTANCES;
use godwitreel::control::SLICES;
use godwitreel::control::Written;
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
use godwitreel::request::Kind;
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

use crate::backend;
use crate::backend::Backend;
use crate::backend::Mood;
use crate::caller;
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
const PROBE: Duration = Duration::from_secs(2);
const LEAVE_WITHIN: Duration = Duration::from_secs(30);

/// Marks datagrams that stand for receipts.
const RECEIPT: u8 = 1;

/// What a node is handed.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Request(u64, u32),
    Receipt(Flow, u16, u32),
    Answer(id::Endpoint, id::Attempt, Answer),
    Peer(id::Holder, peer::Body),
    Listing(Vec<Entry>, Duration),
    Silent,
    Change(Entry),
    Removed(String),
    Written(u32, Written),
}

/// A write of the slice table on its way.
#[derive(Clone, Debug)]
struct Write {
    node: usize,
    life: u64,
    document: u32,
    expected: Option<u64>,
    value: Bytes,
    is_told: bool,
}

/// A request on its way to a server.
#[derive(Clone, Debug)]
struct Sending {
    node: usize,
    life: u64,
    server: usize,
    service: id::Service,
    attempt: id::Attempt,
    number: u64,
}

#[derive(Clone, Debug)]
enum ToCaller {
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
enum Item {
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
    pub(crate) control: Control,
    servers: Vec<Arc<Server>>,
    pub(crate) is_up: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) is_linked: bool,
    pub(crate) restart_at: Option<Duration>,
    inbox: VecDeque<Input>,
    known: BTreeMap<String, Entry>,
    epochs: HashMap<id::Slice, id::Epoch>,
    table: Arc<table::Table>,
    next_beat: Duration,
    next_probe: Duration,
    next_renewal: Duration,
    is_withdrawn: bool,
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
    base: Instant,
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
    workers: u8,
    lives: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    items: HashMap<u64, Item>,
    next_item: u64,
    next_tick: Duration,
    next_notification: Duration,
    rows: HashMap<(id::Slice, id::Epoch), Row>,
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

    fn add_backends(&mut self) {
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

    fn at(&self, offset: Duration) -> Instant {
        self.base + offset
    }

    fn node(&mut self, place: usize) -> Node {
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
            outsider_wait: secs(18),
        };
        Node {
            control: Control::new(settings, now),
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

    fn snapshot(&self, servers: &[Arc<Server>]) -> Arc<Snapshot> {
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

    fn push(&mut self, at: Duration, item: Item) {
        self.next_item += 1;
        self.queue.push(Reverse((at, self.next_item)));
        self.items.insert(self.next_item, item);
    }

    fn delay(&mut self) -> Duration {
        // Most are quick, some are late enough to be overtaken by a takeover.
        let most = if self.rng.random_bool(0.02) {
            self.worst_delay * 20
        } else {
            self.worst_delay
        };
        ms(1 + self.rng.random_range(0..most))
    }

    fn is_lost(&mut self) -> bool {
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

    fn take(&mut self, item: Item) {
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

    fn arrive(&mut self, place: usize, life: u64, input: Input) {
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

    fn drop_input(&mut self, input: &Input) {
        match input {
            Input::Request(number, _) => self.excuse(*number),
            Input::Peer(_, peer::Body::Relay(relay)) => self.drop_relay(relay),
            _ => {}
        }
    }

    fn drop_relay(&mut self, relay: &peer::Relay) {
        if relay.datagram.len() == 8 {
            self.excuse(number_of(&relay.datagram));
        }
    }

    fn excuse(&mut self, number: u64) {
        self.tickets[number as usize].excused = true;
    }

    /// Handles one input at a node that is awake.
    fn handle(&mut self, place: usize, input: Input) {
        let now = self.at(self.now);
        match input {
            Input::Request(number, hops) => self.handle_request(place, number, hops),
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
                self.nodes[place].control.written(now, document, written);
                self.plan(place);
            }
        }
    }

    fn handle_request(&mut self, place: usize, number: u64, hops: u32) {
        let now = self.now;
        let life = self.nodes[place].holder.incarnation.0;
        let ticket = &mut self.tickets[number as usize];
        ticket.handled.get_or_insert(now);
        if !ticket.holders.contains(&(place, life)) {
            ticket.holders.push((place, life));
        }
        let request = self.request(number);
        let slice = table::slice(SLICE_COUNT, lab::HASH_KEY, &request.flow);
        self.give(place, slice, Event::Request { request, hops });
    }

    fn request(&self, number: u64) -> Request {
        let ticket = &self.tickets[number as usize];
        lab::request(&ticket.flow, number, ticket.kind)
    }

    fn give(&mut self, place: usize, slice: id::Slice, event: Event) {
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

    fn handle_peer(&mut self, place: usize, from: id::Holder, body: peer::Body) {
        let now = self.at(self.now);
        match body {
            peer::Body::Relay(relay) => {
                let flow = peer::unpack_flow(relay.flow.as_ref()).expect("packed by an engine");
                if relay.datagram.len() == 8 {
                    self.handle_request(place, number_of(&relay.datagram), relay.hops);
                } else {
                    let message = u16::from_be_bytes([relay.datagram[1], relay.datagram[2]]);
                    self.handle(place, Input::Receipt(flow, message, relay.hops));
                }
            }
            peer::Body::Heartbeat(message) => {
                self.nodes[place].control.heartbeat(now, &from, &message);
                self.copy_tables(place, &from);
            }
            peer::Body::Yield(message) => {
                self.nodes[place]
                    .control
                    .yielded(now, &from, &message.slices);
            }
            body => {
                if let Some(slice) = slice_of(&body) {
                    self.give(place, slice, Event::Peer { from, body });
                }
            }
        }
    }

    /// Peers give each other copies of what the platform holds.
    fn copy_tables(&mut self, place: usize, from: &id::Holder) {
        let sender = self.nodes.iter().find(|node| node.holder == *from);
        let Some(sender) = sender else {
            return;
        };
        let newer = |entry: &&Entry| {
            let known = self.nodes[place].known.get(&entry.key);
            entry.key.starts_with(SLICES)
                && known.is_none_or(|known| known.mod_revision < entry.mod_revision)
        };
        let entries: Vec<Entry> = sender.known.values().filter(newer).cloned().collect();
        let life = self.nodes[place].holder.incarnation.0;
        for entry in entries {
            let at = self.now + secs(2);
            self.push(at, Item::Node(place, life, Input::Change(entry)));
        }
    }

    fn learn(&mut self, place: usize, entry: Entry) {
        let now = self.at(self.now);
        let node = &mut self.nodes[place];
        let known = node.known.get(&entry.key);
        if known.is_some_and(|known| known.mod_revision >= entry.mod_revision) {
            return;
        }
        node.control.store(now, &entry);
        node.known.insert(entry.key.clone(), entry);
    }

    fn handle_listing(&mut self, place: usize, entries: Vec<Entry>, at: Duration) {
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

    fn plan(&mut self, place: usize) {
        let now = self.at(self.now);
        let node = &mut self.nodes[place];
        node.control.set_leaving(node.leaving_since.is_some());
        let commands = node.control.tick(now);
        for command in commands {
            self.carry_out(place, command);
        }
    }

    fn carry_out(&mut self, place: usize, command: Command) {
        match command {
            Command::Write {
                document,
                expected,
                rows,
            } => self.write(place, document, expected, rows),
            Command::Join { slices, backup } => {
                for slice in slices {
                    let event = Event::Join {
                        slices: vec![slice],
                        backup: backup.clone(),
                    };
                    self.give(place, slice, event);
                }
            }
            Command::Abandon(slices) => {
                for slice in slices {
                    self.give(place, slice, Event::Abandon(vec![slice]));
                }
            }
            Command::Yield { to, slices } => {
                let slices = slices.into_iter().map(|slice| slice.0).collect();
                self.send(place, &to, peer::Body::Yield(peer::Yield { slices }));
            }
            Command::Table(table) => {
                self.check_table(place, &table);
                self.nodes[place].table = Arc::clone(&table);
                self.tell(place, &Event::Table(table));
            }
            Command::Members(view) => self.tell(place, &Event::Members(view)),
        }
    }

    fn tell(&mut self, place: usize, event: &Event) {
        let now = self.at(self.now);
        for worker in 0..usize::from(self.workers) {
            let actions = self.nodes[place].engines[worker].handle(now, event.clone());
            self.act(place, actions);
        }
    }

    /// Epochs grow at each instance, and one epoch means one row everywhere.
    fn check_table(&mut self, place: usize, table: &table::Table) {
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

    fn write(&mut self, place: usize, document: u32, expected: Option<u64>, rows: Vec<Row>) {
        self.next_item += 1;
        let content = Document {
            write_id: self.next_item.to_string(),
            rows,
        };
        let value = Bytes::from(serde_json::to_vec(&content).expect("plain data"));
        let write = Write {
            node: place,
            life: self.nodes[place].holder.incarnation.0,
            document,
            expected,
            value,
            is_told: true,
        };
        let wait = match self.platform.is_slow {
            true => ms(self.rng.random_range(500..3_000)),
            false => self.delay(),
        };
        self.push(self.now + wait, Item::Write(write));
    }

    /// A write reaches the platform, or what stands between.
    fn store(&mut self, mut write: Write) {
        let reachable = self.nodes[write.node].is_linked && !self.platform.is_down;
        if write.is_told && !reachable {
            // It hangs somewhere: the writer gives up, and half of them arrive later.
            self.report(&write, secs(5), Written::Unknown);
            if self.rng.random_bool(0.5) {
                write.is_told = false;
                let late = ms(self.rng.random_range(1_000..12_000));
                self.push(self.now + late, Item::Write(write));
            }
            return;
        }
        if self.platform.is_down {
            return;
        }
        let key = format!("{SLICES}{}", write.document);
        let value = write.value.clone();
        let written = match self.platform.swap(&key, write.expected, value) {
            Ok(entry) => {
                let version = entry.mod_revision;
                self.announce(&Input::Change(entry));
                Written::Done(version)
            }
            Err(found) => Written::Lost(found),
        };
        if !write.is_told {
            return;
        }
        if self.platform.loses_answers && self.rng.random_bool(0.5) {
            self.report(&write, secs(5), Written::Unknown);
            return;
        }
        let wait = self.delay();
        self.report(&write, wait, written);
    }

    fn report(&mut self, write: &Write, wait: Duration, written: Written) {
        let input = Input::Written(write.document, written);
        self.push(self.now + wait, Item::Node(write.node, write.life, input));
    }

    /// Tells every instance that the platform can reach.
    fn announce(&mut self, input: &Input) {
        for place in 0..self.nodes.len() {
            if !self.nodes[place].is_linked || !self.nodes[place].is_up {
                continue;
            }
            let life = self.nodes[place].holder.incarnation.0;
            // One watch hands its changes on in order.
            let wait = if self.platform.is_slow {
                secs(1)
            } else {
                ms(20)
            };
            self.push(self.now + wait, Item::Node(place, life, input.clone()));
        }
    }

    fn tick(&mut self) {
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

    fn tick_node(&mut self, place: usize) {
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
        if (self.now.as_millis() / TICK.as_millis()) % 2 == 0 {
            self.plan(place);
        }
        self.tell(place, &Event::Tick);
        self.end_leaving(place);
    }

    fn keep_registered(&mut self, place: usize) {
        let node = &self.nodes[place];
        let reachable = node.is_linked && !self.platform.is_down;
        if !reachable || self.now < node.next_renewal || node.is_withdrawn {
            return;
        }
        let registration = control::Registration {
            holder: node.holder.clone(),
            zone: node.zone.clone(),
            peer: lab::endpoint(4, place as u16),
            status: lab::endpoint(5, place as u16),
            leaving: node.leaving_since.is_some(),
        };
        self.nodes[place].next_renewal = self.now + PROBE;
        if let Some(entry) = self.platform.register(self.now, &registration) {
            self.announce(&Input::Change(entry));
        }
    }

    fn probe(&mut self, place: usize) {
        let node = &self.nodes[place];
        if self.now < node.next_probe {
            return;
        }
        let reachable = node.is_linked && !self.platform.is_down;
        let life = node.holder.incarnation.0;
        self.nodes[place].next_probe = self.now + PROBE;
        let (wait, input) = if reachable {
            let entries = self.platform.entries();
            (ms(20), Input::Listing(entries, self.now))
        } else {
            (secs(1), Input::Silent)
        };
        self.push(self.now + wait, Item::Node(place, life, input));
    }

    fn beat(&mut self, place: usize) {
        let node = &self.nodes[place];
        let body = peer::Body::Heartbeat(peer::Heartbeat {
            zone: node.zone.to_string(),
            address: lab::endpoint(4, place as u16).to_string(),
            leaving: node.leaving_since.is_some(),
            digest: 0,
            loads: None,
            trimmed: false,
        });
        let peers = node.control.peers();
        for (member, _) in peers {
            self.send_to(place, &member.holder.instance, body.clone());
        }
    }

    fn send(&mut self, place: usize, to: &id::Holder, body: peer::Body) {
        self.send_to(place, &to.instance, body);
    }

    fn send_to(&mut self, place: usize, to: &id::Instance, body: peer::Body) {
        let target = self
            .nodes
            .iter()
            .position(|node| node.holder.instance == *to);
        let target = target.expect("all names are known");
        let input = Input::Peer(self.nodes[place].holder.clone(), body);
        if self.cuts.contains(&(place, target)) || self.is_lost() {
            self.drop_input(&input);
            return;
        }
        if self.rng.random_bool(0.01) {
            let at = self.now + self.delay();
            self.push(at, Item::Node(target, 0, input.clone()));
        }
        let at = self.now + self.delay();
        self.push(at, Item::Node(target, 0, input));
    }

    fn end_leaving(&mut self, place: usize) {
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

    fn excuse_held(&mut self, place: usize, life: u64) {
        for ticket in &mut self.tickets {
            if ticket.given.is_empty() && ticket.holders.contains(&(place, life)) {
                ticket.excused = true;
            }
        }
    }

    fn act(&mut self, place: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_action(place, action);
        }
    }

    fn carry_out_action(&mut self, place: usize, action: Action) {
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
                self.to_caller(ToCaller::Acknowledge(id.0 as u64));
            }
            Action::Notify {
                flow,
                token,
                message,
                sequence,
                confirmable,
                datagram,
            } => self.to_caller(ToCaller::Notify {
                flow,
                token: token.0 as u64,
                message,
                sequence,
                confirmable,
                datagram,
            }),
            Action::Peer { to, body } => self.send(place, &to, body),
            Action::Joined { slice, backup } => {
                self.nodes[place].control.joined(slice, &backup);
            }
            Action::Note(note) => {
                *self.figures.reasons.entry(note.reason).or_default() += 1;
            }
        }
    }

    fn backend(&self, id: &id::Server) -> usize {
        let place = self.backends.iter().position(|b| b.id == *id);
        place.expect("all servers are known")
    }

    fn give_outcome(
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
        self.to_caller(ToCaller::Outcome {
            number,
            outcome,
            sequence,
            separate,
        });
    }

    fn to_caller(&mut self, message: ToCaller) {
        if !self.is_lost() {
            let at = self.now + self.delay();
            self.push(at, Item::Caller(message));
        }
    }

    /// A request reaches a server.
    fn serve(&mut self, sending: Sending) {
        let backend = &mut self.backends[sending.server];
        let ticket = &mut self.tickets[sending.number as usize];
        if backend.service != sending.service.as_str()
            || ticket.flow.service.as_str() != backend.service
        {
            let text = format!("(d) {} was sent a {} request", backend.id, sending.service);
            self.violations.push(text);
        }
        if backend.mood == Mood::Deaf {
            return;
        }
        if backend.refuses() {
            let answer = lab::refusal();
            self.reply(&sending, answer);
            return;
        }
        ticket.starts += 1;
        backend.busy += 1;
        let wait = backend.work_time();
        self.push(self.now + wait, Item::Finish(sending));
    }

    fn finish(&mut self, sending: &Sending) {
        let kind = self.tickets[sending.number as usize].kind;
        let backend = &mut self.backends[sending.server];
        backend.busy -= 1;
        let mut answer = lab::answer("");
        answer.datagram = self.stamped(sending.number);
        if kind == Kind::Open {
            answer.feed = true;
            let registration = backend::Registration {
                node: sending.node,
                life: sending.life,
                number: sending.number,
            };
            let key = (sending.node, sending.attempt);
            self.backends[sending.server]
                .feeds
                .insert(key, registration);
        }
        self.reply(sending, answer);
    }

    fn stamped(&self, number: u64) -> Bytes {
        Bytes::copy_from_slice(&number.to_be_bytes())
    }

    fn reply(&mut self, sending: &Sending, answer: Answer) {
        let mute = self.backends[sending.server].mood == Mood::Mute;
        if mute || self.is_lost() {
            return;
        }
        let from = self.backends[sending.server].address;
        let at = self.now + self.delay();
        let input = Input::Answer(from, sending.attempt, answer);
        if self.rng.random_bool(0.02) {
            let later = at + self.delay();
            let copy = Item::Node(sending.node, sending.life, input.clone());
            self.push(later, copy);
        }
        self.push(at, Item::Node(sending.node, sending.life, input));
    }

    fn notify(&mut self) {
        for place in 0..self.backends.len() {
            let backend = &self.backends[place];
            if matches!(backend.mood, Mood::Deaf | Mood::Mute) {
                continue;
            }
            let feeds: Vec<(id::Attempt, backend::Registration)> = backend
                .feeds
                .iter()
                .map(|((_, attempt), registration)| (*attempt, registration.clone()))
                .collect();
            for (attempt, registration) in feeds {
                let mut answer = lab::notification("");
                answer.datagram = self.stamped(registration.number);
                let sending = Sending {
                    node: registration.node,
                    life: registration.life,
                    server: place,
                    service: self.backends[place].service.parse().expect("a legal name"),
                    attempt,
                    number: registration.number,
                };
                self.reply(&sending, answer);
            }
        }
    }

    // What callers do.

    /// A caller sends a new request.
    pub(crate) fn send_new(&mut self, flow: Flow, kind: Kind) -> u64 {
        let number = self.tickets.len() as u64;
        self.tickets.push(Ticket {
            flow,
            kind,
            sent: self.now,
            copies: 0,
            is_acknowledged: false,
            starts: 0,
            given: Vec::new(),
            told: Vec::new(),
            handled: None,
            holders: Vec::new(),
            excused: false,
        });
        self.copy(number);
        number
    }

    fn copy(&mut self, number: u64) {
        let ticket = &self.tickets[number as usize];
        if ticket.is_acknowledged || !ticket.told.is_empty() {
            return;
        }
        let copies = ticket.copies;
        self.tickets[number as usize].copies += 1;
        if let Some(wait) = caller::COPY_WAITS.get(copies) {
            self.push(self.now + *wait, Item::Copy(number));
        }
        if self.is_lost() {
            self.excuse(number);
            return;
        }
        self.spray(Input::Request(number, 0));
    }

    /// The fabric gives a packet to any instance.
    fn spray(&mut self, input: Input) {
        let place = self.rng.random_range(0..self.nodes.len());
        let at = self.now + ms(3) + self.delay();
        self.push(at, Item::Node(place, 0, input));
    }

    fn hear(&mut self, message: ToCaller) {
        match message {
            ToCaller::Acknowledge(number) => {
                self.tickets[number as usize].is_acknowledged = true;
            }
            ToCaller::Outcome {
                number,
                outcome,
                sequence,
                separate,
            } => self.hear_outcome(number, outcome, sequence, separate),
            ToCaller::Notify {
                flow,
                token,
                message,
                sequence,
                confirmable,
                datagram,
            } => {
                if confirmable {
                    self.spray(Input::Receipt(flow.clone(), message, 0));
                }
                let board = self.boards.iter_mut().find(|board| board.number == token);
                if board.is_none_or(|board| !board.is_copy(self.now, message)) {
                    self.hear_notification(&flow, token, sequence, datagram);
                }
            }
        }
    }

    fn hear_outcome(
        &mut self,
        number: u64,
        outcome: Outcome,
        sequence: Option<u32>,
        separate: Option<u16>,
    ) {
        let ticket = &mut self.tickets[number as usize];
        let flow = ticket.flow.clone();
        ticket.told.push(outcome);
        let (now, is_open) = (self.now, ticket.kind == Kind::Open);
        if let Some(message) = separate {
            self.spray(Input::Receipt(flow, message, 0));
        }
        let board = self.boards.iter_mut().find(|board| board.number == number);
        if let (Some(board), true, Some(sequence)) = (board, is_open, sequence)
            && caller::is_fresh((board.newest, board.at), (sequence, now))
        {
            board.refresh(now, sequence);
        }
    }

    fn hear_notification(
        &mut self,
        flow: &Flow,
        token: u64,
        sequence: u32,
        datagram: Option<Bytes>,
    ) {
        let now = self.now;
        if let Some(datagram) = &datagram
            && number_of(datagram) != token
        {
            let text = format!("(c) feed {token} was given another's notification");
            self.violations.push(text);
        }
        let board = self.boards.iter().position(|board| board.number == token);
        let Some(place) = board else {
            return;
        };
        let board = &mut self.boards[place];
        if board.flow != *flow {
            self.violations
                .push(format!("(c) feed {token}: wrong caller"));
            return;
        }
        if datagram.is_none() {
            self.reopen(place);
        } else if caller::is_fresh((board.newest, board.at), (sequence, now)) {
            board.refresh(now, sequence);
            self.figures.notifications += 1;
        }
    }

    /// A caller opens a feed and keeps it open from now on.
    pub(crate) fn open_board(&mut self, flow: Flow) {
        let number = self.send_new(flow.clone(), Kind::Open);
        self.boards.push(Board {
            flow,
            number,
            newest: 0,
            at: self.now,
            reopened: 0,
            messages: HashMap::new(),
            gap: Duration::ZERO,
        });
    }

    fn reopen(&mut self, place: usize) {
        let flow = self.boards[place].flow.clone();
        let number = self.send_new(flow, Kind::Open);
        let board = &mut self.boards[place];
        board.number = number;
        board.newest = 0;
        board.at = self.now;
        board.reopened += 1;
    }

    fn watch_boards(&mut self) {
        for place in 0..self.boards.len() {
            if self.now >= self.boards[place].at + caller::REOPEN_AFTER {
                self.reopen(place);
            }
        }
    }

    /// The newest row of a slice at the platform.
    pub(crate) fn platform_rows(&self) -> Vec<Row> {
        let entry = self.platform.get(&format!("{SLICES}0"));
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

fn number_of(datagram: &[u8]) -> u64 {
    u64::from_be_bytes(datagram[..8].try_into().expect("written by this file"))
}

fn receipt_datagram(message: u16) -> Bytes {
    let [high, low] = message.to_be_bytes();
    Bytes::copy_from_slice(&[RECEIPT, high, low])
}

fn slice_of(body: &peer::Body) -> Option<id::Slice> {
    match body {
        peer::Body::Replicate(message) => Some(id::Slice(message.slice)),
        peer::Body::Replicated(message) => Some(id::Slice(message.slice)),
        peer::Body::Settle(message) => Some(id::Slice(message.slice)),
        peer::Body::Adopt(message) => Some(id::Slice(message.slice)),
        _ => None,
    }
}
