//! Forwarding decisions of one instance.

mod accounting;
mod established;
mod handshake;
mod queueing;
mod requests;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::flow::Balancing;
use crate::flow::Directory;
use crate::flow::DropReason;
use crate::flow::FlowEvent;
use crate::flow::FlowKey;
use crate::flow::OpeningOutcome;
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
use crate::flow::choice::Criteria;
use crate::flow::load::opening::OpeningCounts;
use crate::flow::plane::queueing::Control;
use crate::flow::plane::requests::PendingRequest;
use crate::flow::record::ServerHandle;
use crate::flow::table::Attempt;
use crate::flow::table::Flow;
use crate::flow::table::Opening;
use crate::flow::table::Table;
use crate::id;

/// Events buffered until they are taken; further ones are only counted.
const MAX_EVENTS: usize = 512;

/// Settings of the forwarding decisions.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Availability zone of this instance.
    pub zone: id::Zone,
    /// Load per slot by which a server of another zone must be less loaded than this zone's
    /// servers to get a new flow.
    pub spill: f64,
    /// Which decisions under load are switched on.
    pub balancing: Balancing,
    /// Maximum lifetime of a flow.
    pub flow_ttl: Duration,
    /// Idle timeout of a flow until a configuration specifies one.
    pub idle_timeout: Duration,
    /// Maximum number of tracked flows.
    pub max_flows: usize,
    /// Seed of the random server selection.
    pub seed: u64,
}

/// A change of the state on which the forwarding decisions depend.
#[derive(Clone, Debug, PartialEq)]
pub enum StateUpdate {
    /// The complete list of servers.
    Servers {
        /// The readable entries.
        listed: Vec<Server>,
        /// Servers whose entries cannot be parsed; their last known state is kept.
        unreadable: Vec<id::Server>,
    },
    /// Some of the servers, while the first list is being read. The complete list follows.
    SomeServers(Vec<Server>),
    /// A server's entry was written.
    Server(Server),
    /// A server's entry cannot be parsed.
    ServerUnreadable(id::Server),
    /// A server's entry was removed.
    ServerRemoved(id::Server),
    /// A new configuration.
    Routes(Routes),
    /// Operators have evacuated a zone.
    ZoneEvacuated(id::Zone),
    /// Operators have ended the evacuation of a zone.
    ZoneRestored(id::Zone),
    /// The complete set of evacuated zones.
    EvacuatedZones(BTreeSet<id::Zone>),
    /// The instances that share the callers.
    Peers(Vec<Peer>),
    /// Request outcomes that the instances of this zone counted at servers.
    ZoneOutcomes(Vec<ServerOutcomes>),
    /// The store has answered.
    StoreContact(StoreContact),
    /// The store was restored from an older copy. A list of all servers follows.
    StoreRestored,
    /// The store does not answer.
    StoreUnreachable,
}

/// Decision about a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the packet with the target's tag.
    Forward(Target),
    /// Reset the flow.
    Reset,
    /// Drop the packet.
    Drop(DropReason),
    /// The opening waits for capacity; [`DataPlane::expire`] returns its outcome.
    Wait,
}

/// A SYN to be sent to a further server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resend {
    /// The packet as received.
    pub packet: Vec<u8>,
    /// The further server.
    pub target: Target,
}

/// Packets to be sent after timers have expired.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// SYNs for further servers, and queued ones that have been placed.
    pub resends: Vec<Resend>,
    /// Queued openings to be reset. None of them was forwarded.
    pub resets: Vec<Segment>,
}

/// Decides about packets, and keeps the state that this requires.
#[derive(Debug)]
pub struct DataPlane {
    options: Options,
    directory: Directory,
    routes: Option<Routes>,
    /// Whether the complete list of servers is known.
    has_servers: bool,
    /// Whether at least some servers are known.
    has_some_servers: bool,
    /// Instances that share this zone's callers, including this one.
    zone_instances: usize,
    /// Instances of all zones, including this one.
    all_instances: usize,
    control: Control,
    table: Table,
    /// Deadlines of handshakes, earliest first; those of completed handshakes stay until
    /// they expire.
    handshake_deadlines: BinaryHeap<Reverse<(Instant, FlowKey)>>,
    /// Recent new flows, oldest first.
    recent_openings: VecDeque<(Instant, FlowKey)>,
    /// Requests in progress, ordered by deadline.
    pending_requests: VecDeque<PendingRequest>,
    round_trip: RoundTrip,
    /// When a packet of an open flow was last received.
    last_packet: Option<Instant>,
    /// When a packet was last received of a flow that was opened at another instance.
    last_adoption: Option<Instant>,
    last_sweep: Option<Instant>,
    random: SmallRng,
    events: Vec<FlowEvent>,
    timings: Vec<Timing>,
    openings: OpeningCounts,
    /// Events that exceeded the buffer since they were last taken.
    omitted: u64,
}

impl DataPlane {
    /// Creates a plane without servers and routes.
    pub fn new(options: Options) -> Self {
        let mut directory = Directory::new(
            options.instance.clone(),
            options.zone.clone(),
            options.flow_ttl,
        );
        directory.set_balancing(options.balancing);
        Self {
            directory,
            routes: None,
            has_servers: false,
            has_some_servers: false,
            zone_instances: 1,
            all_instances: 1,
            control: Control::default(),
            table: Table::new(options.max_flows),
            handshake_deadlines: BinaryHeap::new(),
            recent_openings: VecDeque::new(),
            pending_requests: VecDeque::new(),
            round_trip: RoundTrip::default(),
            last_packet: None,
            last_adoption: None,
            last_sweep: None,
            random: SmallRng::seed_from_u64(options.seed),
            events: Vec::new(),
            timings: Vec::new(),
            openings: OpeningCounts::default(),
            omitted: 0,
            options,
        }
    }

    /// Applies a state update. Returns `false` if it is older than the current state.
    pub fn apply(&mut self, now: Instant, update: StateUpdate) -> bool {
        if !matches!(update, StateUpdate::StoreContact(_)) {
            self.control.note_change();
        }
        match update {
            StateUpdate::Servers { listed, unreadable } => {
                self.has_servers = true;
                self.directory.replace(now, listed, unreadable);
            }
            StateUpdate::SomeServers(servers) => {
                self.has_some_servers |= !servers.is_empty();
                self.directory.add_listed(now, servers);
            }
            StateUpdate::Server(server) => return self.put_server(now, server),
            StateUpdate::ServerUnreadable(server) => self.directory.mark_unreadable(&server),
            StateUpdate::ServerRemoved(server) => self.directory.remove(now, &server),
            StateUpdate::Routes(routes) => return self.set_routes(routes),
            StateUpdate::ZoneEvacuated(zone) => {
                return self
                    .directory
                    .change_evacuation(now, |e| e.begin(now, zone));
            }
            StateUpdate::ZoneRestored(zone) => {
                return self.directory.change_evacuation(now, |e| e.end(&zone));
            }
            StateUpdate::EvacuatedZones(all) => {
                return self
                    .directory
                    .change_evacuation(now, |e| e.replace(now, all));
            }
            StateUpdate::ZoneOutcomes(outcomes) => {
                self.directory.apply_zone_outcomes(now, &outcomes)
            }
            StateUpdate::Peers(peers) => self.set_peers(peers),
            StateUpdate::StoreContact(contact) => self.directory.note_contact(contact),
            StateUpdate::StoreRestored => self.directory.note_restored(),
            StateUpdate::StoreUnreachable => self.directory.note_unreachable(),
        }
        true
    }

    fn put_server(&mut self, now: Instant, server: Server) -> bool {
        let is_current = self.directory.put(now, server);
        for claim in self.directory.take_new_claims() {
            self.record_event(FlowEvent::AddressClaimed {
                server: claim.claimant,
                known: claim.known,
            });
        }
        is_current
    }

    /// Ignores a configuration that is not newer: even a short return to an older version
    /// would use routes that the operators have withdrawn.
    fn set_routes(&mut self, routes: Routes) -> bool {
        let current = self.routes.as_ref().map(|routes| routes.version);
        let is_newer = current.is_none_or(|current| routes.version > current);
        if is_newer {
            self.directory.set_services(&routes);
            self.control.set_routes(&self.options.zone, &routes);
            self.routes = Some(routes);
        }
        is_newer
    }

    /// Replaces the list of instances that share the callers. This instance is one of them
    /// even if its own entry has lapsed.
    fn set_peers(&mut self, mut peers: Vec<Peer>) {
        let me = Peer {
            instance: self.options.instance.clone(),
            zone: self.options.zone.clone(),
        };
        if !peers.contains(&me) {
            peers.push(me);
        }
        self.all_instances = peers.len();
        let is_local = |peer: &&Peer| peer.zone == self.options.zone;
        self.zone_instances = peers.iter().filter(is_local).count();
        self.directory.set_peers(&peers);
    }

    /// Sets the load margin for servers in other zones.
    pub fn set_spill(&mut self, spill: f64) {
        self.options.spill = spill;
    }

    /// Sets the maximum lifetime of a flow.
    pub fn set_flow_ttl(&mut self, flow_ttl: Duration) {
        self.options.flow_ttl = flow_ttl;
        self.directory.set_retention(flow_ttl);
    }

    /// Whether a configuration and at least some servers are known, so that callers can be
    /// served.
    pub fn is_ready(&self) -> bool {
        (self.has_servers || self.has_some_servers) && self.routes.is_some()
    }

    /// Whether all servers and a configuration are known. Until then, a packet whose flow
    /// or tag is not known may belong to a server that is not known yet.
    pub fn has_all_servers(&self) -> bool {
        self.has_servers && self.routes.is_some()
    }

    /// Version of the configuration; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// The configuration in force; `None` before the first one.
    pub fn routes(&self) -> Option<&Routes> {
        self.routes.as_ref()
    }

    /// The known servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Request outcomes that this instance counted at servers, the worst first.
    pub fn server_outcomes(&self, now: Instant) -> Vec<ServerOutcomes> {
        self.directory.server_outcomes(now)
    }

    /// Number of tracked flows.
    pub fn flows(&self) -> usize {
        self.table.len()
    }

    /// Smoothed round-trip time of handshakes.
    pub fn round_trip(&self) -> RoundTrip {
        self.round_trip
    }

    /// Takes the events since the last call, and the number of omitted ones.
    pub fn take_events(&mut self) -> (Vec<FlowEvent>, u64) {
        let omitted = std::mem::take(&mut self.omitted);
        (std::mem::take(&mut self.events), omitted)
    }

    /// Takes the durations measured since the last call.
    pub fn take_timings(&mut self) -> Vec<Timing> {
        std::mem::take(&mut self.timings)
    }

    /// Takes the counts of openings since the last call.
    pub fn take_openings(&mut self) -> Vec<(OpeningOutcome, u64)> {
        self.openings.take()
    }

    fn record_event(&mut self, event: FlowEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        } else {
            self.omitted += 1;
        }
    }

    /// Decides about a packet. `packet` is stored for a resend if it opens a flow.
    pub fn receive(&mut self, now: Instant, segment: &Segment, packet: &[u8]) -> Verdict {
        self.receive_late(now, now, segment, packet)
    }

    /// Decides about a packet that may have arrived as early as `arrived`. A copy of an old
    /// SYN may have opened the flow at another instance meanwhile, so that it is neither reset
    /// nor, once the caller must have sent that copy, forwarded.
    pub fn receive_late(
        &mut self,
        now: Instant,
        arrived: Instant,
        segment: &Segment,
        packet: &[u8],
    ) -> Verdict {
        self.control.set_time(now, arrived);
        if !segment.flags.syn {
            // The caller has aborted the opening, or a copy of it has opened the flow.
            self.abort_queued(segment);
        }
        let verdict = if segment.opens() && handshake::is_outdated(segment, now - arrived) {
            Verdict::Drop(DropReason::Overdue)
        } else if segment.opens() {
            self.receive_syn(now, segment, packet)
        } else if segment.flags.syn {
            Verdict::Drop(DropReason::ServerSide)
        } else {
            self.receive_non_syn(now, segment)
        };
        if let Verdict::Drop(reason) = verdict
            && self.has_servers
        {
            let flow_key = segment.flow_key;
            self.record_event(FlowEvent::Dropped { flow_key, reason });
        }
        verdict
    }

    fn receive_syn(&mut self, now: Instant, segment: &Segment, packet: &[u8]) -> Verdict {
        if let Some(flow_handle) = self.table.find(&segment.flow_key) {
            let known_seq = self.table.get(flow_handle).and_then(|flow| flow.syn_seq);
            if known_seq == Some(segment.seq) {
                return self.receive_retransmission(now, flow_handle);
            }
            self.close(flow_handle);
        }
        if let Some(verdict) = self.receive_copy(now, segment) {
            return verdict;
        }
        let Some(routes) = &self.routes else {
            return Verdict::Drop(DropReason::NoView);
        };
        let version = routes.version;
        let Some(route) = routes.by_address.get(&segment.flow_key.service) else {
            return self.refuse(segment.flow_key, Refusal::NoRoute, version);
        };
        let class = route.class;
        let Some(service) = route.service(&segment.flow_key).cloned() else {
            return Verdict::Drop(DropReason::NoWeight);
        };
        let priority = class.map(|class| class.priority);
        let verdict = match class.filter(|_| self.controls(&service)) {
            Some(class) => self.receive_classed(now, segment, packet, (&service, class)),
            None => self.place(now, segment, packet, &service),
        };
        self.count_opening_result(service, priority, verdict);
        verdict
    }

    /// Places an opening at the least loaded server, or refuses or drops it if there is none.
    fn place(
        &mut self,
        now: Instant,
        segment: &Segment,
        packet: &[u8],
        service: &id::Service,
    ) -> Verdict {
        let version = self.version();
        let given_up = self.servers_given_up(now, &segment.flow_key);
        let choice = self
            .choose(now, service, &given_up)
            .or_else(|| self.choose(now, service, &[]));
        match choice {
            Some(choice) => self.open_flow(now, segment, packet, choice),
            None if choice::is_quota_exhausted(&self.directory, service, now) => {
                // The caller retransmits the SYN shortly, which does not count as a retry.
                Verdict::Drop(DropReason::Cold)
            }
            None if self.has_servers => {
                let reason = match choice::is_evacuated(&self.directory, service) {
                    true => Refusal::Evacuated,
                    false => Refusal::NoServer,
                };
                self.refuse(segment.flow_key, reason, version)
            }
            None => Verdict::Drop(DropReason::NoView),
        }
    }

    /// Places an opening at the least loaded server of these zones, if there is one.
    fn place_in(
        &mut self,
        now: Instant,
        segment: &Segment,
        packet: &[u8],
        (service, zones): (&id::Service, &[id::Zone]),
    ) -> Option<Verdict> {
        let given_up = self.servers_given_up(now, &segment.flow_key);
        let choice = self.choose_in(now, service, &given_up, Some(zones))?;
        Some(self.open_flow(now, segment, packet, choice))
    }

    fn refuse(&mut self, flow_key: FlowKey, reason: Refusal, version: u64) -> Verdict {
        self.record_event(FlowEvent::Refused {
            flow_key,
            reason,
            version,
        });
        Verdict::Reset
    }

    fn choose(
        &mut self,
        now: Instant,
        service: &id::Service,
        tried: &[ServerHandle],
    ) -> Option<Choice> {
        self.choose_in(now, service, tried, None)
    }

    fn choose_in(
        &mut self,
        now: Instant,
        service: &id::Service,
        tried: &[ServerHandle],
        zones: Option<&[id::Zone]>,
    ) -> Option<Choice> {
        let criteria = Criteria {
            service,
            tried,
            zones,
            spill: self.options.spill,
            zone_instances: self.zone_instances,
            now,
        };
        choice::choose(&self.directory, &criteria, &mut self.random)
    }

    fn open_flow(
        &mut self,
        now: Instant,
        segment: &Segment,
        packet: &[u8],
        choice: Choice,
    ) -> Verdict {
        let Some(record) = self.directory.get(choice.handle) else {
            return Verdict::Drop(DropReason::NoView);
        };
        let target = record.target();
        let event = FlowEvent::Placed {
            flow_key: segment.flow_key,
            server: record.server.id.clone(),
            is_remote: record.server.zone != self.options.zone,
            outstanding: record.outstanding,
            candidates: choice.candidates,
            version: self.version(),
        };
        self.record_event(event);
        self.directory.use_cold_quota(choice.handle, now);
        if self.table.has_room() {
            let due = now + self.round_trip.timeout();
            let attempt = Attempt {
                server: choice.handle,
                sent: now,
            };
            let opening = Opening::new(attempt, due, packet.to_vec());
            let flow = Flow::opening(segment, opening, now);
            let flow_handle = self.table.insert(flow);
            self.count_flow(choice.handle);
            self.count_opening(choice.handle);
            self.track_load(flow_handle);
            self.handshake_deadlines
                .push(Reverse((due, segment.flow_key)));
            self.recent_openings.push_back((now, segment.flow_key));
        }
        Verdict::Forward(target)
    }
}
