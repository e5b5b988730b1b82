//! The copy itself: the newest change of each key, in the order it was learned.
//!
//! A subscriber needs the newest value of a key, not each version on the way.
//! So each key stands in the order of changes once, at the place of its last
//! change, and whoever falls behind is told less, not more.
//!
//! Changes are not learned in the order of their revisions: a large value may
//! come after small ones that were written later. Which change of a key is newer
//! is therefore a matter of the key's own revision, and what a subscriber has
//! been told is counted by [`Place`], the order of learning.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::flow::StoreContact;
use crate::id;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::poll::UnreadableEntry;
use crate::replica::Member;
use crate::replica::message::Held;
use crate::replica::outcome::OutcomeAggregator;
use crate::replica::pacer::Pacer;
use crate::replica::pack::Base;
use crate::replica::pack::Shelf;
use crate::replica::publish::HEARTBEAT;
use crate::replica::register;

/// Deleted keys that are remembered; who has not heard of an earlier one gets a
/// whole copy. Twice the servers that the largest deployment planned replaces in
/// a minute.
const MOST_DELETED: usize = 512;

/// Instances that have introduced themselves and are remembered: enough that some of
/// them live, few enough to ask all at once for a copy.
const MOST_INTRODUCED: usize = 8;

/// What a copy tells its own instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The whole prefix; what is not among the entries does not exist.
    Reset {
        /// All keys.
        entries: Vec<Entry>,
        /// Keys that exist but whose values could not be read.
        refused: Vec<UnreadableEntry>,
        /// Revision of the store.
        revision: u64,
    },
    /// One key changed.
    Change(Change),
    /// A key whose new value could not be read.
    Refused(UnreadableEntry),
    /// Everything that the store knew by the end of this contact has been told.
    Contact(StoreContact),
    /// The store does not answer; told once for each silence.
    StoreUnreachable {
        /// The first error.
        reason: String,
    },
    /// The instances that are registered.
    Members(Vec<Member>),
    /// Changes come from here from now on.
    UpstreamChanged {
        /// The instance; `None` for the store itself.
        upstream: Option<id::Instance>,
    },
}

/// Place in the order in which changes were learned; later ones are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(u64);

/// The newest change of a key.
#[derive(Clone, Debug)]
struct Newest {
    place: Place,
    change: Change,
}

/// A whole copy at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// All keys.
    pub entries: Vec<Entry>,
    /// Revision up to which everything is known.
    pub revision: u64,
    /// What was learned after it is told separately.
    pub place: Place,
}

/// The newest change of each key.
#[derive(Debug, Default)]
pub struct Copy {
    keys: BTreeMap<String, Newest>,
    /// Keys in the order of their newest changes.
    order: BTreeMap<Place, String>,
    /// Keys that were deleted, earliest first.
    deleted: BTreeSet<(Place, u64)>,
    /// Place of the last change learned.
    last: Place,
    /// Revision up to which all is known; `None` before the first listing.
    horizon: Option<u64>,
    /// Deletions at and before these have been forgotten.
    forgotten_place: Place,
    forgotten_revision: u64,
}

impl Copy {
    /// Revision up to which all is known; `None` before the first listing.
    pub fn horizon(&self) -> Option<u64> {
        self.horizon
    }

    /// Takes over a whole listing; gives back how it differs from what was known,
    /// or `None` when more is known already.
    ///
    /// Subscribers are told the difference only: after the store has dropped its
    /// history, whoever follows it lists it anew, and has missed little.
    pub fn reset(&mut self, entries: &[Entry], revision: u64) -> Option<Vec<Change>> {
        if self.horizon.is_some_and(|horizon| horizon > revision) {
            return None;
        }
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let is_missing = |(key, newest): &(&String, &Newest)| {
            matches!(newest.change, Change::Put(_)) && !listed.contains(key.as_str())
        };
        let missing = self.keys.iter().filter(is_missing);
        let deletions = missing.map(|(key, _)| Change::Delete {
            key: key.clone(),
            mod_revision: revision,
        });
        let mut changes: Vec<Change> = deletions.collect();
        changes.extend(entries.iter().cloned().map(Change::Put));
        // What a listing names exists, however old its last change is.
        self.forgotten_revision = 0;
        let fresh = self.apply(changes, revision);
        self.forgotten_revision = revision;
        Some(fresh)
    }

    /// Takes over changes; gives back those that were new.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut fresh = Vec::new();
        for change in changes {
            if self.is_new(&change) {
                self.take(change.clone());
                fresh.push(change);
            }
        }
        self.horizon = Some(self.horizon.unwrap_or_default().max(revision));
        fresh
    }

    /// Whether a change is newer than what is known of its key. Of a key that is
    /// not known, what is older than the deletions forgotten may be one of them.
    fn is_new(&self, change: &Change) -> bool {
        let revision = change.mod_revision();
        match self.keys.get(key(change)) {
            Some(newest) => revision > newest.change.mod_revision(),
            None => revision > self.forgotten_revision,
        }
    }

    fn take(&mut self, change: Change) {
        self.last.0 += 1;
        let place = self.last;
        let key = key(&change).to_owned();
        if matches!(change, Change::Delete { .. }) {
            self.deleted.insert((place, change.mod_revision()));
        }
        self.order.insert(place, key.clone());
        if let Some(before) = self.keys.insert(key, Newest { place, change }) {
            self.order.remove(&before.place);
            let revision = before.change.mod_revision();
            self.deleted.remove(&(before.place, revision));
        }
        if self.deleted.len() > MOST_DELETED {
            self.forget_deletion();
        }
    }

    fn forget_deletion(&mut self) {
        let Some((place, revision)) = self.deleted.pop_first() else {
            return;
        };
        if let Some(key) = self.order.remove(&place) {
            self.keys.remove(&key);
        }
        self.forgotten_place = place;
        self.forgotten_revision = self.forgotten_revision.max(revision);
    }

    /// Whether who knows everything up to this revision needs a whole copy.
    pub fn needs_whole(&self, known: Option<u64>) -> bool {
        known.is_none_or(|known| known < self.forgotten_revision)
    }

    /// Whether who was told everything up to this place needs a whole copy.
    pub fn has_forgotten(&self, place: Place) -> bool {
        place < self.forgotten_place
    }

    /// The newest changes after a revision, and the place up to which they are all.
    pub fn after_revision(&self, known: u64) -> (Vec<Change>, Place) {
        let newer = self.keys.values().map(|newest| &newest.change);
        let newer = newer.filter(|change| change.mod_revision() > known);
        (newer.cloned().collect(), self.last)
    }

    /// The newest changes after a place, and the place up to which they are all.
    pub fn after(&self, place: Place) -> (Vec<Change>, Place) {
        let later = self.order.range(Place(place.0 + 1)..);
        let later = later.filter_map(|(_, key)| self.keys.get(key));
        let changes = later.map(|newest| newest.change.clone());
        (changes.collect(), self.last)
    }

    /// Everything; `None` before the first listing.
    pub fn snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            entries: self.entries().cloned().collect(),
            revision: self.horizon?,
            place: self.last,
        })
    }

    /// A key's entry; `None` when it does not exist.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        match &self.keys.get(key)?.change {
            Change::Put(entry) => Some(entry),
            Change::Delete { .. } => None,
        }
    }

    /// All entries, in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.keys
            .values()
            .filter_map(|newest| match &newest.change {
                Change::Put(entry) => Some(entry),
                Change::Delete { .. } => None,
            })
    }
}

pub(crate) fn key(change: &Change) -> &str {
    match change {
        Change::Put(entry) => &entry.key,
        Change::Delete { key, .. } => key,
    }
}

#[derive(Debug, Default)]
struct State {
    copy: Copy,
    /// When the store is known to have had nothing newer.
    contact: Option<Instant>,
}

/// A copy that the sources write and the subscribers read.
///
/// Its lock is a leaf: nothing else is locked while it is held.
#[derive(Debug)]
pub(crate) struct SharedCopy {
    state: Mutex<State>,
    /// Told after each change of the copy.
    changed: watch::Sender<()>,
    subscribers: AtomicUsize,
    /// Instances with a copy that have asked here, the last ones last.
    introduced: watch::Sender<Vec<SocketAddrV4>>,
    /// Whether changes come from an instance that is not above this one.
    is_detour: AtomicBool,
    is_leaving: AtomicBool,
    is_withdrawn: AtomicBool,
    /// What subscribers are sent, packed once for all of them.
    pub(crate) shelf: Shelf,
    /// Bytes a second that go to all subscribers together.
    pub(crate) pacer: Pacer,
    /// What the instances of the zone tell each other of servers.
    pub(crate) outcomes: OutcomeAggregator,
}

impl SharedCopy {
    pub(crate) fn new(pacer: Pacer) -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            subscribers: AtomicUsize::new(0),
            introduced: watch::Sender::default(),
            is_detour: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            is_withdrawn: AtomicBool::new(false),
            shelf: Shelf::default(),
            pacer,
            outcomes: OutcomeAggregator::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    pub(crate) fn horizon(&self) -> Option<u64> {
        self.lock().copy.horizon()
    }

    /// The last contact with the store.
    pub(crate) fn contact(&self) -> Option<Instant> {
        self.lock().contact
    }

    /// Time since the last contact with the store.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.contact().map(|at| now - at)
    }

    /// Notes contact with the store, unless later contact is known.
    ///
    /// Subscribers are told of it at once. Left to the heartbeat, which polls of a second
    /// keep in step with, some instances never see a copy younger than a quarter of a
    /// second, and each level of the tree adds as much. Smaller steps are left to
    /// it: two that follow each other take the way between them for later contact.
    pub(crate) fn touch(&self, at: Instant) {
        let mut state = self.lock();
        let before = state.contact;
        state.contact = before.max(Some(at));
        drop(state);
        if before.is_none_or(|before| at > before + HEARTBEAT) {
            self.changed.send_replace(());
        }
    }

    /// Takes over a whole listing; `false` when more is known already.
    pub(crate) fn reset(&self, entries: &[Entry], revision: u64) -> bool {
        let changes = self.lock().copy.reset(entries, revision);
        let is_taken = changes.is_some();
        if is_taken {
            self.changed.send_replace(());
        }
        is_taken
    }

    /// Takes over changes; gives back those that were new.
    pub(crate) fn apply(&self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut state = self.lock();
        let earlier = changes
            .iter()
            .filter_map(|change| state.copy.get(key(change)));
        let earlier = earlier.filter(|entry| is_large(entry)).map(Base::from);
        let earlier: Vec<Base> = earlier.collect();
        let fresh = state.copy.apply(changes, revision);
        drop(state);
        for base in &earlier {
            self.shelf.keep(base);
        }
        if !fresh.is_empty() {
            self.changed.send_replace(());
        }
        fresh
    }

    /// Those of a subscriber's values that are known here.
    pub(crate) fn known(&self, held: &[Held]) -> Vec<Base> {
        let find = |held: &Held| {
            let newest = self.look(|copy| copy.get(&held.key).map(Base::from));
            let newest = newest.filter(|base| base.mod_revision == held.mod_revision);
            newest.or_else(|| self.shelf.earlier(&held.key, held.mod_revision))
        };
        held.iter().filter_map(find).collect()
    }

    /// Looks at the copy; whatever is asked must be short.
    pub(crate) fn look<T>(&self, ask: impl FnOnce(&Copy) -> T) -> T {
        ask(&self.lock().copy)
    }

    /// The large values known, for a subscription that is told only what is new
    /// in them.
    pub(crate) fn bases(&self) -> Vec<Base> {
        let state = self.lock();
        let large = state.copy.entries().filter(|entry| is_large(entry));
        large.map(Base::from).collect()
    }

    /// Notes where an instance that has a copy can be asked for it.
    pub(crate) fn introduce(&self, address: SocketAddrV4) {
        self.introduced.send_if_modified(|known| {
            let is_new = !known.contains(&address);
            if is_new {
                known.push(address);
                let excess = known.len().saturating_sub(MOST_INTRODUCED);
                known.drain(..excess);
            }
            is_new
        });
    }

    /// Instances with a copy, as they introduce themselves.
    pub(crate) fn introduced(&self) -> watch::Receiver<Vec<SocketAddrV4>> {
        self.introduced.subscribe()
    }

    pub(crate) fn set_detour(&self, is_detour: bool) {
        self.is_detour.store(is_detour, Ordering::Relaxed);
    }

    pub(crate) fn is_detour(&self) -> bool {
        self.is_detour.load(Ordering::Relaxed)
    }

    /// From now on nobody should count on this copy.
    pub(crate) fn set_stopping(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn set_withdrawn(&self, is_withdrawn: bool) {
        self.is_withdrawn.store(is_withdrawn, Ordering::Relaxed);
    }

    pub(crate) fn is_withdrawn(&self) -> bool {
        self.is_withdrawn.load(Ordering::Relaxed)
    }

    /// All registered instances, this one among them, as far as their entries can be
    /// read; whoever follows the store tells of those that cannot.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.look(|copy| {
            let members = copy
                .entries()
                .filter_map(|entry| register::member(&entry.key, &entry.value)?.ok());
            members.collect()
        })
    }

    /// Counts a subscriber in; says how many there are then.
    pub(crate) fn join(self: &Arc<Self>) -> usize {
        self.subscribers.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn leave(&self) {
        self.subscribers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Largest value, in bytes, that goes out at once among others. A server's entry
/// has about 150; what is larger is sent in parts, behind the small ones.
const MOST_SMALL: usize = 4 << 10;

/// Whether an entry is sent in parts.
pub(crate) fn is_large(entry: &Entry) -> bool {
    entry.value.len() > MOST_SMALL
}
