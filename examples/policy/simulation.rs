//! Discrete-event simulation of real engines with model servers, callers and clock.
//!
//! The simulation makes no balancing decisions: it delivers messages after their one-way
//! delays. Servers have slots and a queue; callers retransmit and retry as CoAP requires.

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

use crate::measure::Measurements;
use crate::simulation::caller::Call;
use crate::simulation::caller::FeedObserver;
use crate::simulation::caller::call_number;
use crate::simulation::event::ScheduledEvent;
use crate::simulation::event::SimulationEvent;
use crate::simulation::server::Job;
use crate::simulation::server::new_server;

pub(crate) use plan::Fault;
pub(crate) use plan::Health;
pub(crate) use plan::LoadReports;
pub(crate) use plan::Plan;
pub(crate) use server::ServerModel;

const SLICES: u32 = 256;
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(1_500);
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// One entry instance.
pub(crate) struct Instance {
    engine: Engine,
    holder: id::Holder,
    zone: usize,
    pub(crate) servers: Vec<Arc<Server>>,
    pub(crate) alive: bool,
    loads: HashMap<usize, Vec<(u32, u32)>>,
}

/// State of one run.
pub(crate) struct Simulation {
    plan: Plan,
    start: Instant,
    pub(crate) now: f64,
    sequence: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) models: Vec<ServerModel>,
    table: Table,
    calls: HashMap<u64, Call>,
    feed_observers: HashMap<u64, FeedObserver>,
    next_call: u64,
    rng: SmallRng,
    measure: Measurements,
    /// The dead instance whose failure has been detected.
    detected_dead: Option<usize>,
}

fn service() -> id::Service {
    "dispatch".parse().expect("a valid id")
}

fn endpoint(net: u8, number: u64) -> id::Endpoint {
    let [.., a, b, c] = number.to_be_bytes();
    id::Endpoint((Ipv4Addr::new(net, a, b, c), 5683).into())
}

fn server_zone(plan: &Plan, server: usize) -> usize {
    server % plan.zones.len()
}

fn membership_view(
    holders: &[id::Holder],
    alive: &dyn Fn(usize) -> bool,
    until: Instant,
) -> MembershipView {
    let live = holders
        .iter()
        .enumerate()
        .filter(|(instance, _)| alive(*instance));
    MembershipView {
        live: live
            .map(|(_, holder)| holder.clone())
            .collect::<HashSet<_>>(),
        known: Default::default(),
        authority_until: Some(until),
    }
}

impl Simulation {
    /// Creates a deployment and schedules its first events.
    pub(crate) fn new(plan: Plan, seed: u64) -> Self {
        let start = Instant::now();
        let models = (0..plan.servers).map(|_| ServerModel {
            up: true,
            health: Health::Up,
            runs_service: true,
            slowdown: 1.0,
            answer_loss: 0.0,
            cold_since: None,
            server_run: 0,
            busy_slots: 0,
            queue: Default::default(),
            feeds: HashMap::new(),
        });
        let mut simulation = Self {
            start,
            now: 0.0,
            sequence: 0,
            queue: BinaryHeap::new(),
            instances: (0..plan.instances)
                .map(|instance| new_instance(&plan, instance, seed))
                .collect(),
            models: models.collect(),
            table: Table::new(SLICES),
            calls: HashMap::new(),
            feed_observers: HashMap::new(),
            next_call: 0,
            rng: SmallRng::seed_from_u64(seed),
            measure: Measurements::new(plan.slots as usize),
            detected_dead: None,
            plan,
        };
        simulation.assign();
        simulation.schedule_initial_events();
        simulation
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn assign(&mut self) {
        let instances = self.plan.instances;
        for slice in 0..SLICES {
            let instance = slice as usize % instances;
            // Instances with consecutive numbers are in different zones.
            let backup =
                (instance + 1 + (slice as usize / instances) % (instances - 1)) % instances;
            let row = Row {
                epoch: id::Epoch(1),
                home: Some(self.instances[instance].holder.clone()),
                backup: self
                    .plan
                    .has_backup
                    .then(|| self.instances[backup].holder.clone()),
                records_lost: false,
            };
            self.table.update_if_newer(id::Slice(slice), row);
        }
        self.publish_table();
        self.publish_view();
    }

    fn publish_table(&mut self) {
        let table = Arc::new(self.table.clone());
        for instance in 0..self.instances.len() {
            self.handle_event(instance, Event::Table(Arc::clone(&table)));
        }
    }

    pub(crate) fn publish_view(&mut self) {
        let holders: Vec<_> = self
            .instances
            .iter()
            .map(|instance| instance.holder.clone())
            .collect();
        let alive: Vec<bool> = self
            .instances
            .iter()
            .map(|instance| instance.alive)
            .collect();
        let until = self.start + Duration::from_secs(100_000);
        let view = Arc::new(membership_view(
            &holders,
            &|instance| alive[instance],
            until,
        ));
        for instance in 0..self.instances.len() {
            self.handle_event(instance, Event::Membership(Arc::clone(&view)));
        }
    }

    fn schedule_initial_events(&mut self) {
        self.schedule_at(0.0, SimulationEvent::Probe);
        self.schedule_at(0.001, SimulationEvent::Tick);
        self.schedule_at(0.1, SimulationEvent::Arrival);
        self.schedule_at(self.plan.measure_from, SimulationEvent::Sample);
        for instance in 0..self.instances.len() {
            let offset = instance as f64 / self.instances.len() as f64;
            self.schedule_at(
                0.2 + offset * LOAD_REPORT_INTERVAL.as_secs_f64(),
                SimulationEvent::SendLoads(instance),
            );
        }
        for fault in 0..self.plan.faults.len() {
            self.schedule_at(self.plan.faults[fault].0, SimulationEvent::Fault(fault));
        }
        for feed in 0..self.plan.feeds {
            let at = 0.2 + 3.0 * feed as f64 / self.plan.feeds as f64;
            let event = SimulationEvent::Call {
                caller: feed as u64,
                kind: Kind::OpenFeed,
                issued_at: at,
                caller_retries: 0,
            };
            self.schedule_at(at, event);
        }
    }

    fn schedule_at(&mut self, at: f64, event: SimulationEvent) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.queue.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    fn schedule_after(&mut self, wait: f64, event: SimulationEvent) {
        self.schedule_at(self.now + wait, event);
    }

    /// Runs the simulation to its end and returns the measurements.
    pub(crate) fn run(mut self) -> Measurements {
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > self.plan.duration {
                break;
            }
            self.now = scheduled.at;
            self.process(scheduled.event);
        }
        self.finish()
    }

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.arrival(),
            SimulationEvent::RequestAtInstance {
                instance,
                number,
                hops,
            } => self.receive_at_instance(instance, number, hops),
            SimulationEvent::Peer { to, from, body } => {
                let from = self.instances[from].holder.clone();
                self.receive_from_peer(to, from, body);
            }
            SimulationEvent::RequestAtServer { server, job } => self.receive_at_server(server, job),
            SimulationEvent::JobFinished {
                server,
                server_run,
                job,
            } => self.finish_job(server, server_run, job),
            SimulationEvent::AnswerAtInstance {
                instance,
                server,
                attempt,
                answer,
            } => {
                let from = endpoint(11, server as u64);
                self.handle_event(
                    instance,
                    Event::Answer {
                        from,
                        attempt,
                        answer,
                    },
                );
            }
            SimulationEvent::Notify {
                server,
                server_run,
                instance,
                attempt,
            } => {
                self.notify(server, server_run, instance, attempt);
            }
            SimulationEvent::Receipt {
                instance,
                flow,
                message,
            } => self.receipt(instance, flow, message),
            SimulationEvent::Retransmission(number) => self.retransmit(number),
            SimulationEvent::Call {
                caller,
                kind,
                issued_at,
                caller_retries,
            } => {
                self.issue_call(caller, kind, issued_at, caller_retries);
            }
            SimulationEvent::Tick => {
                for instance in 0..self.instances.len() {
                    self.handle_event(instance, Event::Tick);
                }
                self.schedule_after(TICK_INTERVAL.as_secs_f64(), SimulationEvent::Tick);
            }
            SimulationEvent::Probe => self.probe(),
            SimulationEvent::SendLoads(instance) => self.send_loads(instance),
            SimulationEvent::ReceiveLoads { from, loads } => self.receive_loads(from, loads),
            SimulationEvent::Sample => self.sample(),
            SimulationEvent::Fault(fault) => {
                let fault = Arc::clone(&self.plan.faults[fault].1);
                fault(self);
            }
        }
    }

    fn receive_at_instance(&mut self, instance: usize, number: u64, hops: u32) {
        if let Some(request) = self.request(number) {
            self.handle_event(instance, Event::Request { request, hops });
        }
    }

    fn receive_from_peer(&mut self, to: usize, from: id::Holder, body: PeerMessage) {
        match body {
            PeerMessage::Relay(relay) => {
                self.receive_at_instance(to, call_number(&relay.datagram), relay.hops)
            }
            body => self.handle_event(to, Event::Peer { from, body }),
        }
    }

    fn handle_event(&mut self, instance: usize, event: Event) {
        if !self.instances[instance].alive {
            return;
        }
        let now = self.instant();
        for action in self.instances[instance].engine.handle(now, event) {
            self.perform(instance, action);
        }
    }

    fn one_way_delay(&self, instance: usize, zone: usize) -> f64 {
        if self.instances[instance].zone == zone {
            0.000_2
        } else {
            self.plan.zone_delay
        }
    }

    fn perform(&mut self, instance: usize, action: Action) {
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
                let wait = self.one_way_delay(instance, server_zone(&self.plan, server));
                let job = Job {
                    instance,
                    attempt,
                    number: call_number(&datagram),
                    deadline: self.now + remaining.as_secs_f64(),
                };
                self.schedule_after(wait, SimulationEvent::RequestAtServer { server, job });
            }
            Action::Reject { to, attempt, .. } => {
                if let IpAddr::V4(address) = to.0.ip() {
                    let server = address.octets()[3] as usize;
                    self.models[server].feeds.remove(&(instance, attempt));
                }
            }
            Action::Answer { id, outcome, .. } => self.answered(id.0 as u64, outcome),
            Action::Acknowledge { id, .. } => {
                if let Some(call) = self.calls.get_mut(&(id.0 as u64)) {
                    call.acknowledged = true;
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
                    let wait = 2.0 * self.plan.caller_delay;
                    self.schedule_after(
                        wait,
                        SimulationEvent::Receipt {
                            instance,
                            flow,
                            message,
                        },
                    );
                }
            }
            Action::Peer { to, body } => {
                let index = self
                    .instances
                    .iter()
                    .position(|instance| instance.holder == to);
                if let Some(to) = index {
                    let wait = self.one_way_delay(instance, self.instances[to].zone);
                    self.schedule_after(
                        wait,
                        SimulationEvent::Peer {
                            to,
                            from: instance,
                            body,
                        },
                    );
                }
            }
            Action::TraceEvent(event) => self
                .measure
                .count_reason(self.now >= self.plan.measure_from, event.reason),
            Action::BackupSynced { .. } => {}
        }
    }

    fn probe(&mut self) {
        let now = self.instant();
        for instance in self.instances.iter().filter(|instance| instance.alive) {
            for (server, model) in instance.servers.iter().zip(&self.models) {
                match model.health {
                    Health::Silent => {}
                    Health::OtherService => server.revoke_confirmation(),
                    health => {
                        server.state().draining = health == Health::Draining;
                        server.confirm(now, CONFIRMATION_LIFETIME);
                    }
                }
            }
        }
        self.schedule_after(PROBE_INTERVAL.as_secs_f64(), SimulationEvent::Probe);
    }

    fn send_loads(&mut self, instance: usize) {
        self.schedule_after(
            LOAD_REPORT_INTERVAL.as_secs_f64(),
            SimulationEvent::SendLoads(instance),
        );
        let LoadReports::On { lag, factor } = self.plan.load_reports else {
            return;
        };
        let factor = if instance == 0 { factor } else { 1.0 };
        let reported = |count: u32| (f64::from(count) * factor) as u32;
        let loads = self.instances[instance].servers.iter().map(|server| {
            let state = server.state();
            (reported(state.outstanding), reported(state.feeds))
        });
        let loads = loads.collect();
        let wait = self.plan.zone_delay + lag;
        self.schedule_after(
            wait,
            SimulationEvent::ReceiveLoads {
                from: instance,
                loads,
            },
        );
    }

    fn receive_loads(&mut self, from: usize, loads: Vec<(u32, u32)>) {
        let live: Vec<bool> = self
            .instances
            .iter()
            .map(|instance| instance.alive)
            .collect();
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if index == from {
                continue;
            }
            instance.loads.insert(from, loads.clone());
            for (number, server) in instance.servers.iter().enumerate() {
                let live_loads = instance.loads.iter().filter(|(peer, _)| live[**peer]);
                let sum = live_loads.fold((0, 0), |sum, (_, loads)| {
                    (sum.0 + loads[number].0, sum.1 + loads[number].1)
                });
                let mut state = server.state();
                (state.peer_outstanding, state.peer_feeds) = sum;
            }
        }
    }

    /// Kills an instance. The others do not react before `promote`.
    pub(crate) fn kill(&mut self, instance: usize) {
        self.instances[instance].alive = false;
    }

    /// Does the work of the control tasks after they detect that an instance is dead: its
    /// backups become home of its slices.
    pub(crate) fn promote(&mut self, dead: usize) {
        let holder = self.instances[dead].holder.clone();
        self.detected_dead = Some(dead);
        self.publish_view();
        for slice in 0..SLICES {
            let row = self.table.row(id::Slice(slice)).clone();
            let epoch = id::Epoch(row.epoch.0 + 1);
            let survivor = self.instances[(dead + 1) % self.instances.len()]
                .holder
                .clone();
            let next_row = if row.is_home(&holder) {
                let records_lost = row.backup.is_none();
                let home = row.backup.or(Some(survivor));
                Row {
                    epoch,
                    home,
                    backup: None,
                    records_lost,
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
            self.table.update_if_newer(id::Slice(slice), next_row);
        }
        self.publish_table();
    }

    fn sample(&mut self) {
        let up = self.models.iter().filter(|model| model.up);
        let loads: Vec<(usize, usize)> = up
            .map(|model| (model.outstanding(), model.feeds()))
            .collect();
        self.measure.sample(self.now, &loads);
        self.schedule_after(SAMPLE_INTERVAL.as_secs_f64(), SimulationEvent::Sample);
    }

    fn finish(mut self) -> Measurements {
        const STALL_SECONDS: f64 = 10.0;
        let from = self.plan.measure_from;
        for call in self.calls.values() {
            let is_non_idempotent = call.kind.is_non_idempotent();
            self.measure.run_twice += u64::from(is_non_idempotent && call.runs > 1);
            self.measure.run_despite_refusal +=
                u64::from(is_non_idempotent && call.refused && call.runs > 0);
            let is_too_recent = call.issued_at > self.plan.duration - 20.0;
            let is_counted =
                call.kind != Kind::OpenFeed && call.issued_at >= from && !is_too_recent;
            self.measure.silent += u64::from(is_counted && !call.done);
        }
        for observer in self
            .feed_observers
            .values()
            .filter(|observer| observer.is_open)
        {
            let longest_gap = observer
                .longest_gap
                .max(self.plan.duration - observer.last_notification);
            self.measure.feeds_stalled += u64::from(longest_gap > STALL_SECONDS);
        }
        self.measure.feeds_open = self.feed_observers.len() as u64;
        self.measure
    }
}

fn new_instance(plan: &Plan, instance: usize, seed: u64) -> Instance {
    let zone = instance % plan.zones.len();
    let holder = id::Holder {
        instance: format!("entry-{instance}").parse().expect("a valid id"),
        incarnation: id::Incarnation(1),
    };
    let servers: Vec<Arc<Server>> = (0..plan.servers)
        .map(|server| Arc::new(new_server(plan, server)))
        .collect();
    let settings = Settings {
        me: holder.clone(),
        zone: plan.zones[zone].parse().expect("a valid id"),
        worker: 0,
        workers: 1,
        hash_key: 7,
        max_parked: 10_000,
        max_flows: 1_000_000,
        seed: seed.wrapping_mul(1_000).wrapping_add(instance as u64),
    };
    let snapshot_service = Service {
        id: service(),
        profile_id: "live-feed".parse().expect("a valid id"),
        revision: id::Revision(1),
        profile: Arc::new(plan.profile.clone()),
        servers: servers.clone(),
    };
    let mut engine = Engine::new(settings);
    let snapshot = Snapshot {
        services: HashMap::from([(service(), Arc::new(snapshot_service))]),
    };
    engine.handle(Instant::now(), Event::Snapshot(Arc::new(snapshot)));
    Instance {
        engine,
        holder,
        zone,
        servers,
        alive: true,
        loads: HashMap::new(),
    }
}
