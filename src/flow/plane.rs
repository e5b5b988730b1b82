//! One instance's decisions about packets.

mod account;
mod carry;
mod ending;
mod opening;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::flow::Directory;
use crate::flow::DropReason;
use crate::flow::FlowEvent;
use crate::flow::FlowKey;
use crate::flow::Peer;
use crate::flow::Refusal;
use crate::flow::RoundTrip;
use crate::flow::Routes;
use crate::flow::Segment;
use crate::flow::Server;
use crate::flow::ServerOutcomes;
use crate::flow::StoreContact;
use crate::flow::Target;
use crate::flow::Timing;
use crate::flow::choice;
use crate::flow::choice::Choice;
use crate::flow::choice::Question;
use crate::flow::directory::Slot;
use crate::flow::plane::ending::Watch;
use crate::flow::table::Flow;
use crate::flow::table::Opening;
use crate::flow::table::Table;
use crate::id;

/// Notes kept until they are taken; more are counted only.
const MOST_NOTES: usize = 512;

/// What the decisions depend on.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests a slot by which a server of another zone must be less loaded
    /// than this zone's to get a new flow.
    pub spill: f64,
    /// Longest life of a flow.
    pub flow_ttl: Duration,
    /// Silence after which a flow is forgotten while no configuration says.
    pub idle_timeout: Duration,
    /// Flows remembered at most.
    pub max_flows: usize,
    /// Seed of the choices.
    pub seed: u64,
}

/// Something learned from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StateUpdate {
    /// All servers there are.
    Servers {
        /// Their entries.
        listed: Vec<Server>,
        /// Servers whose entries could not be read; they stay as they are.
        unreadable: Vec<id::Server>,
    },
    /// One server's entry was written.
    Server(Server),
    /// One server's entry cannot be read.
    ServerUnreadable(id::Server),
    /// One server's entry is gone.
    ServerRemoved(id::Server),
    /// A configuration.
    Routes(Routes),
    /// Operators have evacuated a zone.
    ZoneEvacuated(id::Zone),
    /// Operators have taken a zone back.
    ZoneRestored(id::Zone),
    /// All zones that are evacuated.
    EvacuatedZones(BTreeSet<id::Zone>),
    /// The instances that share the callers.
    Peers(Vec<Peer>),
    /// What the instances of this zone counted against servers.
    ZoneOutcomes(Vec<ServerOutcomes>),
    /// The store has answered.
    StoreContact(StoreContact),
    /// The store does not answer.
    StoreUnreachable,
}

/// What is to be done with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on, with the target's tag.
    Forward(Target),
    /// Reset the flow.
    Reset,
    /// Nothing.
    Drop(DropReason),
}

/// An opening packet that goes to a further server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resend {
    /// The packet as it came.
    pub packet: Vec<u8>,
    /// The server.
    pub target: Target,
}

/// State of the decisions.
#[derive(Debug)]
pub struct DataPlane {
    options: Options,
    directory: Directory,
    routes: Option<Routes>,
    has_servers: bool,
    /// Instances that share this zone's callers, this one included.
    neighbours: usize,
    table: Table,
    /// When handshakes are due, earliest first; ones that are over stay until then.
    due: BinaryHeap<Reverse<(Instant, FlowKey)>>,
    /// New flows of the last moments, oldest first.
    openings: VecDeque<(Instant, FlowKey)>,
    /// Requests in progress, the first due first.
    watches: VecDeque<Watch>,
    round_trip: RoundTrip,
    /// When a packet of an open flow last came.
    heard: Option<Instant>,
    /// When a packet last came of a flow that had opened elsewhere.
    turned: Option<Instant>,
    swept: Option<Instant>,
    random: SmallRng,
    notes: Vec<FlowEvent>,
    timings: Vec<Timing>,
    /// Notes that found no room since they were last taken.
    omitted: u64,
}

impl DataPlane {
    /// A plane that knows nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            directory: Directory::new(
                options.instance.clone(),
                options.zone.clone(),
                options.flow_ttl,
            ),
            routes: None,
            has_servers: false,
            neighbours: 1,
            table: Table::new(options.max_flows),
            due: BinaryHeap::new(),
            openings: VecDeque::new(),
            watches: VecDeque::new(),
            round_trip: RoundTrip::default(),
            heard: None,
            turned: None,
            swept: None,
            random: SmallRng::seed_from_u64(options.seed),
            notes: Vec::new(),
            timings: Vec::new(),
            omitted: 0,
            options,
        }
    }

    /// Takes in what the store says. `false` when it is older than what is known.
    pub fn apply(&mut self, now: Instant, belief: StateUpdate) -> bool {
        match belief {
            StateUpdate::Servers { listed, unreadable } => {
                self.has_servers = true;
                self.directory.replace(now, listed, unreadable);
            }
            StateUpdate::Server(server) => return self.directory.put(now, server),
            StateUpdate::ServerUnreadable(server) => self.directory.mark_unreadable(&server),
            StateUpdate::ServerRemoved(server) => self.directory.remove(now, &server),
            StateUpdate::Routes(routes) => return self.configure(routes),
            StateUpdate::ZoneEvacuated(zone) => {
                return self.directory.evacuate(now, |e| e.begin(now, zone));
            }
            StateUpdate::ZoneRestored(zone) => {
                return self.directory.evacuate(now, |e| e.end(&zone));
            }
            StateUpdate::EvacuatedZones(all) => {
                return self.directory.evacuate(now, |e| e.replace(now, all));
            }
            StateUpdate::ZoneOutcomes(told) => self.directory.hear(now, &told),
            StateUpdate::Peers(peers) => self.meet(peers),
            StateUpdate::StoreContact(contact) => self.directory.note_contact(contact),
            StateUpdate::StoreUnreachable => self.directory.note_silence(),
        }
        true
    }

    /// A configuration that is no newer is refused: going back, if only for a
    /// moment, would send new flows by routes that the operators have withdrawn.
    fn configure(&mut self, routes: Routes) -> bool {
        let known = self.routes.as_ref().map(|routes| routes.version);
        let is_newer = known.is_none_or(|known| routes.version > known);
        if is_newer {
            self.directory.set_warmups(routes.warmups.clone());
            self.routes = Some(routes);
        }
        is_newer
    }

    /// Takes over who shares the callers; this instance does even if its own entry
    /// has lapsed.
    fn meet(&mut self, mut peers: Vec<Peer>) {
        let me = Peer {
            instance: self.options.instance.clone(),
            zone: self.options.zone.clone(),
        };
        if !peers.contains(&me) {
            peers.push(me);
        }
        let is_near = |peer: &&Peer| peer.zone == self.options.zone;
        self.neighbours = peers.iter().filter(is_near).count();
        self.directory.set_peers(peers);
    }

    /// Changes the margin of servers in other zones.
    pub fn set_spill(&mut self, spill: f64) {
        self.options.spill = spill;
    }

    /// Whether enough is known to serve callers.
    pub fn is_ready(&self) -> bool {
        self.has_servers && self.routes.is_some()
    }

    /// Version of the configuration, 0 before the first.
    pub fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// The servers known.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// What this instance counted against servers, the worst first.
    pub fn server_outcomes(&self, now: Instant) -> Vec<ServerOutcomes> {
        self.directory.server_outcomes(now)
    }

    /// Flows remembered.
    pub fn flows(&self) -> usize {
        self.table.len()
    }

    /// How handshakes go.
    pub fn round_trip(&self) -> RoundTrip {
        self.round_trip
    }

    /// Takes the notes since the last time, and how many found no room.
    pub fn take_events(&mut self) -> (Vec<FlowEvent>, u64) {
        let omitted = std::mem::take(&mut self.omitted);
        (std::mem::take(&mut self.notes), omitted)
    }

    /// Takes the times measured since the last time.
    pub fn take_timings(&mut self) -> Vec<Timing> {
        std::mem::take(&mut self.timings)
    }

    fn note(&mut self, note: FlowEvent) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push(note);
        } else {
            self.omitted += 1;
        }
    }

    /// Decides about a packet; `packet` is what to send again if it opens a flow.
    pub fn receive(&mut self, now: Instant, segment: &Segment, packet: &[u8]) -> Verdict {
        let verdict = if segment.opens() {
            self.receive_opening(now, segment, packet)
        } else if segment.flags.syn {
            Verdict::Drop(DropReason::ServerSide)
        } else {
            self.receive_later(now, segment)
        };
        if let Verdict::Drop(reason) = verdict {
            let flow_key = segment.flow_key;
            self.note(FlowEvent::Dropped { flow_key, reason });
        }
        verdict
    }

    fn receive_opening(&mut self, now: Instant, segment: &Segment, packet: &[u8]) -> Verdict {
        if let Some(key) = self.table.find(&segment.flow_key) {
            let known = self.table.get(key).and_then(|flow| flow.first_seq);
            if known == Some(segment.seq) {
                return self.receive_copy(now, key);
            }
            self.close(key);
        }
        let Some(routes) = &self.routes else {
            return Verdict::Drop(DropReason::NoView);
        };
        let version = routes.version;
        let Some(route) = routes.by_address.get(&segment.flow_key.service) else {
            return self.refuse(segment.flow_key, Refusal::NoRoute, version);
        };
        let Some(service) = route.service(&segment.flow_key).cloned() else {
            return Verdict::Drop(DropReason::NoWeight);
        };
        let refusing = self.abandoned(now, &segment.flow_key);
        let choice = self
            .choose(now, &service, &refusing)
            .or_else(|| self.choose(now, &service, &[]));
        match choice {
            Some(choice) => self.place(now, segment, packet, choice),
            None if choice::is_spent(&self.directory, &service, now) => {
                // The caller's copy, in a moment, costs it none of its tries.
                Verdict::Drop(DropReason::Cold)
            }
            None if self.has_servers => {
                let reason = match choice::is_evacuated(&self.directory, &service) {
                    true => Refusal::Evacuated,
                    false => Refusal::NoServer,
                };
                self.refuse(segment.flow_key, reason, version)
            }
            None => Verdict::Drop(DropReason::NoView),
        }
    }

    fn refuse(&mut self, flow_key: FlowKey, reason: Refusal, version: u64) -> Verdict {
        self.note(FlowEvent::Refused {
            flow_key,
            reason,
            version,
        });
        Verdict::Reset
    }

    fn choose(&mut self, now: Instant, service: &id::Service, tried: &[Slot]) -> Option<Choice> {
        let question = Question {
            service,
            tried,
            spill: self.options.spill,
            neighbours: self.neighbours,
            now,
        };
        choice::choose(&self.directory, &question, &mut self.random)
    }

    fn place(&mut self, now: Instant, segment: &Segment, packet: &[u8], choice: Choice) -> Verdict {
        let Some(record) = self.directory.get(choice.slot) else {
            return Verdict::Drop(DropReason::NoView);
        };
        let target = record.target();
        let note = FlowEvent::Placed {
            flow_key: segment.flow_key,
            server: record.server.id.clone(),
            is_remote: record.server.zone != self.options.zone,
            outstanding: record.outstanding,
            candidates: choice.candidates,
            version: self.version(),
        };
        self.note(note);
        self.directory.take_share(choice.slot, now);
        if self.table.has_room() {
            let due = now + self.round_trip.wait();
            let opening = Opening {
                tried: vec![choice.slot],
                sent: now,
                due,
                packet: packet.to_vec(),
            };
            let flow = Flow::opening(segment, opening, now);
            self.table.insert(flow);
            self.count_flow(choice.slot);
            self.due.push(Reverse((due, segment.flow_key)));
            self.openings.push_back((now, segment.flow_key));
        }
        Verdict::Forward(target)
    }
}
