//! The known backend servers, current and former ones.
//!
//! A server without an entry stays known for the maximum lifetime of a flow, because
//! packets of its flows still carry its tag. It may well be alive if its lease lapsed
//! during an outage of the store.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Balancing;
use crate::flow::Evacuation;
use crate::flow::Peer;
use crate::flow::PeerRing;
use crate::flow::Routes;
use crate::flow::Server;
use crate::flow::ServerOutcomes;
use crate::flow::ServerState;
use crate::flow::StoreContact;
use crate::flow::Tag;
use crate::flow::Warmup;
use crate::flow::baseline::ResponseBaseline;
use crate::flow::load::owner::Affinity;
use crate::flow::load::owner::Owners;
use crate::flow::load::speed::Mean;
use crate::flow::outcome::RequestOutcomes;
use crate::flow::pool::Pool;
use crate::flow::record::Claim;
use crate::flow::record::Record;
use crate::flow::record::ServerHandle;
use crate::flow::record::draining_since;
use crate::id;

/// Maximum number of servers that an instance reports to others. If more servers fail at
/// the same time, further reports hardly improve the selection.
const MAX_OUTCOME_REPORTS: usize = 64;

/// An entry with the address of another known server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AddressClaim {
    /// The server of the entry.
    pub(crate) claimant: id::Server,
    /// The server that was known at the address before.
    pub(crate) known: id::Server,
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
    /// Indexes of the records by address. Several servers may have had an address.
    by_address: HashMap<SocketAddrV4, Vec<u32>>,
    by_service: HashMap<id::Service, Pool>,
    /// How long a server without an entry is kept.
    retention: Duration,
    /// Servers by the time at which their entry was found missing, the earliest first.
    /// Those whose entry is back stay until their time has passed.
    missing: VecDeque<(Instant, ServerHandle)>,
    /// Claims that have not been taken yet.
    new_claims: Vec<AddressClaim>,
    /// Services that the configuration names; `None` before the first configuration.
    services: Option<HashSet<id::Service>>,
    /// Number of servers that are listed now.
    listed: usize,
    /// Indexes of the servers for which failures may be counted.
    with_failures: BTreeSet<u32>,
    /// Whether entries contain incarnations. If so, an entry without one comes from another
    /// writer and is handled as unreadable.
    entries_have_incarnation: bool,
    /// The last uninterrupted contact with the store; `None` while it is unreachable.
    contact: Option<StoreContact>,
    /// Whether the store was restored after the last list.
    is_restored: bool,
    evacuation: Evacuation,
    /// Name of this instance.
    own_instance: id::Instance,
    /// The instances that share the callers, including this one.
    peers: PeerRing,
    balancing: Balancing,
    /// The instances of this zone that prefer a server.
    owners: Owners,
    /// Whether the servers of some pool have changed since the owned ones were computed.
    has_pool_changes: bool,
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
            by_address: HashMap::new(),
            by_service: HashMap::new(),
            retention,
            missing: VecDeque::new(),
            new_claims: Vec::new(),
            services: None,
            listed: 0,
            with_failures: BTreeSet::new(),
            entries_have_incarnation: false,
            contact: None,
            is_restored: false,
            evacuation: Evacuation::default(),
            peers: PeerRing::new(&own_instance, &[]),
            balancing: Balancing::default(),
            owners: Owners::default(),
            has_pool_changes: false,
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
        if is_new_incarnation && self.is_service_named(&server.service) {
            self.mark_claimed(now, &server);
        }
        self.apply(now, server)
    }

    /// Marks the servers known at the address of another server's first entry.
    ///
    /// An address belongs to one machine, so that one of the servers has ended, most likely
    /// the one that was known before. It may as well be the other one: a write without a
    /// response can be executed seconds later, when the address has been reassigned. Only the
    /// servers themselves can tell, so that a claim never resets a flow.
    ///
    /// Load pattern: a quarter of a service's servers vanish and their addresses are
    /// reassigned. Without claims, callers with open flows there would wait until their
    /// deadlines, because the entries first have to lapse and stay missing.
    fn mark_claimed(&mut self, now: Instant, server: &Server) {
        let indexes = self.by_address.get(&server.address);
        for index in indexes.into_iter().flatten() {
            let Some(Some(record)) = self.records.get_mut(*index as usize) else {
                continue;
            };
            // An earlier incarnation is a late write.
            let is_later = server.incarnation >= record.server.incarnation;
            if record.server.id == server.id || !is_later {
                continue;
            }
            record.claim = Some(Claim {
                claimant: server.id.clone(),
                since: now,
            });
            self.new_claims.push(AddressClaim {
                claimant: server.id.clone(),
                known: record.server.id.clone(),
            });
        }
    }

    /// Takes the claims since the last call.
    pub(crate) fn take_new_claims(&mut self) -> Vec<AddressClaim> {
        std::mem::take(&mut self.new_claims)
    }

    /// Ends the claims of a server whose entry is missing, on servers that are still listed.
    ///
    /// A claimant that started at the address after the known server had ended would have
    /// outlived that one's entry.
    fn end_claims(&mut self, claimant: &id::Server, address: SocketAddrV4) {
        let indexes = self.by_address.get(&address);
        for index in indexes.into_iter().flatten() {
            if let Some(Some(record)) = self.records.get_mut(*index as usize)
                && record.missing_since.is_none()
            {
                record.claim.take_if(|claim| claim.claimant == *claimant);
            }
        }
    }

    /// Whether a server's address is claimed by one that is listed.
    fn has_listed_claimant(&self, handle: ServerHandle) -> bool {
        let claim = self.get(handle).and_then(|record| record.claim.as_ref());
        let claimant = claim.and_then(|claim| self.by_id.get(&claim.claimant));
        let claimant = claimant.and_then(|handle| self.get(*handle));
        claimant.is_some_and(|claimant| claimant.missing_since.is_none())
    }

    /// Whether the configuration names the service, as far as it is known.
    fn is_service_named(&self, service: &id::Service) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Whether an entry shows that servers write their incarnation. One of a service that
    /// the configuration does not name comes from another writer.
    fn tells_incarnation(&self, server: &Server) -> bool {
        server.incarnation.is_some() && self.is_service_named(&server.service)
    }

    /// Whether an entry moves a known server to a service that does not exist, which only
    /// another writer does.
    fn is_foreign(&self, known: ServerHandle, entry: &Server) -> bool {
        let known = self.get(known);
        let is_moved = known.is_some_and(|known| known.server.service != entry.service);
        is_moved && !self.is_service_named(&entry.service)
    }

    fn apply(&mut self, now: Instant, server: Server) -> bool {
        self.entries_have_incarnation |= self.tells_incarnation(&server);
        let Some(handle) = self.by_id.get(&server.id).copied() else {
            self.insert(now, server);
            return true;
        };
        if self.is_foreign(handle, &server) {
            self.mark_unreadable(&server.id);
            return true;
        }
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
            self.add_to_pool(handle, &server.service, server.zone == self.zone);
        }
        let known_address = self.get(handle).map(|record| record.server.address);
        if known_address != Some(server.address) {
            self.remove_address(handle);
            self.add_address(handle, server.address);
        }
        let has_listed_claimant = self.has_listed_claimant(handle);
        let Some(record) = self.get_mut(handle) else {
            return;
        };
        let is_back = record.missing_since.take().is_some();
        // A server that writes its entry is alive, unless the entry had lapsed and another
        // server lives at the address: then the write is a late one.
        match record.claim.as_mut() {
            Some(claim) if is_back && has_listed_claimant => claim.since = now,
            _ => record.claim = None,
        }
        record.is_unreadable = false;
        record.draining_since = draining_since(&server, record.draining_since, now);
        record.cold_until = now + server.cold_for;
        record.server = server;
        self.listed += usize::from(is_back);
        self.update_evacuated(handle);
    }

    /// Replaces a server's record by one for its next incarnation, which has no open flows.
    ///
    /// Flows, requests and evidence of the former incarnation keep its handle and are no
    /// longer counted. Otherwise the new incarnation would look loaded or unresponsive
    /// because of requests that it never received. Packets of the old flows are forwarded to
    /// the new incarnation, which resets unknown flows, so that the callers know at once.
    fn restart(&mut self, now: Instant, former: ServerHandle, server: Server) {
        self.remove_from_pool(former);
        self.remove_address(former);
        self.with_failures.remove(&former.index);
        let was_missing = self.get(former).is_some_and(|r| r.missing_since.is_some());
        self.listed += usize::from(was_missing);
        let handle = ServerHandle {
            generation: former.generation.wrapping_add(1),
            ..former
        };
        let tag = Tag::of(server.serial);
        let has_duplicate_tag = self.by_tag.get(&tag) != Some(&former);
        if !has_duplicate_tag {
            self.by_tag.insert(tag, handle);
        }
        self.add_record(now, handle, server, has_duplicate_tag);
    }

    fn add_record(
        &mut self,
        now: Instant,
        handle: ServerHandle,
        server: Server,
        has_duplicate_tag: bool,
    ) {
        let (service, address) = (server.service.clone(), server.address);
        let is_local = server.zone == self.zone;
        self.by_id.insert(server.id.clone(), handle);
        self.records[handle.index()] = Some(Record::new(handle, server, has_duplicate_tag, now));
        self.add_to_pool(handle, &service, is_local);
        self.add_address(handle, address);
        self.update_evacuated(handle);
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
    pub(crate) fn set_peers(&mut self, peers: &[Peer]) {
        self.peers = PeerRing::new(&self.own_instance, peers);
        let per_server = self.balancing.owners_per_server;
        let owners = Owners::new(per_server, &self.own_instance, &self.zone, peers);
        if owners != self.owners {
            self.set_owners(owners);
        }
    }

    /// Selects the decisions under load; servers get owners with the next list of instances.
    pub(crate) fn set_balancing(&mut self, balancing: Balancing) {
        self.balancing = balancing;
    }

    /// Replaces the owners, and recomputes which servers this instance owns.
    fn set_owners(&mut self, owners: Owners) {
        self.owners = owners;
        for pool in self.by_service.values_mut() {
            pool.has_changed = true;
        }
        self.has_pool_changes = true;
        self.update_owned();
    }

    /// Recomputes which servers this instance owns for services whose servers have changed.
    /// Until then a new server has no owner, and those that left are owned no longer.
    pub(crate) fn update_owned(&mut self) {
        if !std::mem::take(&mut self.has_pool_changes) {
            return;
        }
        let records = &mut self.records;
        let changed = self.by_service.values_mut().filter(|pool| pool.has_changed);
        for pool in changed {
            pool.has_changed = false;
            let local = pool.local.iter().filter_map(|handle| {
                let record = records.get_mut(handle.index())?.as_mut()?;
                record.affinity = Affinity::Other;
                Some((*handle, record.server_hash))
            });
            pool.owned.clear();
            for (handle, place) in self.owners.owned(local) {
                pool.owned.push(handle);
                if let Some(Some(record)) = records.get_mut(handle.index()) {
                    record.affinity = Affinity::Owned { place: place as u8 };
                }
            }
        }
    }

    /// Notes that a request begins at a server, for its speed.
    pub(crate) fn begin_request(
        &mut self,
        handle: ServerHandle,
        route: SocketAddrV4,
        now: Instant,
    ) {
        if !self.balancing.learns_speed {
            return;
        }
        let Some(Some(record)) = self.records.get_mut(handle.index()) else {
            return;
        };
        let pool = self.by_service.get(&record.server.service);
        let usual = pool.and_then(|pool| pool.usual.get(&route).copied());
        if record.generation == handle.generation {
            record.speed.begin(now, usual.unwrap_or_default());
        }
    }

    /// Notes that a request has ended at a server, for its speed.
    pub(crate) fn end_request(&mut self, handle: ServerHandle, started: Instant) {
        if self.balancing.learns_speed
            && let Some(record) = self.get_mut(handle)
        {
            record.speed.end(started);
        }
    }

    /// Learns a server's speed from a response.
    pub(crate) fn learn_speed(
        &mut self,
        handle: ServerHandle,
        route: SocketAddrV4,
        response_time: Duration,
        now: Instant,
    ) {
        if !self.balancing.learns_speed {
            return;
        }
        let Some(Some(record)) = self.records.get_mut(handle.index()) else {
            return;
        };
        let Some(pool) = self.by_service.get_mut(&record.server.service) else {
            return;
        };
        if record.generation != handle.generation {
            return;
        }
        let usual = pool.usual.entry(route).or_default();
        if let Some(ratio) = usual.answer_ratio(response_time) {
            record.speed.sample(now, ratio);
            pool.recent.sample(now, ratio);
        }
        usual.sample(response_time);
    }

    /// Learned speed of a server relative to others; `None` if it is not known.
    pub(crate) fn speed(&self, record: &Record, service: &Mean, now: Instant) -> Option<f64> {
        let learns = self.balancing.learns_speed;
        learns.then(|| record.speed.relative(now, service))?
    }

    pub(crate) fn owners(&self) -> &Owners {
        &self.owners
    }

    /// Applies what a configuration says about services.
    pub(crate) fn set_services(&mut self, routes: &Routes) {
        self.warmups = routes.warmups.clone();
        self.services = Some(routes.services());
        let has_incarnation = self
            .records()
            .any(|record| self.tells_incarnation(&record.server));
        self.entries_have_incarnation = has_incarnation;
    }

    /// Whether a server is cold and this instance has used up its quota for it.
    pub(crate) fn is_quota_exhausted(&self, record: &Record, now: Instant) -> bool {
        if now >= record.cold_until {
            return false;
        }
        let rate = self.cold_rate(record);
        rate.is_some_and(|rate| {
            let quota = self.peers.cold_flow_quota(&record.server, rate);
            record.cold_flows.count(now) >= quota
        })
    }

    /// Requests per second that a server can process from all instances together while it is
    /// cold; `None` for no limit.
    fn cold_rate(&self, record: &Record) -> Option<f64> {
        let warmup = self.warmups.get(&record.server.service)?;
        Some(warmup.rate).filter(|rate| *rate > 0.0)
    }

    /// Counts a new flow against the quota if the server is cold.
    pub(crate) fn use_cold_quota(&mut self, handle: ServerHandle, now: Instant) {
        let is_limited =
            |record: &Record| now < record.cold_until && self.cold_rate(record).is_some();
        if self.get(handle).is_some_and(is_limited)
            && let Some(record) = self.get_mut(handle)
        {
            record.cold_flows.add(now);
        }
    }

    fn update_evacuated(&mut self, handle: ServerHandle) {
        if let Some(Some(record)) = self.records.get_mut(handle.index()) {
            record.is_evacuated = self.evacuation.contains(&record.server.zone);
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
        self.listed += 1;
        let tag = Tag::of(server.serial);
        // The older server keeps the tag, because its flows carry it already. Packets for
        // the newer one would reach the wrong server, so it gets no flows.
        let has_duplicate_tag = self.by_tag.contains_key(&tag);
        if !has_duplicate_tag {
            self.by_tag.insert(tag, handle);
        }
        self.add_record(now, handle, server, has_duplicate_tag);
    }

    /// Marks a server's entry as missing.
    pub fn remove(&mut self, now: Instant, id: &id::Server) {
        let Some(handle) = self.by_id.get(id).copied() else {
            return;
        };
        if let Some(record) = self.get_mut(handle)
            && record.missing_since.is_none()
        {
            record.missing_since = Some(now);
            let address = record.server.address;
            self.missing.push_back((now, handle));
            self.listed -= 1;
            self.end_claims(id, address);
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
        let is_restored = std::mem::take(&mut self.is_restored);
        // A list does not show which of two servers at one address started later.
        for mut server in servers {
            if is_restored && self.is_draining(&server) {
                server.state = ServerState::Draining;
            }
            self.apply(now, server);
        }
        self.update_owned();
    }

    /// Whether a server is known to drain in the incarnation of this entry.
    fn is_draining(&self, entry: &Server) -> bool {
        let handle = self.by_id.get(&entry.id);
        let known = handle.and_then(|handle| self.get(*handle));
        known.is_some_and(|known| {
            known.server.incarnation == entry.incarnation
                && known.server.state == ServerState::Draining
        })
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

    /// Records that the store was restored from an older copy.
    ///
    /// Its next list may show a draining server as it was before, until the server writes its
    /// entry again. Entries may be missing for as long as after an outage.
    pub(crate) fn note_restored(&mut self) {
        self.contact = None;
        self.is_restored = true;
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
        ready && !record.is_claimed() && missing.is_some_and(|missing| self.may_return(missing))
    }

    /// Since when a server has been proven to be gone; `None` while it may be alive.
    ///
    /// An entry also lapses if its server cannot reach the store. The server therefore
    /// counts as gone if it has not answered and the contact with the store has lasted
    /// longer than a live server needs to restore its entry.
    pub(crate) fn gone_since(&self, handle: ServerHandle) -> Option<Instant> {
        let record = self.get(handle)?;
        let missing = record.missing_since;
        let missing = missing.filter(|missing| !self.may_return(*missing));
        missing.filter(|missing| !record.has_answered_since(*missing))
    }

    /// Sets for how long a server without an entry is kept.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Removes servers that have been missing for longer than the lifetime of a flow.
    pub fn forget(&mut self, now: Instant) {
        while let Some((missing, handle)) = self.missing.front().copied()
            && now >= missing + self.retention
        {
            self.missing.pop_front();
            let record = self.get_mut(handle);
            if record.is_some_and(|record| record.missing_since == Some(missing)) {
                self.forget_server(handle);
            }
        }
    }

    fn forget_server(&mut self, handle: ServerHandle) {
        self.remove_from_pool(handle);
        self.remove_address(handle);
        self.with_failures.remove(&handle.index);
        let Some(record) = self.records[handle.index()].take() else {
            return;
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

    fn add_to_pool(&mut self, handle: ServerHandle, service: &id::Service, is_local: bool) {
        let pool = self.by_service.entry(service.clone()).or_default();
        let list = pool.list_mut(is_local);
        list.push(handle);
        let pool_index = list.len() - 1;
        if let Some(Some(record)) = self.records.get_mut(handle.index()) {
            record.pool_index = pool_index;
            record.affinity = match is_local {
                true => Affinity::Other,
                false => Affinity::Remote,
            };
        }
        if is_local && self.owners.is_active() {
            pool.has_changed = true;
            self.has_pool_changes = true;
        }
    }

    fn remove_from_pool(&mut self, handle: ServerHandle) {
        let Some(Some(record)) = self.records.get(handle.index()) else {
            return;
        };
        let (pool_index, is_local) = (record.pool_index, record.server.zone == self.zone);
        let Some(pool) = self.by_service.get_mut(&record.server.service) else {
            return;
        };
        if record.affinity.is_owned() {
            pool.owned.retain(|owned| !owned.is_same_server(handle));
        }
        if is_local && self.owners.is_active() {
            pool.has_changed = true;
            self.has_pool_changes = true;
        }
        let list = pool.list_mut(is_local);
        list.swap_remove(pool_index);
        // The last server of the list has taken the place of the removed one.
        if let Some(moved) = list.get(pool_index).copied()
            && let Some(Some(record)) = self.records.get_mut(moved.index())
        {
            record.pool_index = pool_index;
        }
    }

    fn add_address(&mut self, handle: ServerHandle, address: SocketAddrV4) {
        self.by_address
            .entry(address)
            .or_default()
            .push(handle.index);
    }

    fn remove_address(&mut self, handle: ServerHandle) {
        let Some(address) = self.get(handle).map(|record| record.server.address) else {
            return;
        };
        if let Some(indexes) = self.by_address.get_mut(&address) {
            indexes.retain(|index| *index != handle.index);
            if indexes.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// The last known entries of all servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.records().map(|record| &record.server)
    }

    /// Number of servers that are listed in the store now.
    pub fn listed_count(&self) -> usize {
        self.listed
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
        let reports = self.with_failures.iter().filter_map(|index| {
            let record = self.records.get(*index as usize)?.as_ref()?;
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
            let Some(handle) = handle else {
                continue;
            };
            let Some(record) = self.get_mut(handle) else {
                continue;
            };
            let server = &record.server;
            if (server.serial, server.incarnation) == (report.serial, report.incarnation) {
                record.outcomes.set_zone_counts(now, report.counts);
                self.with_failures.insert(handle.index);
            }
        }
        self.update_penalties(now);
    }

    /// Updates the penalties, because the counts decay over time.
    pub(crate) fn update_penalties(&mut self, now: Instant) {
        let records = &mut self.records;
        self.with_failures.retain(|index| {
            let Some(Some(record)) = records.get_mut(*index as usize) else {
                return false;
            };
            record.update_penalty(now);
            record.outcomes.has_failures(now)
        });
    }

    /// Counts a request that failed, or was answered, at a server.
    pub(crate) fn count_outcome(
        &mut self,
        handle: ServerHandle,
        now: Instant,
        count: impl FnOnce(&mut RequestOutcomes),
    ) {
        let Some(record) = self.get_mut(handle) else {
            return;
        };
        count(&mut record.outcomes);
        record.update_penalty(now);
        if record.outcomes.has_failures(now) {
            self.with_failures.insert(handle.index);
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
