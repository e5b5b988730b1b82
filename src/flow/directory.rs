//! The known backend servers, current and former ones.
//!
//! A server without an entry stays known for the maximum lifetime of a flow, because
//! packets of its flows still carry its tag. It may well be alive if its lease lapsed
//! during an outage of the store.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Evacuation;
use crate::flow::Incarnation;
use crate::flow::Peer;
use crate::flow::Serial;
use crate::flow::ServerOutcomes;
use crate::flow::StoreContact;
use crate::flow::Tag;
use crate::flow::Warmup;
use crate::flow::baseline::ResponseBaseline;
use crate::flow::choice;
use crate::flow::liveness::Liveness;
use crate::flow::outcome::RequestOutcomes;
use crate::flow::warmup;
use crate::flow::warmup::ColdQuota;
use crate::id;

/// How long after another server's start at the same address the former server may still
/// prove that it is alive. This is enough for a live server: callers retransmit after 0.2 s,
/// and the server's own entry is delivered within milliseconds.
const REPLACEMENT_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of servers that an instance reports to others. If more servers fail at
/// the same time, further reports hardly improve the selection.
const MAX_OUTCOME_REPORTS: usize = 64;

/// The state that a server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new flows.
    Ready,
    /// Finishes its open flows and then stops.
    Draining,
}

/// A server as listed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Key of the server in the store.
    pub id: id::Server,
    /// Identity that datagrams to the server carry.
    pub serial: Serial,
    /// Current incarnation; `None` if the entry does not contain one.
    pub incarnation: Option<Incarnation>,
    /// The service that the server runs.
    pub service: id::Service,
    /// Address that receives datagrams.
    pub address: SocketAddrV4,
    /// Availability zone of the server.
    pub zone: id::Zone,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts new flows.
    pub state: ServerState,
    /// How long the server stays slow after its start.
    pub cold_for: Duration,
}

/// Destination of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the server.
    pub address: SocketAddrV4,
    /// Identity of the intended server.
    pub serial: Serial,
    /// Tag that routes the later packets of the flow to the server.
    pub tag: Tag,
}

/// Handle of a server's incarnation in the directory. It stays valid until the server is
/// removed, which happens after all of its flows have been forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerHandle {
    index: u32,
    /// Number of earlier incarnations of the server.
    generation: u32,
}

impl ServerHandle {
    fn index(self) -> usize {
        self.index as usize
    }

    /// Whether both refer to incarnations of the same server.
    pub(crate) fn is_same_server(self, other: Self) -> bool {
        self.index == other.index
    }
}

/// State that is kept for a server.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) server: Server,
    pub(crate) tag: Tag,
    /// Number of earlier incarnations.
    generation: u32,
    /// Whether the entry cannot be parsed and therefore gets no new flows; the server itself
    /// may be alive.
    pub(crate) is_unreadable: bool,
    /// When the entry was found missing; `None` while it is listed.
    pub(crate) missing_since: Option<Instant>,
    /// When another server has started at the same address.
    replaced_since: Option<Instant>,
    pub(crate) draining_since: Option<Instant>,
    /// Whether the server's zone is evacuated.
    pub(crate) is_evacuated: bool,
    pub(crate) cold_until: Instant,
    /// Quota of new flows from this instance while the server is cold.
    pub(crate) cold_quota: ColdQuota,
    pub(crate) liveness: Liveness,
    pub(crate) outcomes: RequestOutcomes,
    /// Requests of this instance that the server has not answered yet.
    pub(crate) outstanding: u32,
    /// Open flows seen by this instance.
    pub(crate) flows: u32,
    /// Load added for the share of failures, as last computed.
    pub(crate) penalty: f64,
    /// Whether an older server has the same tag, so that the flows of both could not be
    /// distinguished.
    has_duplicate_tag: bool,
}

impl Record {
    fn new(handle: ServerHandle, server: Server, has_duplicate_tag: bool, now: Instant) -> Self {
        Self {
            tag: Tag::of(server.serial),
            generation: handle.generation,
            is_unreadable: false,
            missing_since: None,
            replaced_since: None,
            draining_since: draining_since(&server, None, now),
            is_evacuated: false,
            cold_until: now + server.cold_for,
            cold_quota: ColdQuota::default(),
            liveness: Liveness::default(),
            outcomes: RequestOutcomes::default(),
            outstanding: 0,
            flows: 0,
            penalty: 0.0,
            has_duplicate_tag,
            server,
        }
    }

    pub(crate) fn target(&self) -> Target {
        Target {
            address: self.server.address,
            serial: self.server.serial,
            tag: self.tag,
        }
    }

    /// Updates the cached penalty. A selection compares dozens of servers, most of which have
    /// no failures, so that the penalty is not computed there.
    pub(crate) fn update_penalty(&mut self, now: Instant) {
        self.penalty = choice::penalty(self.outcomes.bad_share(now));
    }

    /// Whether the server is cold and this instance has used up its quota for it.
    pub(crate) fn is_quota_exhausted(&self, now: Instant) -> bool {
        now < self.cold_until && !self.cold_quota.has_room(now)
    }

    /// Whether the server accepts new flows.
    pub(crate) fn accepts_flows(&self) -> bool {
        self.accepts_by_last_entry() && !self.is_unreadable
    }

    /// Whether the server accepts new flows according to its last readable entry.
    pub(crate) fn accepts_by_last_entry(&self) -> bool {
        let ready = self.server.state == ServerState::Ready;
        let is_listed = self.missing_since.is_none() && self.replaced_since.is_none();
        ready && is_listed && !self.has_duplicate_tag
    }

    /// Whether the server has answered after `at`.
    fn has_answered_since(&self, at: Instant) -> bool {
        self.liveness.last_answer() > Some(at)
    }
}

/// The servers of one service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Servers in this instance's availability zone.
    pub(crate) local: Vec<ServerHandle>,
    /// Servers in other zones.
    pub(crate) remote: Vec<ServerHandle>,
    /// Typical duration and size of the service's answers.
    pub(crate) baseline: ResponseBaseline,
}

impl Pool {
    fn list_mut(&mut self, is_local: bool) -> &mut Vec<ServerHandle> {
        if is_local {
            &mut self.local
        } else {
            &mut self.remote
        }
    }
}

/// All known servers.
#[derive(Debug)]
pub struct Directory {
    /// Availability zone of this instance.
    zone: id::Zone,
    /// Records by index; an index is reused after its server has been removed.
    records: Vec<Option<Record>>,
    free_handles: Vec<ServerHandle>,
    by_id: HashMap<id::Server, ServerHandle>,
    by_tag: HashMap<Tag, ServerHandle>,
    by_service: HashMap<id::Service, Pool>,
    /// How long a server without an entry is kept.
    retention: Duration,
    /// Whether entries contain incarnations. If so, an entry without one comes from another
    /// writer and is handled as unreadable.
    entries_have_incarnation: bool,
    /// The last uninterrupted contact with the store; `None` while it is unreachable.
    contact: Option<StoreContact>,
    evacuation: Evacuation,
    /// Name of this instance.
    own_instance: id::Instance,
    /// The instances that share the callers, including this one.
    peers: Vec<Peer>,
    /// Load limits of cold servers, by service.
    warmups: HashMap<id::Service, Warmup>,
}

impl Directory {
    /// Creates an empty directory for an instance in this zone that keeps servers
    /// without an entry for `retention`.
    pub fn new(own_instance: id::Instance, zone: id::Zone, retention: Duration) -> Self {
        Self {
            records: Vec::new(),
            free_handles: Vec::new(),
            by_id: HashMap::new(),
            by_tag: HashMap::new(),
            by_service: HashMap::new(),
            retention,
            entries_have_incarnation: false,
            contact: None,
            evacuation: Evacuation::default(),
            peers: vec![Peer {
                instance: own_instance.clone(),
                zone: zone.clone(),
            }],
            warmups: HashMap::new(),
            own_instance,
            zone,
        }
    }

    /// Applies a server's entry. Returns `false` if it belongs to an earlier incarnation.
    ///
    /// The last write of a former incarnation can reach the store after the first write of
    /// the current one.
    pub fn put(&mut self, now: Instant, server: Server) -> bool {
        let handle = self.by_id.get(&server.id);
        let known = handle.and_then(|handle| self.get(*handle));
        let is_new_incarnation = known.is_none_or(|known| {
            known.server.incarnation.is_some() && known.server.incarnation < server.incarnation
        });
        if is_new_incarnation {
            self.mark_replaced(now, &server);
        }
        self.apply(now, server)
    }

    /// Marks the servers known at an address at which another server starts.
    ///
    /// An address belongs to one machine, so that a start there means that its former server
    /// has ended. Load pattern: a quarter of a service's servers vanish and their addresses
    /// are reassigned. Without this rule, callers with open flows there would wait until
    /// their deadlines, because the entries first have to lapse and stay missing.
    fn mark_replaced(&mut self, now: Instant, server: &Server) {
        for record in self.records.iter_mut().flatten() {
            let known = &record.server;
            let is_former = known.address == server.address && known.id != server.id;
            // An earlier incarnation is a late write and replaces no server.
            let is_later = server.incarnation >= known.incarnation;
            if is_former && is_later {
                record.replaced_since.get_or_insert(now);
            }
        }
    }

    fn apply(&mut self, now: Instant, server: Server) -> bool {
        self.entries_have_incarnation |= server.incarnation.is_some();
        let Some(handle) = self.by_id.get(&server.id).copied() else {
            self.insert(now, server);
            return true;
        };
        let known = self
            .get(handle)
            .and_then(|record| record.server.incarnation);
        match known.cmp(&server.incarnation) {
            Ordering::Greater if server.incarnation.is_none() => {
                self.mark_unreadable(&server.id);
                return true;
            }
            Ordering::Greater => return false,
            Ordering::Less if known.is_some() => self.restart(now, handle, server),
            Ordering::Less | Ordering::Equal => self.update(now, handle, server),
        }
        true
    }

    fn update(&mut self, now: Instant, handle: ServerHandle, server: Server) {
        let is_moved = |known: &Record| {
            known.server.service != server.service || known.server.zone != server.zone
        };
        if self.get(handle).is_some_and(is_moved) {
            self.remove_from_pool(handle);
            self.add_to_pool(handle, &server);
        }
        let Some(record) = self.get_mut(handle) else {
            return;
        };
        record.missing_since = None;
        // A server that writes its entry is alive.
        record.replaced_since = None;
        record.is_unreadable = false;
        record.draining_since = draining_since(&server, record.draining_since, now);
        record.cold_until = now + server.cold_for;
        record.server = server;
        self.update_derived_fields(handle);
    }

    /// Replaces a server's record by one for its next incarnation, which has no open flows.
    ///
    /// Flows, requests and evidence of the former incarnation keep its handle and are no
    /// longer counted. Otherwise the new incarnation would look loaded or unresponsive
    /// because of requests that it never received. Packets of the old flows are forwarded to
    /// the new incarnation, which resets unknown flows, so that the callers know at once.
    fn restart(&mut self, now: Instant, former: ServerHandle, server: Server) {
        self.remove_from_pool(former);
        let handle = ServerHandle {
            generation: former.generation.wrapping_add(1),
            ..former
        };
        let tag = Tag::of(server.serial);
        let has_duplicate_tag = self.by_tag.get(&tag) != Some(&former);
        if !has_duplicate_tag {
            self.by_tag.insert(tag, handle);
        }
        self.by_id.insert(server.id.clone(), handle);
        self.add_to_pool(handle, &server);
        self.records[handle.index()] = Some(Record::new(handle, server, has_duplicate_tag, now));
        self.update_derived_fields(handle);
    }

    /// Changes the set of evacuated zones. Returns `false` if that has no effect.
    pub(crate) fn change_evacuation(
        &mut self,
        now: Instant,
        change: impl FnOnce(&mut Evacuation) -> bool,
    ) -> bool {
        let is_new = change(&mut self.evacuation);
        for record in self.records.iter_mut().flatten() {
            let is_evacuated = self.evacuation.contains(&record.server.zone);
            let is_back = record.is_evacuated && !is_evacuated;
            record.is_evacuated = is_evacuated;
            // The server's entry may report only later that it has become cold meanwhile.
            let warmup = self.warmups.get(&record.server.service);
            if let Some(warmup) = warmup.filter(|warmup| is_back && warmup.rate > 0.0) {
                record.cold_until = record.cold_until.max(now + warmup.duration);
            }
        }
        is_new
    }

    /// The evacuated zones.
    pub fn evacuation(&self) -> &Evacuation {
        &self.evacuation
    }

    /// Replaces the list of instances that share the callers, including this one.
    pub(crate) fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
        self.update_cold_quotas();
    }

    /// Replaces the load limits of cold servers.
    pub(crate) fn set_warmups(&mut self, warmups: HashMap<id::Service, Warmup>) {
        if self.warmups != warmups {
            self.warmups = warmups;
            self.update_cold_quotas();
        }
    }

    /// Counts a new flow against the quota if the server is cold.
    pub(crate) fn use_cold_quota(&mut self, handle: ServerHandle, now: Instant) {
        if let Some(record) = self.get_mut(handle)
            && now < record.cold_until
        {
            record.cold_quota.count_flow(now);
        }
    }

    fn update_cold_quotas(&mut self) {
        for record in self.records.iter_mut().flatten() {
            let limit = quota_limit(
                &self.own_instance,
                &self.peers,
                &self.warmups,
                &record.server,
            );
            record.cold_quota.set(limit);
        }
    }

    /// Updates the fields that depend on the entry, the evacuated zones and the peers.
    fn update_derived_fields(&mut self, handle: ServerHandle) {
        if let Some(Some(record)) = self.records.get_mut(handle.index()) {
            record.is_evacuated = self.evacuation.contains(&record.server.zone);
            let limit = quota_limit(
                &self.own_instance,
                &self.peers,
                &self.warmups,
                &record.server,
            );
            record.cold_quota.set(limit);
        }
    }

    /// Marks a server's entry as unreadable.
    pub fn mark_unreadable(&mut self, id: &id::Server) {
        let handle = self.by_id.get(id).copied();
        if let Some(record) = handle.and_then(|handle| self.get_mut(handle)) {
            record.is_unreadable = true;
        }
    }

    fn insert(&mut self, now: Instant, server: Server) {
        let handle = self.free_handles.pop().unwrap_or_else(|| {
            self.records.push(None);
            let index = self.records.len() as u32 - 1;
            ServerHandle {
                index,
                generation: 0,
            }
        });
        let tag = Tag::of(server.serial);
        // The older server keeps the tag, because its flows carry it already. Packets for
        // the newer one would reach the wrong server, so it gets no flows.
        let has_duplicate_tag = self.by_tag.contains_key(&tag);
        if !has_duplicate_tag {
            self.by_tag.insert(tag, handle);
        }
        self.by_id.insert(server.id.clone(), handle);
        self.add_to_pool(handle, &server);
        self.records[handle.index()] = Some(Record::new(handle, server, has_duplicate_tag, now));
        self.update_derived_fields(handle);
    }

    /// Marks a server's entry as missing.
    pub fn remove(&mut self, now: Instant, id: &id::Server) {
        let handle = self.by_id.get(id).copied();
        if let Some(record) = handle.and_then(|handle| self.get_mut(handle)) {
            record.missing_since.get_or_insert(now);
        }
    }

    /// Replaces the list of servers. Entries that are neither listed nor unreadable are
    /// marked as missing.
    pub fn replace(&mut self, now: Instant, servers: Vec<Server>, unreadable: Vec<id::Server>) {
        for id in &unreadable {
            self.mark_unreadable(id);
        }
        let mut listed: HashSet<id::Server> = unreadable.into_iter().collect();
        listed.extend(servers.iter().map(|server| server.id.clone()));
        let missing: Vec<_> = self
            .by_id
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(now, &id);
        }
        // A list does not show which of two servers at one address started later.
        for server in servers {
            self.apply(now, server);
        }
    }

    /// Adds servers of a list that is not complete yet.
    pub(crate) fn add_listed(&mut self, now: Instant, servers: Vec<Server>) {
        for server in servers {
            self.apply(now, server);
        }
    }

    /// Records that the store has answered.
    pub fn note_contact(&mut self, contact: StoreContact) {
        let merged = self.contact.map_or(contact, |before| before.merge(contact));
        self.contact = Some(merged);
    }

    /// Records that the store does not answer.
    pub fn note_unreachable(&mut self) {
        self.contact = None;
    }

    /// Whether an entry that has been missing since `missing` may still return.
    fn may_return(&self, missing: Instant) -> bool {
        self.contact
            .is_none_or(|contact| !contact.rules_out_return(missing))
    }

    /// Whether a server accepts new flows although its entry is missing.
    ///
    /// A store that fails may drop the entries of all servers although these are alive.
    /// Otherwise new flows would be refused until the store is back.
    pub(crate) fn accepts_while_missing(&self, record: &Record) -> bool {
        let ready = record.server.state == ServerState::Ready && !record.has_duplicate_tag;
        let missing = record.missing_since;
        let is_replaced = record.replaced_since.is_some();
        ready && !is_replaced && missing.is_some_and(|missing| self.may_return(missing))
    }

    /// Since when a server has been proven to be gone; `None` while it may be alive.
    ///
    /// An entry also lapses if its server cannot reach the store. The server therefore
    /// counts as gone if it has not answered and the contact with the store has lasted
    /// longer than a live server needs to restore its entry. It also counts as gone if
    /// another server has started at its address and it has not answered since.
    pub(crate) fn gone_since(&self, handle: ServerHandle, now: Instant) -> Option<Instant> {
        let record = self.get(handle)?;
        let has_grace_ended = |replaced: &Instant| now >= *replaced + REPLACEMENT_GRACE;
        let replaced = record.replaced_since.filter(has_grace_ended);
        let missing = record.missing_since;
        let missing = missing.filter(|missing| !self.may_return(*missing));
        let is_unanswered = |since: &Instant| !record.has_answered_since(*since);
        replaced.or(missing).filter(is_unanswered)
    }

    /// Removes servers that have been missing for longer than the lifetime of a flow.
    pub fn forget(&mut self, now: Instant) {
        let retention = self.retention;
        let is_expired =
            |record: &Record| record.missing_since.is_some_and(|s| now >= s + retention);
        let indexed = self.records.iter().enumerate();
        let expired = indexed.filter_map(|(index, record)| {
            let record = record.as_ref().filter(|record| is_expired(record))?;
            Some(ServerHandle {
                index: index as u32,
                generation: record.generation,
            })
        });
        let expired: Vec<ServerHandle> = expired.collect();
        for handle in expired {
            self.remove_from_pool(handle);
            let Some(record) = self.records[handle.index()].take() else {
                continue;
            };
            // Flows may still refer to the former server at this index.
            self.free_handles.push(ServerHandle {
                generation: handle.generation.wrapping_add(1),
                ..handle
            });
            self.by_id.remove(&record.server.id);
            if self.by_tag.get(&record.tag) == Some(&handle) {
                self.by_tag.remove(&record.tag);
            }
        }
    }

    fn add_to_pool(&mut self, handle: ServerHandle, server: &Server) {
        let is_local = server.zone == self.zone;
        let pool = self.by_service.entry(server.service.clone()).or_default();
        pool.list_mut(is_local).push(handle);
    }

    fn remove_from_pool(&mut self, handle: ServerHandle) {
        let Some(record) = self.get(handle) else {
            return;
        };
        let service = record.server.service.clone();
        let is_local = record.server.zone == self.zone;
        if let Some(pool) = self.by_service.get_mut(&service) {
            pool.list_mut(is_local).retain(|other| *other != handle);
        }
    }

    /// The last known entries of all servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.records().map(|record| &record.server)
    }

    /// Number of servers that are listed in the store now.
    pub fn listed_count(&self) -> usize {
        let is_listed = |record: &&Record| record.missing_since.is_none();
        self.records().filter(is_listed).count()
    }

    /// Sum of the flows and requests counted at all servers.
    pub fn load(&self) -> u64 {
        let record_load = |record: &Record| u64::from(record.flows) + u64::from(record.outstanding);
        self.records().map(record_load).sum()
    }

    /// Typical answers of the server's service.
    pub(crate) fn baseline_mut(&mut self, handle: ServerHandle) -> Option<&mut ResponseBaseline> {
        let service = &self.records.get(handle.index())?.as_ref()?.server.service;
        self.by_service
            .get_mut(service)
            .map(|pool| &mut pool.baseline)
    }

    /// The outcomes that this instance counted for suspicious servers, the worst first.
    pub(crate) fn server_outcomes(&self, now: Instant) -> Vec<ServerOutcomes> {
        let reports = self.records().filter_map(|record| {
            Some(ServerOutcomes {
                serial: record.server.serial,
                incarnation: record.server.incarnation,
                counts: record.outcomes.reported_counts(now)?,
            })
        });
        let mut reports: Vec<ServerOutcomes> = reports.collect();
        reports.sort_by(|a, b| b.counts.bad_share().total_cmp(&a.counts.bad_share()));
        reports.truncate(MAX_OUTCOME_REPORTS);
        reports
    }

    /// Applies the outcomes that the zone counted; those of other incarnations are ignored.
    pub(crate) fn apply_zone_outcomes(&mut self, now: Instant, reports: &[ServerOutcomes]) {
        for report in reports {
            let handle = self.by_tag(Tag::of(report.serial));
            let Some(record) = handle.and_then(|handle| self.get_mut(handle)) else {
                continue;
            };
            let server = &record.server;
            if (server.serial, server.incarnation) == (report.serial, report.incarnation) {
                record.outcomes.set_zone_counts(now, report.counts);
            }
        }
        self.update_penalties(now);
    }

    /// Updates all penalties, because the counts decay over time.
    pub(crate) fn update_penalties(&mut self, now: Instant) {
        for record in self.records.iter_mut().flatten() {
            record.update_penalty(now);
        }
    }

    pub(crate) fn by_tag(&self, tag: Tag) -> Option<ServerHandle> {
        self.by_tag.get(&tag).copied()
    }

    pub(crate) fn pool_of(&self, service: &id::Service) -> Option<&Pool> {
        self.by_service.get(service)
    }

    /// The current record of the server, whatever incarnation the handle refers to.
    pub(crate) fn get(&self, handle: ServerHandle) -> Option<&Record> {
        self.records.get(handle.index())?.as_ref()
    }

    /// The server's record if it still has the incarnation that the handle refers to.
    pub(crate) fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut Record> {
        let record = self.records.get_mut(handle.index())?.as_mut();
        record.filter(|record| record.generation == handle.generation)
    }

    /// Whether the entry contains an incarnation, if the other servers' entries do.
    pub(crate) fn has_expected_incarnation(&self, record: &Record) -> bool {
        !self.entries_have_incarnation || record.server.incarnation.is_some()
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().flatten()
    }
}

/// New flows that this instance may open at a server per second while it is cold.
fn quota_limit(
    own_instance: &id::Instance,
    peers: &[Peer],
    warmups: &HashMap<id::Service, Warmup>,
    server: &Server,
) -> Option<usize> {
    let warmup = warmups.get(&server.service);
    let rate = warmup
        .map(|warmup| warmup.rate)
        .filter(|rate| *rate > 0.0)?;
    Some(warmup::cold_flow_quota(own_instance, peers, server, rate))
}

fn draining_since(server: &Server, before: Option<Instant>, now: Instant) -> Option<Instant> {
    match server.state {
        ServerState::Ready => None,
        ServerState::Draining => before.or(Some(now)),
    }
}
