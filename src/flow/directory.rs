//! The backend servers known, present and past.
//!
//! Servers whose entry is gone stay known for as long as a flow may last, since
//! their flows' packets still carry their tags: a server whose lease lapsed
//! while the store was away may well live.

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
use crate::flow::baseline::Usual;
use crate::flow::choice;
use crate::flow::liveness::Liveness;
use crate::flow::outcome::RequestOutcomes;
use crate::flow::warmup;
use crate::flow::warmup::Share;
use crate::id;

/// Time after another server's start at an address in which its former server may still
/// show that it lives. Whoever answers has been heard within it: callers repeat after
/// 0.2 s, and a living server's own entry is passed on in milliseconds.
const SUCCESSION: Duration = Duration::from_millis(500);

/// Servers that an instance tells others of at most. More that fail at once are
/// hardly worth telling apart.
const MOST_TESTIMONY: usize = 64;

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes new flows.
    Ready,
    /// Finishes its flows and leaves.
    Draining,
}

/// A server as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its key in the store.
    pub id: id::Server,
    /// What datagrams to it are named with.
    pub serial: Serial,
    /// Its present life; `None` when its entry does not tell.
    pub incarnation: Option<Incarnation>,
    /// The service it runs.
    pub service: id::Service,
    /// Where it takes datagrams.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: ServerState,
    /// How long it stays slow after its start.
    pub cold_for: Duration,
}

/// Where a datagram goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server's address.
    pub address: SocketAddrV4,
    /// The server that is meant.
    pub serial: Serial,
    /// Tag that leads the flow's later packets there.
    pub tag: Tag,
}

/// Index of one life of a server in the directory; stays valid until the server is
/// forgotten, which is later than any of its flows is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Slot {
    index: u32,
    /// Lives of the server before this one.
    life: u32,
}

impl Slot {
    fn index(self) -> usize {
        self.index as usize
    }

    /// Whether both are lives of one server.
    pub(crate) fn is_same_server(self, other: Self) -> bool {
        self.index == other.index
    }
}

/// What is known about a server.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) server: Server,
    pub(crate) tag: Tag,
    /// Lives before this one.
    life: u32,
    /// Whether its entry holds something that nobody can read, so that it names no
    /// server to use; the server itself may well live.
    pub(crate) is_unreadable: bool,
    /// When its entry was found missing; `None` while it is listed.
    pub(crate) missing_since: Option<Instant>,
    /// When another server has started at its address.
    replaced_since: Option<Instant>,
    pub(crate) draining_since: Option<Instant>,
    /// Whether its zone is evacuated.
    pub(crate) is_evacuated: bool,
    pub(crate) cold_until: Instant,
    /// New flows that this instance may send it while it is cold.
    pub(crate) share: Share,
    pub(crate) liveness: Liveness,
    pub(crate) outcomes: RequestOutcomes,
    /// Requests of this instance that wait for the server's answer.
    pub(crate) outstanding: u32,
    /// Open flows that passed this instance.
    pub(crate) flows: u32,
    /// What its share of bad ends adds to its load, as of the last look.
    pub(crate) penalty: f64,
    /// Whether an older server has the same tag, so that this one's flows could
    /// not be told from that one's.
    has_doubled_tag: bool,
}

impl Record {
    fn new(slot: Slot, server: Server, has_doubled_tag: bool, now: Instant) -> Self {
        Self {
            tag: Tag::of(server.serial),
            life: slot.life,
            is_unreadable: false,
            missing_since: None,
            replaced_since: None,
            draining_since: draining_since(&server, None, now),
            is_evacuated: false,
            cold_until: now + server.cold_for,
            share: Share::default(),
            liveness: Liveness::default(),
            outcomes: RequestOutcomes::default(),
            outstanding: 0,
            flows: 0,
            penalty: 0.0,
            has_doubled_tag,
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

    /// Works out the penalty anew. A choice looks at dozens of servers, and most of
    /// them give no cause for any arithmetic.
    pub(crate) fn weigh(&mut self, now: Instant) {
        self.penalty = choice::penalty(self.outcomes.bad_share(now));
    }

    /// Whether it is cold and has had this instance's share of new flows.
    pub(crate) fn is_spent(&self, now: Instant) -> bool {
        now < self.cold_until && !self.share.has_room(now)
    }

    /// Whether new flows may go there.
    pub(crate) fn is_open(&self) -> bool {
        self.may_open() && !self.is_unreadable
    }

    /// Whether new flows may go there as far as its last readable entry tells.
    pub(crate) fn may_open(&self) -> bool {
        let ready = self.server.state == ServerState::Ready;
        let is_listed = self.missing_since.is_none() && self.replaced_since.is_none();
        ready && is_listed && !self.has_doubled_tag
    }

    /// Whether it has answered something since then.
    fn has_answered_since(&self, at: Instant) -> bool {
        self.liveness.last_answer() > Some(at)
    }
}

/// The servers of one service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Those of this instance's availability zone.
    pub(crate) home: Vec<Slot>,
    /// Those of other zones.
    pub(crate) away: Vec<Slot>,
    /// What its answers usually are.
    pub(crate) usual: Usual,
}

impl Pool {
    fn side(&mut self, is_home: bool) -> &mut Vec<Slot> {
        if is_home {
            &mut self.home
        } else {
            &mut self.away
        }
    }
}

/// All servers known.
#[derive(Debug)]
pub struct Directory {
    /// This instance's availability zone.
    home: id::Zone,
    /// Records by slot; a slot is used again after its server is forgotten.
    records: Vec<Option<Record>>,
    free: Vec<Slot>,
    by_id: HashMap<id::Server, Slot>,
    by_tag: HashMap<Tag, Slot>,
    by_service: HashMap<id::Service, Pool>,
    /// How long a server that is gone stays known.
    keep: Duration,
    /// Whether entries tell their servers' lives; one that does not is somebody
    /// else's then, and counts as unreadable.
    tells_lives: bool,
    /// The last unbroken contact with the store; `None` while it is silent.
    contact: Option<StoreContact>,
    evacuation: Evacuation,
    /// This instance.
    me: id::Instance,
    /// The instances that share the callers, this one included.
    peers: Vec<Peer>,
    /// What servers bear after their start, by service.
    warmups: HashMap<id::Service, Warmup>,
}

impl Directory {
    /// An empty directory of an instance in this zone that knows past servers
    /// for this long.
    pub fn new(me: id::Instance, home: id::Zone, keep: Duration) -> Self {
        Self {
            records: Vec::new(),
            free: Vec::new(),
            by_id: HashMap::new(),
            by_tag: HashMap::new(),
            by_service: HashMap::new(),
            keep,
            tells_lives: false,
            contact: None,
            evacuation: Evacuation::default(),
            peers: vec![Peer {
                instance: me.clone(),
                zone: home.clone(),
            }],
            warmups: HashMap::new(),
            me,
            home,
        }
    }

    /// Takes in a server's entry as it is written; `false` when it is of an earlier life.
    ///
    /// A write of a server's former life can reach the store after the first of
    /// its present one.
    pub fn put(&mut self, now: Instant, server: Server) -> bool {
        let slot = self.by_id.get(&server.id);
        let known = slot.and_then(|slot| self.get(*slot));
        let is_new_life = known.is_none_or(|known| {
            known.server.incarnation.is_some() && known.server.incarnation < server.incarnation
        });
        if is_new_life {
            self.replace_at(now, &server);
        }
        self.take(now, server)
    }

    /// Notes that a server starts at an address at which others are known.
    ///
    /// An address belongs to one machine, so that a start there ends whoever was there
    /// before. Load pattern: a quarter of a service's servers vanish and their
    /// addresses are given away; callers with open flows there would wait for
    /// their deadlines until the entries have lapsed and stayed away.
    fn replace_at(&mut self, now: Instant, server: &Server) {
        for record in self.records.iter_mut().flatten() {
            let known = &record.server;
            let is_former = known.address == server.address && known.id != server.id;
            // Of those that tell their starts, one that is earlier was merely written late.
            let is_later = server.incarnation >= known.incarnation;
            if is_former && is_later {
                record.replaced_since.get_or_insert(now);
            }
        }
    }

    fn take(&mut self, now: Instant, server: Server) -> bool {
        self.tells_lives |= server.incarnation.is_some();
        let Some(slot) = self.by_id.get(&server.id).copied() else {
            self.insert(now, server);
            return true;
        };
        let known = self.get(slot).and_then(|record| record.server.incarnation);
        match known.cmp(&server.incarnation) {
            Ordering::Greater if server.incarnation.is_none() => {
                self.mark_unreadable(&server.id);
                return true;
            }
            Ordering::Greater => return false,
            Ordering::Less if known.is_some() => self.restart(now, slot, server),
            Ordering::Less | Ordering::Equal => self.update(now, slot, server),
        }
        true
    }

    fn update(&mut self, now: Instant, slot: Slot, server: Server) {
        let is_moved = |known: &Record| {
            known.server.service != server.service || known.server.zone != server.zone
        };
        if self.get(slot).is_some_and(is_moved) {
            self.unlist(slot);
            self.list(slot, &server);
        }
        let Some(record) = self.get_mut(slot) else {
            return;
        };
        record.missing_since = None;
        // Whoever writes lives.
        record.replaced_since = None;
        record.is_unreadable = false;
        record.draining_since = draining_since(&server, record.draining_since, now);
        record.cold_until = now + server.cold_for;
        record.server = server;
        self.prepare(slot);
    }

    /// Begins a server's next life, which holds nothing of the one before.
    ///
    /// Flows, requests and evidence of the former life stay with its slot, which
    /// counts nowhere any more: the new one would look loaded or silent for what
    /// it never had. Packets of those flows go to the new life, which resets what
    /// it does not hold, so that their callers know at once.
    fn restart(&mut self, now: Instant, former: Slot, server: Server) {
        self.unlist(former);
        let slot = Slot {
            life: former.life.wrapping_add(1),
            ..former
        };
        let tag = Tag::of(server.serial);
        let has_doubled_tag = self.by_tag.get(&tag) != Some(&former);
        if !has_doubled_tag {
            self.by_tag.insert(tag, slot);
        }
        self.by_id.insert(server.id.clone(), slot);
        self.list(slot, &server);
        self.records[slot.index()] = Some(Record::new(slot, server, has_doubled_tag, now));
        self.prepare(slot);
    }

    /// Changes which zones are evacuated; `false` when that changes nothing.
    pub(crate) fn evacuate(
        &mut self,
        now: Instant,
        change: impl FnOnce(&mut Evacuation) -> bool,
    ) -> bool {
        let is_new = change(&mut self.evacuation);
        for record in self.records.iter_mut().flatten() {
            let is_evacuated = self.evacuation.contains(&record.server.zone);
            let is_back = record.is_evacuated && !is_evacuated;
            record.is_evacuated = is_evacuated;
            // Its entry may tell only later that it has become cold meanwhile.
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

    /// Takes over who shares the callers, this instance among them.
    pub(crate) fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
        self.share_out();
    }

    /// Takes over what servers bear after their start.
    pub(crate) fn set_warmups(&mut self, warmups: HashMap<id::Service, Warmup>) {
        if self.warmups != warmups {
            self.warmups = warmups;
            self.share_out();
        }
    }

    /// Counts a new flow at a server that may be cold.
    pub(crate) fn take_share(&mut self, slot: Slot, now: Instant) {
        if let Some(record) = self.get_mut(slot)
            && now < record.cold_until
        {
            record.share.take(now);
        }
    }

    fn share_out(&mut self) {
        for record in self.records.iter_mut().flatten() {
            let most = most(&self.me, &self.peers, &self.warmups, &record.server);
            record.share.set(most);
        }
    }

    /// Works out what depends on a server's entry and on others.
    fn prepare(&mut self, slot: Slot) {
        if let Some(Some(record)) = self.records.get_mut(slot.index()) {
            record.is_evacuated = self.evacuation.contains(&record.server.zone);
            let most = most(&self.me, &self.peers, &self.warmups, &record.server);
            record.share.set(most);
        }
    }

    /// Takes in that a server's entry cannot be read.
    pub fn mark_unreadable(&mut self, id: &id::Server) {
        let slot = self.by_id.get(id).copied();
        if let Some(record) = slot.and_then(|slot| self.get_mut(slot)) {
            record.is_unreadable = true;
        }
    }

    fn insert(&mut self, now: Instant, server: Server) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.records.push(None);
            let index = self.records.len() as u32 - 1;
            Slot { index, life: 0 }
        });
        let tag = Tag::of(server.serial);
        // The older server keeps the tag: its flows carry it already. Packets
        // of the later one would reach the wrong server, so it gets no flows.
        let has_doubled_tag = self.by_tag.contains_key(&tag);
        if !has_doubled_tag {
            self.by_tag.insert(tag, slot);
        }
        self.by_id.insert(server.id.clone(), slot);
        self.list(slot, &server);
        self.records[slot.index()] = Some(Record::new(slot, server, has_doubled_tag, now));
        self.prepare(slot);
    }

    /// Takes in that a server's entry is gone.
    pub fn remove(&mut self, now: Instant, id: &id::Server) {
        let slot = self.by_id.get(id).copied();
        if let Some(record) = slot.and_then(|slot| self.get_mut(slot)) {
            record.missing_since.get_or_insert(now);
        }
    }

    /// Takes in the whole list; what is neither on it nor unreadable is gone.
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
        // A list does not tell which of two servers at one address is the later one.
        for server in servers {
            self.take(now, server);
        }
    }

    /// Notes that the store has answered.
    pub fn note_contact(&mut self, contact: StoreContact) {
        let joined = self.contact.map_or(contact, |before| before.merge(contact));
        self.contact = Some(joined);
    }

    /// Notes that the store does not answer.
    pub fn note_silence(&mut self) {
        self.contact = None;
    }

    /// Whether an entry that has been missing since then may still come back.
    fn may_come_back(&self, missing: Instant) -> bool {
        self.contact
            .is_none_or(|contact| !contact.outlasts(missing))
    }

    /// Whether new flows may go to a server although its entry is missing.
    ///
    /// A store that goes away may drop the entries of servers that live, all of them.
    /// Callers would be refused until it is back.
    pub(crate) fn may_return(&self, record: &Record) -> bool {
        let ready = record.server.state == ServerState::Ready && !record.has_doubled_tag;
        let missing = record.missing_since;
        let is_replaced = record.replaced_since.is_some();
        ready && !is_replaced && missing.is_some_and(|missing| self.may_come_back(missing))
    }

    /// Since when a server is proved to be gone; `None` while it may live.
    ///
    /// An entry also lapses while its server cannot reach the store. It counts
    /// as gone when contact with the store has outlasted what a return may take and
    /// nothing has come from the server since, or when another server has
    /// its address and it has not been heard since.
    pub(crate) fn gone_since(&self, slot: Slot, now: Instant) -> Option<Instant> {
        let record = self.get(slot)?;
        let is_over = |replaced: &Instant| now >= *replaced + SUCCESSION;
        let replaced = record.replaced_since.filter(is_over);
        let missing = record.missing_since;
        let missing = missing.filter(|missing| !self.may_come_back(*missing));
        let is_silent = |since: &Instant| !record.has_answered_since(*since);
        replaced.or(missing).filter(is_silent)
    }

    /// Forgets servers that have been gone for longer than a flow lasts.
    pub fn forget(&mut self, now: Instant) {
        let keep = self.keep;
        let is_over = |record: &Record| record.missing_since.is_some_and(|s| now >= s + keep);
        let slots = self.records.iter().enumerate();
        let over = slots.filter_map(|(index, record)| {
            let record = record.as_ref().filter(|record| is_over(record))?;
            Some(Slot {
                index: index as u32,
                life: record.life,
            })
        });
        let over: Vec<Slot> = over.collect();
        for slot in over {
            self.unlist(slot);
            let Some(record) = self.records[slot.index()].take() else {
                continue;
            };
            // Flows may still name the slot's former server.
            self.free.push(Slot {
                life: slot.life.wrapping_add(1),
                ..slot
            });
            self.by_id.remove(&record.server.id);
            if self.by_tag.get(&record.tag) == Some(&slot) {
                self.by_tag.remove(&record.tag);
            }
        }
    }

    fn list(&mut self, slot: Slot, server: &Server) {
        let is_home = server.zone == self.home;
        let pool = self.by_service.entry(server.service.clone()).or_default();
        pool.side(is_home).push(slot);
    }

    fn unlist(&mut self, slot: Slot) {
        let Some(record) = self.get(slot) else {
            return;
        };
        let service = record.server.service.clone();
        let is_home = record.server.zone == self.home;
        if let Some(pool) = self.by_service.get_mut(&service) {
            pool.side(is_home).retain(|other| *other != slot);
        }
    }

    /// What the known servers last told of themselves, in no order.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.records().map(|record| &record.server)
    }

    /// Servers listed at this moment.
    pub fn listed_count(&self) -> usize {
        let is_listed = |record: &&Record| record.missing_since.is_none();
        self.records().filter(is_listed).count()
    }

    /// Flows and requests counted at all servers.
    pub fn load(&self) -> u64 {
        let of = |record: &Record| u64::from(record.flows) + u64::from(record.outstanding);
        self.records().map(of).sum()
    }

    /// What a server's answers usually are.
    pub(crate) fn usual_mut(&mut self, slot: Slot) -> Option<&mut Usual> {
        let service = &self.records.get(slot.index())?.as_ref()?.server.service;
        self.by_service.get_mut(service).map(|pool| &mut pool.usual)
    }

    /// What this instance counted against servers, the worst first.
    pub(crate) fn server_outcomes(&self, now: Instant) -> Vec<ServerOutcomes> {
        let told = self.records().filter_map(|record| {
            Some(ServerOutcomes {
                serial: record.server.serial,
                incarnation: record.server.incarnation,
                counts: record.outcomes.reported_counts(now)?,
            })
        });
        let mut told: Vec<ServerOutcomes> = told.collect();
        told.sort_by(|a, b| b.counts.bad_share().total_cmp(&a.counts.bad_share()));
        told.truncate(MOST_TESTIMONY);
        told
    }

    /// Takes over what the zone counted; of other lives nothing counts.
    pub(crate) fn hear(&mut self, now: Instant, testimony: &[ServerOutcomes]) {
        for told in testimony {
            let slot = self.by_tag(Tag::of(told.serial));
            let Some(record) = slot.and_then(|slot| self.get_mut(slot)) else {
                continue;
            };
            let server = &record.server;
            if (server.serial, server.incarnation) == (told.serial, told.incarnation) {
                record.outcomes.hear(now, told.counts);
            }
        }
        self.weigh(now);
    }

    /// Works out all penalties anew: counts fade.
    pub(crate) fn weigh(&mut self, now: Instant) {
        for record in self.records.iter_mut().flatten() {
            record.weigh(now);
        }
    }

    pub(crate) fn by_tag(&self, tag: Tag) -> Option<Slot> {
        self.by_tag.get(&tag).copied()
    }

    pub(crate) fn of_service(&self, service: &id::Service) -> Option<&Pool> {
        self.by_service.get(service)
    }

    /// The server, in its present life.
    pub(crate) fn get(&self, slot: Slot) -> Option<&Record> {
        self.records.get(slot.index())?.as_ref()
    }

    /// The server, if it still lives the life that is meant.
    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut Record> {
        let record = self.records.get_mut(slot.index())?.as_mut();
        record.filter(|record| record.life == slot.life)
    }

    /// Whether an entry tells what all servers tell of themselves.
    pub(crate) fn is_complete(&self, record: &Record) -> bool {
        !self.tells_lives || record.server.incarnation.is_some()
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().flatten()
    }
}

/// New flows that this instance may send a server while it is cold.
fn most(
    me: &id::Instance,
    peers: &[Peer],
    warmups: &HashMap<id::Service, Warmup>,
    server: &Server,
) -> Option<usize> {
    let warmup = warmups.get(&server.service);
    let rate = warmup
        .map(|warmup| warmup.rate)
        .filter(|rate| *rate > 0.0)?;
    Some(warmup::cold_flow_quota(me, peers, server, rate))
}

fn draining_since(server: &Server, before: Option<Instant>, now: Instant) -> Option<Instant> {
    match server.state {
        ServerState::Ready => None,
        ServerState::Draining => before.or(Some(now)),
    }
}
