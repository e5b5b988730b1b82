//! Openings of services with several priorities: admitted, queued or refused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Class;
use crate::flow::DataPlane;
use crate::flow::DropReason;
use crate::flow::Expired;
use crate::flow::FlowEvent;
use crate::flow::FlowKey;
use crate::flow::Priority;
use crate::flow::Refusal;
use crate::flow::Resend;
use crate::flow::Routes;
use crate::flow::Segment;
use crate::flow::Server;
use crate::flow::ServiceLoad;
use crate::flow::Verdict;
use crate::flow::load::admission::Threshold;
use crate::flow::load::service::Counts;
use crate::flow::load::service::Instances;
use crate::flow::load::service::Placement;
use crate::flow::load::service::Service;
use crate::flow::load::waiting;
use crate::flow::load::waiting::Entry;
use crate::flow::load::waiting::Queue;
use crate::flow::load::waiting::Ticket;
use crate::flow::record::ServerHandle;
use crate::flow::table::FlowHandle;
use crate::id;

/// Admission control of all services.
#[derive(Debug)]
pub(super) struct Control {
    /// The services to which admission control applies.
    services: HashMap<id::Service, Service>,
    pub(super) queue: Queue,
    /// Openings that had to leave a full queue and have not been refused yet.
    overflow: Vec<(Ticket, Entry)>,
    /// Time of the packet or timer that is being handled.
    now: Instant,
    /// When the packet that is being handled arrived at the earliest.
    arrived: Instant,
}

impl Default for Control {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            services: HashMap::new(),
            queue: Queue::default(),
            overflow: Vec::new(),
            now,
            arrived: now,
        }
    }
}

impl Control {
    pub(super) fn set_time(&mut self, now: Instant, arrived: Instant) {
        self.now = now;
        self.arrived = arrived;
    }

    /// Applies admission control to the services whose routes have at least two priorities.
    pub(super) fn set_routes(&mut self, zone: &id::Zone, routes: &Routes) {
        let mut priorities: BTreeMap<&id::Service, BTreeSet<Priority>> = BTreeMap::new();
        for route in routes.by_address.values() {
            let Some(class) = route.class else {
                continue;
            };
            for backend in route.backends.iter().filter(|backend| backend.weight > 0) {
                let known = priorities.entry(&backend.service).or_default();
                known.insert(class.priority);
            }
        }
        priorities.retain(|_, priorities| priorities.len() > 1);
        self.services
            .retain(|service, _| priorities.contains_key(service));
        for (id, priorities) in priorities {
            let Some(highest) = priorities.first().copied() else {
                continue;
            };
            let new = || Service::new(zone, highest);
            let service = self.services.entry(id.clone()).or_insert_with(new);
            service.set_highest(highest);
        }
        self.note_change();
    }

    /// Makes the next timer decide about the queue by the present servers, instances and
    /// routes.
    pub(super) fn note_change(&mut self) {
        self.queue.note_change();
    }

    fn begin(&mut self, server: &Server) {
        if let Some(service) = self.services.get_mut(&server.service) {
            service.begin(&server.zone, self.now);
        }
    }

    fn end(&mut self, server: &Server) {
        if let Some(service) = self.services.get_mut(&server.service) {
            service.end(&server.zone, self.now);
            self.queue.note_change();
        }
    }

    fn answered(&mut self, server: &Server, response_time: Duration, instances: Instances) {
        if let Some(service) = self.services.get_mut(&server.service) {
            service.answered(&server.zone, self.now, response_time, instances);
        }
    }

    fn stalled(&mut self, server: &Server, instances: Instances) {
        if let Some(service) = self.services.get_mut(&server.service) {
            service.stalled(&server.zone, self.now, instances);
        }
    }

    fn count(&mut self, id: &id::Service, priority: Priority, count: impl FnOnce(&mut Counts)) {
        if let Some(service) = self.services.get_mut(id) {
            service.count(priority, count);
        }
    }
}

impl DataPlane {
    /// Starts to count a flow's opening or request at its server.
    pub(super) fn track_load(&mut self, flow_handle: FlowHandle) {
        let Some(flow) = self.table.get_mut(flow_handle) else {
            return;
        };
        if self.options.balancing.admits_by_priority && !flow.is_in_progress {
            flow.is_in_progress = true;
            let server = flow.server;
            self.add_in_progress(server);
        }
    }

    /// Stops counting a flow's opening or request.
    pub(super) fn untrack_load(&mut self, flow_handle: FlowHandle) {
        let Some(flow) = self.table.get_mut(flow_handle) else {
            return;
        };
        if std::mem::take(&mut flow.is_in_progress) {
            let server = flow.server;
            self.remove_in_progress(server);
        }
    }

    pub(super) fn add_in_progress(&mut self, server_handle: ServerHandle) {
        if let Some(record) = self.directory.get_mut(server_handle) {
            record.in_progress += 1;
            self.control.begin(&record.server);
        }
    }

    pub(super) fn remove_in_progress(&mut self, server_handle: ServerHandle) {
        if let Some(record) = self.directory.get_mut(server_handle) {
            record.in_progress = record.in_progress.saturating_sub(1);
            self.control.end(&record.server);
        }
    }

    /// Takes in the response time of a server for the limits of other zones.
    pub(super) fn record_response(&mut self, server_handle: ServerHandle, time: Duration) {
        let instances = self.instances();
        if let Some(record) = self.directory.get(server_handle) {
            self.control.answered(&record.server, time, instances);
        }
    }

    /// Takes in that a server has not answered a request.
    pub(super) fn record_no_response(&mut self, server_handle: ServerHandle) {
        let instances = self.instances();
        if let Some(record) = self.directory.get(server_handle) {
            self.control.stalled(&record.server, instances);
        }
    }

    fn instances(&self) -> Instances {
        Instances {
            zone: self.zone_instances,
            all: self.all_instances,
        }
    }

    /// Whether admission control applies to openings of this class. Until all servers are
    /// known, the sum of their slots is too small, and openings would be refused wrongly.
    pub(super) fn controls(&self, service: &id::Service) -> bool {
        self.options.balancing.admits_by_priority
            && self.has_servers
            && self.control.services.contains_key(service)
    }

    /// Position of a buffered packet: packets of open flows and openings without a class
    /// first, then openings by priority. `None` for all packets while the switch is off.
    pub fn backlog_rank(&self, segment: &Segment) -> Option<Priority> {
        let is_ranked = self.options.balancing.admits_by_priority && segment.opens();
        let routes = self.routes.as_ref().filter(|_| is_ranked)?;
        let route = routes.by_address.get(&segment.flow_key.service)?;
        route.class.map(|class| class.priority)
    }

    /// Load and queue of each service to which admission control applies, by name.
    pub fn service_loads(&self, now: Instant) -> Vec<ServiceLoad> {
        let services = self.control.services.iter();
        let mut loads: Vec<ServiceLoad> = services
            .map(|(id, service)| ServiceLoad {
                service: id.clone(),
                load: service.load(now, self.instances()),
                slots: service.slots(),
                in_progress: service.in_progress(),
                waiting: self.control.queue.len_of(id),
                counts: service.counts.clone().into_iter().collect(),
            })
            .collect();
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        loads
    }

    /// When the queued openings have to be decided next.
    pub fn next_queue_due(&self) -> Option<Instant> {
        self.control.queue.next_due()
    }

    /// Number of openings that wait for capacity.
    pub fn waiting(&self) -> usize {
        self.control.queue.len()
    }

    /// Decides about an opening of a service with several priorities.
    pub(super) fn receive_classed(
        &mut self,
        now: Instant,
        segment: &Segment,
        packet: &[u8],
        (service, class): (&id::Service, Class),
    ) -> Verdict {
        let threshold = Threshold::draw(&mut self.random);
        let priority = class.priority;
        let is_behind = self.control.queue.is_behind(service, priority);
        if is_behind && self.takes_floor(now, service, priority) {
            let verdict = self.place(now, segment, packet, service);
            self.count_placed(service, priority, verdict);
            return verdict;
        }
        if !is_behind || self.is_highest(service, priority) {
            let placement = self.admit(now, service, (priority, threshold));
            let verdict = self.place_admitted(now, segment, packet, service, &placement);
            if let Some(verdict) = verdict {
                self.count_placed(service, priority, verdict);
                return verdict;
            }
        }
        let entry = Entry {
            segment: *segment,
            packet: packet.to_vec(),
            service: service.clone(),
            arrived: self.control.arrived,
            threshold,
        };
        self.enqueue(now, priority, entry)
    }

    /// Takes a token of the guaranteed rate. An opening that would wait behind higher
    /// priorities asks for it as well: they may fill the queue for as long as they exceed the
    /// capacity.
    fn takes_floor(&mut self, now: Instant, service: &id::Service, priority: Priority) -> bool {
        self.scan_if_due(now, service);
        let pool = self.directory.pool_of(service);
        let response_time = pool.and_then(|pool| pool.baseline.mean());
        let instances = self.instances();
        let state = self.control.services.get_mut(service);
        state.is_some_and(|state| state.takes_floor(now, instances, response_time, priority))
    }

    fn is_highest(&self, service: &id::Service, priority: Priority) -> bool {
        let state = self.control.services.get(service);
        state.is_some_and(|state| state.is_highest(priority))
    }

    fn count_placed(&mut self, service: &id::Service, priority: Priority, verdict: Verdict) {
        if matches!(verdict, Verdict::Forward(_)) {
            self.control.count(service, priority, |c| c.admitted += 1);
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        service: &id::Service,
        opening: (Priority, Threshold),
    ) -> Placement {
        self.scan_if_due(now, service);
        let pool = self.directory.pool_of(service);
        let response_time = pool.and_then(|pool| pool.baseline.mean());
        let instances = self.instances();
        match self.control.services.get_mut(service) {
            Some(state) => state.admit(now, instances, response_time, opening),
            None => Placement::Anywhere,
        }
    }

    fn scan_if_due(&mut self, now: Instant, service: &id::Service) {
        let Some(state) = self.control.services.get_mut(service) else {
            return;
        };
        let Some(pool) = self.directory.pool_of(service) else {
            return;
        };
        if !state.is_scan_due(now) {
            return;
        }
        let directory = &self.directory;
        let handles = pool.local.iter().chain(&pool.remote);
        let usable = handles
            .filter_map(|handle| directory.get(*handle))
            .filter(|record| {
                record.accepts_flows()
                    && directory.has_expected_incarnation(record)
                    && !record.is_evacuated
                    && !record.liveness.is_suspected(now)
            });
        let usable = usable.map(|record| {
            let server = &record.server;
            (&server.zone, server.slots.max(1), record.in_progress)
        });
        state.scan(now, usable);
    }

    /// Places an opening; `None` if it has to wait.
    fn place_admitted(
        &mut self,
        now: Instant,
        segment: &Segment,
        packet: &[u8],
        service: &id::Service,
        placement: &Placement,
    ) -> Option<Verdict> {
        match placement {
            Placement::Anywhere => Some(self.place(now, segment, packet, service)),
            Placement::Zones(zones, priority) => {
                let placed = self.place_in(now, segment, packet, (service, zones));
                // Those zones' servers may all be cold, with their quotas used up.
                if placed.is_none() && self.takes_floor(now, service, *priority) {
                    return Some(self.place(now, segment, packet, service));
                }
                placed
            }
            Placement::Short => None,
        }
    }

    fn enqueue(&mut self, now: Instant, priority: Priority, entry: Entry) -> Verdict {
        let service = entry.service.clone();
        let rate = self.share_rate(now, &service);
        let flow_key = entry.segment.flow_key;
        let max_len = waiting::max_len(rate);
        self.control.count(&service, priority, |c| c.waited += 1);
        match self.control.queue.push(priority, entry, max_len) {
            Some((ticket, entry)) if entry.segment.flow_key == flow_key => {
                self.control.count(&service, priority, |c| c.waited -= 1);
                self.settle(now, ticket, &entry)
            }
            Some(overflow) => {
                self.control.overflow.push(overflow);
                Verdict::Wait
            }
            None => Verdict::Wait,
        }
    }

    fn share_rate(&self, now: Instant, service: &id::Service) -> f64 {
        let pool = self.directory.pool_of(service);
        let response_time = pool.and_then(|pool| pool.baseline.mean());
        let state = self.control.services.get(service);
        state.map_or(0.0, |state| {
            state.share_rate(now, self.instances(), response_time)
        })
    }

    /// Handles a SYN whose flow is queued: `None` if it is to be handled as a new one.
    ///
    /// A copy that comes after the longest wait means that this process did not run. The
    /// first copy may have reached no server or, through another instance, some; the later
    /// one is decided anew and never reset.
    pub(super) fn receive_copy(&mut self, now: Instant, segment: &Segment) -> Option<Verdict> {
        let (ticket, entry) = self.control.queue.find(&segment.flow_key)?;
        let is_copy = entry.segment.seq == segment.seq;
        if is_copy && entry.may_reset(now) {
            return Some(Verdict::Wait);
        }
        self.control.queue.take(ticket);
        None
    }

    /// Forgets a queued opening that its caller has aborted.
    pub(super) fn abort_queued(&mut self, segment: &Segment) {
        if let Some((ticket, _)) = self.control.queue.find(&segment.flow_key) {
            self.control.queue.take(ticket);
        }
    }

    /// Decides about the queued openings.
    pub(super) fn expire_queue(&mut self, now: Instant, expired: &mut Expired) {
        for (ticket, entry) in std::mem::take(&mut self.control.overflow) {
            // A later copy has opened the flow meanwhile.
            if self.table.find(&entry.segment.flow_key).is_some() {
                continue;
            }
            let verdict = self.settle(now, ticket, &entry);
            self.count_opening_result(entry.service.clone(), Some(ticket.priority), verdict);
            expired.add(verdict, entry);
        }
        // Of two openings of one route and priority, the first is admitted, and its time is up,
        // before the second.
        let mut kept: Vec<(SocketAddrV4, Priority, id::Service)> = Vec::new();
        for ticket in self.control.queue.poll(now) {
            let Some(entry) = self.control.queue.get(ticket) else {
                continue;
            };
            let address = entry.segment.flow_key.service;
            let is_kept = |(other, priority, service): &(SocketAddrV4, Priority, id::Service)| {
                *other == address && *priority == ticket.priority && *service == entry.service
            };
            if kept.iter().any(is_kept) {
                continue;
            }
            let key = (address, ticket.priority, entry.service.clone());
            if let Some(verdict) = self.decide_queued(now, ticket)
                && let Some(entry) = self.control.queue.take(ticket)
            {
                self.count_opening_result(entry.service.clone(), Some(ticket.priority), verdict);
                expired.add(verdict, entry);
            } else {
                kept.push(key);
            }
        }
    }

    /// Decides about a queued opening by the newest configuration; `None` to keep it.
    fn decide_queued(&mut self, now: Instant, ticket: Ticket) -> Option<Verdict> {
        let entry = self.control.queue.get(ticket)?.clone();
        let flow_key = entry.segment.flow_key;
        if now >= entry.arrived + waiting::MAX_RESET_AGE {
            return Some(self.give_up(now, ticket, &entry));
        }
        let routes = self.routes.as_ref()?;
        let version = routes.version;
        let Some(route) = routes.by_address.get(&flow_key.service) else {
            self.record_wait(now, ticket, &entry, false);
            return Some(self.refuse(flow_key, Refusal::NoRoute, version));
        };
        let class = route.class;
        let Some(service) = route.service(&flow_key).cloned() else {
            return Some(self.drop_packet(flow_key, DropReason::NoWeight));
        };
        let class = class.filter(|_| self.controls(&service));
        let placement = match class {
            Some(class) => self.admit(now, &service, (class.priority, entry.threshold)),
            None => Placement::Anywhere,
        };
        let (segment, packet) = (&entry.segment, &entry.packet);
        let placed = self.place_admitted(now, segment, packet, &service, &placement);
        if let Some(verdict) = placed {
            self.count_placed(&service, ticket.priority, verdict);
            let is_placed = matches!(verdict, Verdict::Forward(_));
            self.record_wait(now, ticket, &entry, is_placed);
            return Some(verdict);
        }
        let max_wait = waiting::max_wait(class?.objective);
        let is_overdue = entry.is_overdue(now, max_wait);
        let entry = Entry { service, ..entry };
        is_overdue.then(|| self.settle(now, ticket, &entry))
    }

    /// Ends the wait of an opening that is not admitted: refuses it, or places it if a copy
    /// may have been forwarded already.
    fn settle(&mut self, now: Instant, ticket: Ticket, entry: &Entry) -> Verdict {
        if entry.is_first_copy() && !entry.may_reset(now) {
            return self.give_up(now, ticket, entry);
        }
        let is_refused = entry.is_first_copy();
        self.record_wait(now, ticket, entry, !is_refused);
        let flow_key = entry.segment.flow_key;
        let verdict = match self.service_in_force(&flow_key) {
            _ if is_refused => self.refuse(flow_key, Refusal::Short, self.version()),
            Some(service) => self.place(now, &entry.segment, &entry.packet, &service),
            None => self.drop_packet(flow_key, DropReason::Rerouted),
        };
        let priority = ticket.priority;
        self.count_placed(&entry.service, priority, verdict);
        let refused = u64::from(is_refused);
        self.control
            .count(&entry.service, priority, |c| c.refused += refused);
        verdict
    }

    /// The service of a new flow by the configuration in force.
    fn service_in_force(&self, flow_key: &FlowKey) -> Option<id::Service> {
        let routes = self.routes.as_ref()?;
        let route = routes.by_address.get(&flow_key.service)?;
        route.service(flow_key).cloned()
    }

    /// Ends the wait of an opening that is too old for a reset: this process did not run for
    /// a while, and the caller has sent its SYN again or is gone.
    fn give_up(&mut self, now: Instant, ticket: Ticket, entry: &Entry) -> Verdict {
        self.record_wait(now, ticket, entry, false);
        self.control
            .count(&entry.service, ticket.priority, |c| c.refused += 1);
        self.drop_packet(entry.segment.flow_key, DropReason::Overdue)
    }

    fn drop_packet(&mut self, flow_key: FlowKey, reason: DropReason) -> Verdict {
        self.record_event(FlowEvent::Dropped { flow_key, reason });
        Verdict::Drop(reason)
    }

    fn record_wait(&mut self, now: Instant, ticket: Ticket, entry: &Entry, is_placed: bool) {
        let instances = self.instances();
        let state = self.control.services.get(&entry.service);
        let event = FlowEvent::Waited {
            flow_key: entry.segment.flow_key,
            service: entry.service.clone(),
            priority: ticket.priority,
            waited_ms: now.saturating_duration_since(entry.arrived).as_millis() as u64,
            load: state.map_or(0.0, |state| state.load(now, instances)),
            slots: state.map_or(0, Service::slots),
            in_progress: state.map_or(0, Service::in_progress),
            is_placed,
        };
        self.record_event(event);
    }
}

impl Expired {
    fn add(&mut self, verdict: Verdict, entry: Entry) {
        match verdict {
            Verdict::Forward(target) => self.resends.push(Resend {
                packet: entry.packet,
                target,
            }),
            Verdict::Reset => self.resets.push(entry.segment),
            Verdict::Drop(_) | Verdict::Wait => {}
        }
    }
}
