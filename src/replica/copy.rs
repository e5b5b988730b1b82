//! The copy of the store: the newest change of each key, in the order of arrival.
//!
//! A subscriber needs the newest value of a key, not each version in between. So each
//! key appears in the order of changes once, at the position of its last change, and a
//! subscriber that falls behind is sent less, not more.
//!
//! Changes do not arrive in the order of their revisions: a large value may arrive
//! after small ones that were written later. Therefore the key's own revision decides
//! which of two changes is newer, and what a subscriber has been sent is tracked by
//! [`SequenceNumber`], the order of arrival.

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

use crate::flow::Contact;
use crate::id;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::poll::Refusal;
use crate::replica::Member;
use crate::replica::board::Board;
use crate::replica::message::Held;
use crate::replica::pacer::Pacer;
use crate::replica::pack::Base;
use crate::replica::pack::Shelf;
use crate::replica::publish::HEARTBEAT;
use crate::replica::register;

/// Maximum deleted keys that are kept. A subscriber that lacks an earlier deletion is
/// sent a complete copy. The limit is twice the number of servers that the largest
/// planned deployment replaces in a minute.
const MOST_DELETED: usize = 512;

/// Maximum addresses kept of instances that have a copy: enough that some of them are
/// alive, and few enough to ask all of them at once for a copy.
const MOST_INTRODUCED: usize = 8;

/// An event that the copy reports to its own instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All keys under the prefix; a key that is not among the entries does not exist.
    Reset {
        /// All keys.
        entries: Vec<Entry>,
        /// Keys that exist but whose values could not be read.
        refused: Vec<Refusal>,
        /// Revision of the store.
        revision: u64,
    },
    /// One key changed.
    Change(Change),
    /// A key whose new value could not be read.
    Refused(Refusal),
    /// A period of contact with the store; every change that the store had by its end has
    /// been reported.
    Contact(Contact),
    /// The store does not respond; reported once per outage.
    Silent {
        /// The first error.
        reason: String,
    },
    /// All registered instances.
    Members(Vec<Member>),
    /// The source of further changes.
    Source {
        /// The instance that is followed; `None` for the store itself.
        upstream: Option<id::Instance>,
    },
}

/// Local sequence number of a change, in the order of arrival; later changes have
/// greater numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(u64);

/// The newest change of a key.
#[derive(Clone, Debug)]
struct Newest {
    place: Place,
    change: Change,
}

/// A complete copy at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// All keys.
    pub entries: Vec<Entry>,
    /// Revision up to which the copy is complete.
    pub revision: u64,
    /// Sequence number up to which changes are included.
    pub place: Place,
}

/// The newest change of each key.
#[derive(Debug, Default)]
pub struct Copy {
    keys: BTreeMap<String, Newest>,
    /// Keys in the order of their newest changes.
    order: BTreeMap<Place, String>,
    /// Sequence numbers and revisions of the deletions that are kept, oldest first.
    deleted: BTreeSet<(Place, u64)>,
    /// Sequence number of the newest change.
    last: Place,
    /// Revision up to which all changes are known; `None` before the first listing.
    horizon: Option<u64>,
    /// Deletions up to these have been pruned.
    forgotten_place: Place,
    forgotten_revision: u64,
}

impl Copy {
    /// Revision up to which all changes are known; `None` before the first listing.
    pub fn horizon(&self) -> Option<u64> {
        self.horizon
    }

    /// Applies a complete listing and returns the changes against the previous content,
    /// or `None` when the copy is already newer.
    ///
    /// Subscribers are sent only the difference: after the store has dropped its history,
    /// the instance that follows it lists it again and has missed little.
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
        // Every listed key exists, however old its last change is.
        self.forgotten_revision = 0;
        let fresh = self.apply(changes, revision);
        self.forgotten_revision = revision;
        Some(fresh)
    }

    /// Applies changes and returns those that were new.
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

    /// Whether a change is newer than the known state of its key. If the key is not
    /// known, a change older than the pruned deletions may belong to a deleted key.
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

    /// Whether a subscriber that has everything up to this revision needs a complete
    /// copy.
    pub fn needs_whole(&self, known: Option<u64>) -> bool {
        known.is_none_or(|known| known < self.forgotten_revision)
    }

    /// Whether a subscriber that was sent everything up to this number needs a complete
    /// copy.
    pub fn has_forgotten(&self, place: Place) -> bool {
        place < self.forgotten_place
    }

    /// The newest changes after a revision, and the sequence number up to which they are
    /// complete.
    pub fn after_revision(&self, known: u64) -> (Vec<Change>, Place) {
        let newer = self.keys.values().map(|newest| &newest.change);
        let newer = newer.filter(|change| change.mod_revision() > known);
        (newer.cloned().collect(), self.last)
    }

    /// The newest changes after a sequence number, and the number up to which they are
    /// complete.
    pub fn after(&self, place: Place) -> (Vec<Change>, Place) {
        let later = self.order.range(Place(place.0 + 1)..);
        let later = later.filter_map(|(_, key)| self.keys.get(key));
        let changes = later.map(|newest| newest.change.clone());
        (changes.collect(), self.last)
    }

    /// All entries; `None` before the first listing.
    pub fn snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            entries: self.entries().cloned().collect(),
            revision: self.horizon?,
            place: self.last,
        })
    }

    /// The entry of a key; `None` when the key does not exist.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        match &self.keys.get(key)?.change {
            Change::Put(entry) => Some(entry),
            Change::Delete { .. } => None,
        }
    }

    /// All entries, ordered by key.
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
    /// When the copy is last known to have matched the store.
    contact: Option<Instant>,
}

/// The copy as written by its sources and read by its subscribers.
///
/// Leaf lock: no other lock is taken while it is held.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    /// Notified after each change of the copy.
    changed: watch::Sender<()>,
    subscribers: AtomicUsize,
    /// Addresses of instances with a copy that have subscribed here, the latest last.
    introduced: watch::Sender<Vec<SocketAddrV4>>,
    /// Whether changes come from a fallback upstream, which is not above this instance in
    /// the tree.
    is_detour: AtomicBool,
    is_leaving: AtomicBool,
    is_withdrawn: AtomicBool,
    /// Values compressed for subscribers, once for all of them.
    pub(crate) shelf: Shelf,
    /// Limits the bytes per second sent to all subscribers together.
    pub(crate) pacer: Pacer,
    /// Request outcomes per server, shared among the instances of the zone.
    pub(crate) board: Board,
}

impl Shared {
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
            board: Board::default(),
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

    /// Time of the last contact with the store.
    pub(crate) fn contact(&self) -> Option<Instant> {
        self.lock().contact
    }

    /// Time since the last contact with the store.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.contact().map(|at| now - at)
    }

    /// Records contact with the store, unless a later contact is known.
    ///
    /// Subscribers are notified at once. Polls of a second stay in step with the
    /// heartbeat. If notification were left to the heartbeat alone, some instances would
    /// never see a copy younger than a quarter of a second, and each level of the tree
    /// would add as much. Smaller steps are left to the heartbeat: two instances that
    /// follow each other would take the transfer time between them for later contact.
    pub(crate) fn touch(&self, at: Instant) {
        let mut state = self.lock();
        let before = state.contact;
        state.contact = before.max(Some(at));
        drop(state);
        if before.is_none_or(|before| at > before + HEARTBEAT) {
            self.changed.send_replace(());
        }
    }

    /// Applies a complete listing; returns `false` when the copy is already newer.
    pub(crate) fn reset(&self, entries: &[Entry], revision: u64) -> bool {
        let changes = self.lock().copy.reset(entries, revision);
        let is_taken = changes.is_some();
        if is_taken {
            self.changed.send_replace(());
        }
        is_taken
    }

    /// Applies changes and returns those that were new.
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

    /// Calls `ask` with the copy under the lock, so `ask` must be short.
    pub(crate) fn look<T>(&self, ask: impl FnOnce(&Copy) -> T) -> T {
        ask(&self.lock().copy)
    }

    /// The large values known here. A subscription with them is sent only the
    /// differences.
    pub(crate) fn bases(&self) -> Vec<Base> {
        let state = self.lock();
        let large = state.copy.entries().filter(|entry| is_large(entry));
        large.map(Base::from).collect()
    }

    /// Records the address of an instance that has a copy.
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

    /// Addresses of instances with a copy that have subscribed here.
    pub(crate) fn introduced(&self) -> watch::Receiver<Vec<SocketAddrV4>> {
        self.introduced.subscribe()
    }

    pub(crate) fn set_detour(&self, is_detour: bool) {
        self.is_detour.store(is_detour, Ordering::Relaxed);
    }

    pub(crate) fn is_detour(&self) -> bool {
        self.is_detour.load(Ordering::Relaxed)
    }

    /// Announces that this instance is about to stop, so that no other instance relies on
    /// its copy.
    pub(crate) fn begin_leaving(&self) {
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

    /// All registered instances, including this one, whose entries can be read. The
    /// instance that follows the store reports the entries that cannot.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.look(|copy| {
            let members = copy
                .entries()
                .filter_map(|entry| register::member(&entry.key, &entry.value)?.ok());
            members.collect()
        })
    }

    /// Counts a new subscriber; returns the number of subscribers.
    pub(crate) fn join(self: &Arc<Self>) -> usize {
        self.subscribers.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn leave(&self) {
        self.subscribers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Largest value, in bytes, that is sent whole among other rows. A server's entry has
/// about 150 bytes; larger values are sent in parts, after the small ones.
const MOST_SMALL: usize = 4 << 10;

/// Whether an entry is sent in parts.
pub(crate) fn is_large(entry: &Entry) -> bool {
    entry.value.len() > MOST_SMALL
}
