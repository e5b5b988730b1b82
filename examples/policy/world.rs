//! Real engines as homes, model backend servers, and a virtual clock.
//!
//! Nothing here decides anything: messages are carried with their one-way times,
//! servers have slots and a queue, callers repeat and come back as CoAP asks.

mod caller;
mod event;
mod plan;
mod server;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use godwitreel::action::Action;
use godwitreel::engine::Engine;
use godwitreel::engine::Settings;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::member::MembershipView;
use godwitreel::peer::PeerMessage;
use godwitreel::request::Kind;
use godwitreel::server::Server;
use godwitreel::snapshot::Service;
use godwitreel::snapshot::Snapshot;
use godwitreel::table::Row;
use godwitreel::table::Table;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::measure::Measure;
use crate::world::caller::Call;
use crate::world::caller::Watcher;
use crate::world::caller::number;
use crate::world::event::Due;
use crate::world::event::What;
use crate::world::server::Job;
use crate::world::server::new_server;

pub(crate) use plan::Fault;
pub(crate) use plan::Gossip;
pub(crate) use plan::Health;
pub(crate) use plan::Plan;
pub(crate) use server::Model;

const SLICES: u32 = 256;
const TICK: Duration = Duration::from_millis(10);
const PROBE_EVERY: Duration = Duration::from_millis(500);
const CONFIRM_FOR: Duration = Duration::from_millis(1_500);
const BEAT_EVERY: Duration = Duration::from_secs(1);
const SAMPLE_EVERY: Duration = Duration::from_millis(50);

/// One entry instance.
pub(crate) struct Home {
    engine: Engine,
    holder: id::Holder,
    zone: usize,
    pub(crate) servers: Vec<Arc<Server>>,
    pub(crate) alive: bool,
    loads: HashMap<usize, Vec<(u32, u32)>>,
}

/// Everything of one run.
pub(crate) struct World {
    plan: Plan,
    start: Instant,
    pub(crate) now: f64,
    order: u64,
    due: BinaryHeap<Reverse<Due>>,
    pub(crate) homes: Vec<Home>,
    pub(crate) models: Vec<Model>,
    table: Table,
    calls: HashMap<u64, Call>,
    watchers: HashMap<u64, Watcher>,
    next: u64,
    rng: SmallRng,
    measure: Measure,
    /// The instance that is known to be dead.
    noticed: Option<usize>,
}

fn service() -> id::Service {
    "dispatch".parse().expect("a name")
}

fn endpoint(net: u8, number: u64) -> id::Endpoint {
    let [.., a, b, c] = number.to_be_bytes();
    id::Endpoint((Ipv4Addr::new(net, a, b, c), 5683).into())
}

fn server_zone(plan: &Plan, server: usize) -> usize {
    server % plan.zones.len()
}

fn view(holders: &[id::Holder], alive: &dyn Fn(usize) -> bool, until: Instant) -> MembershipView {
    let live = holders.iter().enumerate().filter(|(home, _)| alive(*home));
    MembershipView {
        live: live
            .map(|(_, holder)| holder.clone())
            .collect::<HashSet<_>>(),
        known: Default::default(),
        authority_until: Some(until),
    }
}

impl World {
    /// A deployment at rest.
    pub(crate) fn new(plan: Plan, seed: u64) -> Self {
        let start = Instant::now();
        let models = (0..plan.servers).map(|_| Model {
            up: true,
            health: Health::Up,
            ours: true,
            slow: 1.0,
            loss: 0.0,
            cold_since: None,
            life: 0,
            busy: 0,
            queue: Default::default(),
            feeds: HashMap::new(),
        });
        let mut world = Self {
            start,
            now: 0.0,
            order: 0,
            due: BinaryHeap::new(),
            homes: (0..plan.homes)
                .map(|home| new_home(&plan, home, seed))
                .collect(),
            models: models.collect(),
            table: Table::new(SLICES),
            calls: HashMap::new(),
            watchers: HashMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(seed),
            measure: Measure::new(plan.slots as usize),
            noticed: None,
            plan,
        };
        world.assign();
        world.begin();
        world
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn assign(&mut self) {
        let homes = self.plan.homes;
        for slice in 0..SLICES {
            let home = slice as usize % homes;
            // Neighbours stand in different zones.
            let backup = (home + 1 + (slice as usize / homes) % (homes - 1)) % homes;
            let row = Row {
                epoch: id::Epoch(1),
                home: Some(self.homes[home].holder.clone()),
                backup: self.plan.backup.then(|| self.homes[backup].holder.clone()),
                records_lost: false,
            };
            self.table.update_if_newer(id::Slice(slice), row);
        }
        self.tell_table();
        self.tell_view();
    }

    fn tell_table(&mut self) {
        let table = Arc::new(self.table.clone());
        for home in 0..self.homes.len() {
            self.feed(home, Event::Table(Arc::clone(&table)));
        }
    }

    pub(crate) fn tell_view(&mut self) {
        let holders: Vec<_> = self.homes.iter().map(|home| home.holder.clone()).collect();
        let alive: Vec<bool> = self.homes.iter().map(|home| home.alive).collect();
        let until = self.start + Duration::from_secs(100_000);
        let view = Arc::new(view(&holders, &|home| alive[home], until));
        for home in 0..self.homes.len() {
            self.feed(home, Event::Membership(Arc::clone(&view)));
        }
    }

    fn begin(&mut self) {
        self.at(0.0, What::Probe);
        self.at(0.001, What::Tick);
        self.at(0.1, What::Arrival);
        self.at(self.plan.from, What::Sample);
        for home in 0..self.homes.len() {
            let share = home as f64 / self.homes.len() as f64;
            self.at(0.2 + share * BEAT_EVERY.as_secs_f64(), What::Beat(home));
        }
        for fault in 0..self.plan.faults.len() {
            self.at(self.plan.faults[fault].0, What::Fault(fault));
        }
        for feed in 0..self.plan.feeds {
            let at = 0.2 + 3.0 * feed as f64 / self.plan.feeds as f64;
            let what = What::Return {
                caller: feed as u64,
                kind: Kind::OpenFeed,
                wanted: at,
                comebacks: 0,
            };
            self.at(at, what);
        }
    }

    fn at(&mut self, at: f64, what: What) {
        self.order += 1;
        let order = self.order;
        self.due.push(Reverse(Due { at, order, what }));
    }

    fn after(&mut self, wait: f64, what: What) {
        self.at(self.now + wait, what);
    }

    /// Runs to the end and returns the figures.
    pub(crate) fn run(mut self) -> Measure {
        while let Some(Reverse(due)) = self.due.pop() {
            if due.at > self.plan.length {
                break;
            }
            self.now = due.at;
            self.step(due.what);
        }
        self.finish()
    }

    fn step(&mut self, what: What) {
        match what {
            What::Arrival => self.arrival(),
            What::ToHome { home, number, hops } => self.reach_home(home, number, hops),
            What::Peer { to, from, body } => {
                let from = self.homes[from].holder.clone();
                self.peer(to, from, body);
            }
            What::ToServer { server, job } => self.reach_server(server, job),
            What::Done { server, life, job } => self.done(server, life, job),
            What::FromServer {
                home,
                server,
                attempt,
                answer,
            } => {
                let from = endpoint(11, server as u64);
                self.feed(
                    home,
                    Event::Answer {
                        from,
                        attempt,
                        answer,
                    },
                );
            }
            What::Notify {
                server,
                life,
                home,
                attempt,
            } => {
                self.notify(server, life, home, attempt);
            }
            What::Receipt {
                home,
                flow,
                message,
            } => self.receipt(home, flow, message),
            What::Repeat(number) => self.repeat(number),
            What::Return {
                caller,
                kind,
                wanted,
                comebacks,
            } => {
                self.call(caller, kind, wanted, comebacks);
            }
            What::Tick => {
                for home in 0..self.homes.len() {
                    self.feed(home, Event::Tick);
                }
                self.after(TICK.as_secs_f64(), What::Tick);
            }
            What::Probe => self.probe(),
            What::Beat(home) => self.beat(home),
            What::Loads { from, loads } => self.take_loads(from, loads),
            What::Sample => self.sample(),
            What::Fault(fault) => {
                let fault = Arc::clone(&self.plan.faults[fault].1);
                fault(self);
            }
        }
    }

    fn reach_home(&mut self, home: usize, number: u64, hops: u32) {
        if let Some(request) = self.request(number) {
            self.feed(home, Event::Request { request, hops });
        }
    }

    fn peer(&mut self, to: usize, from: id::Holder, body: PeerMessage) {
        match body {
            PeerMessage::Relay(relay) => self.reach_home(to, number(&relay.datagram), relay.hops),
            body => self.feed(to, Event::Peer { from, body }),
        }
    }

    fn feed(&mut self, home: usize, event: Event) {
        if !self.homes[home].alive {
            return;
        }
        let now = self.instant();
        for action in self.homes[home].engine.handle(now, event) {
            self.act(home, action);
        }
    }

    fn hop(&self, home: usize, zone: usize) -> f64 {
        if self.homes[home].zone == zone {
            0.000_2
        } else {
            self.plan.hop
        }
    }

    fn act(&mut self, home: usize, action: Action) {
        match action {
            Action::Forward {
                server,
                attempt,
                remaining,
                datagram,
                ..
            } => {
                let IpAddr::V4(address) = server.address.0.ip() else {
                    return;
                };
                let server = address.octets()[3] as usize;
                let wait = self.hop(home, server_zone(&self.plan, server));
                let job = Job {
                    home,
                    attempt,
                    number: number(&datagram),
                    deadline: self.now + remaining.as_secs_f64(),
                };
                self.after(wait, What::ToServer { server, job });
            }
            Action::Reject { to, attempt, .. } => {
                if let IpAddr::V4(address) = to.0.ip() {
                    let server = address.octets()[3] as usize;
                    self.models[server].feeds.remove(&(home, attempt));
                }
            }
            Action::Answer { id, outcome, .. } => self.answered(id.0 as u64, outcome),
            Action::Acknowledge { id, .. } => {
                if let Some(call) = self.calls.get_mut(&(id.0 as u64)) {
                    call.told = true;
                }
            }
            Action::Notify {
                flow,
                token,
                message,
                confirmable,
                datagram,
                ..
            } => {
                self.notified(token.0 as u64, datagram);
                if confirmable {
                    let wait = 2.0 * self.plan.caller_hop;
                    self.after(
                        wait,
                        What::Receipt {
                            home,
                            flow,
                            message,
                        },
                    );
                }
            }
            Action::Peer { to, body } => {
                let found = self.homes.iter().position(|home| home.holder == to);
                if let Some(to) = found {
                    let wait = self.hop(home, self.homes[to].zone);
                    self.after(
                        wait,
                        What::Peer {
                            to,
                            from: home,
                            body,
                        },
                    );
                }
            }
            Action::TraceEvent(note) => self.measure.note(self.now >= self.plan.from, note.reason),
            Action::BackupSynced { .. } => {}
        }
    }

    fn probe(&mut self) {
        let now = self.instant();
        for home in self.homes.iter().filter(|home| home.alive) {
            for (server, model) in home.servers.iter().zip(&self.models) {
                match model.health {
                    Health::Silent => {}
                    Health::Foreign => server.revoke_confirmation(),
                    health => {
                        server.state().draining = health == Health::Draining;
                        server.confirm(now, CONFIRM_FOR);
                    }
                }
            }
        }
        self.after(PROBE_EVERY.as_secs_f64(), What::Probe);
    }

    fn beat(&mut self, home: usize) {
        self.after(BEAT_EVERY.as_secs_f64(), What::Beat(home));
        let Gossip::On { lag, lie } = self.plan.gossip else {
            return;
        };
        let factor = if home == 0 { lie } else { 1.0 };
        let told = |count: u32| (f64::from(count) * factor) as u32;
        let loads = self.homes[home].servers.iter().map(|server| {
            let state = server.state();
            (told(state.outstanding), told(state.feeds))
        });
        let loads = loads.collect();
        let wait = self.plan.hop + lag;
        self.after(wait, What::Loads { from: home, loads });
    }

    fn take_loads(&mut self, from: usize, loads: Vec<(u32, u32)>) {
        let live: Vec<bool> = self.homes.iter().map(|home| home.alive).collect();
        for (place, home) in self.homes.iter_mut().enumerate() {
            if place == from {
                continue;
            }
            home.loads.insert(from, loads.clone());
            for (number, server) in home.servers.iter().enumerate() {
                let heard = home.loads.iter().filter(|(peer, _)| live[**peer]);
                let sum = heard.fold((0, 0), |sum, (_, loads)| {
                    (sum.0 + loads[number].0, sum.1 + loads[number].1)
                });
                let mut state = server.state();
                (state.peer_outstanding, state.peer_feeds) = sum;
            }
        }
    }

    /// The instance dies; a second later others notice and its backups take over.
    pub(crate) fn kill(&mut self, home: usize) {
        self.homes[home].alive = false;
    }

    /// What the control tasks do once a dead instance is noticed.
    pub(crate) fn promote(&mut self, dead: usize) {
        let holder = self.homes[dead].holder.clone();
        self.noticed = Some(dead);
        self.tell_view();
        for slice in 0..SLICES {
            let row = self.table.row(id::Slice(slice)).clone();
            let epoch = id::Epoch(row.epoch.0 + 1);
            let survivor = self.homes[(dead + 1) % self.homes.len()].holder.clone();
            let next = if row.is_home(&holder) {
                let blank = row.backup.is_none();
                let home = row.backup.or(Some(survivor));
                Row {
                    epoch,
                    home,
                    backup: None,
                    records_lost: blank,
                }
            } else if row.is_backup(&holder) {
                Row {
                    epoch,
                    backup: None,
                    ..row
                }
            } else {
                continue;
            };
            self.table.update_if_newer(id::Slice(slice), next);
        }
        self.tell_table();
    }

    fn sample(&mut self) {
        let up = self.models.iter().filter(|model| model.up);
        let loads: Vec<(usize, usize)> = up
            .map(|model| (model.outstanding(), model.feeds()))
            .collect();
        self.measure.sample(self.now, &loads);
        self.after(SAMPLE_EVERY.as_secs_f64(), What::Sample);
    }

    fn finish(mut self) -> Measure {
        const STALL: f64 = 10.0;
        let from = self.plan.from;
        for call in self.calls.values() {
            let once = call.kind.is_non_idempotent();
            self.measure.doubles += u64::from(once && call.runs > 1);
            self.measure.lies += u64::from(once && call.refused && call.runs > 0);
            let young = call.wanted > self.plan.length - 20.0;
            let counted = call.kind != Kind::OpenFeed && call.wanted >= from && !young;
            self.measure.silent += u64::from(counted && !call.done);
        }
        for watcher in self.watchers.values().filter(|watcher| watcher.open) {
            let gap = watcher.gap.max(self.plan.length - watcher.seen);
            self.measure.feeds_stalled += u64::from(gap > STALL);
        }
        self.measure.feeds_open = self.watchers.len() as u64;
        self.measure
    }
}

fn new_home(plan: &Plan, home: usize, seed: u64) -> Home {
    let zone = home % plan.zones.len();
    let holder = id::Holder {
        instance: format!("entry-{home}").parse().expect("a name"),
        incarnation: id::Incarnation(1),
    };
    let servers: Vec<Arc<Server>> = (0..plan.servers)
        .map(|server| Arc::new(new_server(plan, server)))
        .collect();
    let settings = Settings {
        me: holder.clone(),
        zone: plan.zones[zone].parse().expect("a name"),
        worker: 0,
        workers: 1,
        hash_key: 7,
        max_parked: 10_000,
        max_flows: 1_000_000,
        seed: seed.wrapping_mul(1_000).wrapping_add(home as u64),
    };
    let chosen = Service {
        id: service(),
        profile_id: "live-feed".parse().expect("a name"),
        revision: id::Revision(1),
        profile: Arc::new(plan.profile.clone()),
        servers: servers.clone(),
    };
    let mut engine = Engine::new(settings);
    let snapshot = Snapshot {
        services: HashMap::from([(service(), Arc::new(chosen))]),
    };
    engine.handle(Instant::now(), Event::Snapshot(Arc::new(snapshot)));
    Home {
        engine,
        holder,
        zone,
        servers,
        alive: true,
        loads: HashMap::new(),
    }
}
