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
//!
//! Revisions include the store's era, see [`Revision`]. A listing of a later era replaces
//! everything, however low its numbers are.

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
use tokio::time;
use tokio::time::Instant;

use crate::flow::StoreContact;
use crate::id;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::Era;
use crate::platform::Revision;
use crate::platform::poll::UnreadableEntry;
use crate::replica::CopyLog;
use crate::replica::Member;
use crate::replica::copy_log::KEEP_TIME;
use crate::replica::message::HeldValue;
use crate::replica::outcome::OutcomeAggregator;
use crate::replica::pacer::Pacer;
use crate::replica::pack::BaseValue;
use crate::replica::pack::PackCache;
use crate::replica::publish::HEARTBEAT_INTERVAL;
use crate::replica::register;

/// Number of deleted keys that are kept in a small copy. A subscriber that lacks an
/// earlier deletion is sent a complete copy.
///
/// Load pattern: a zone of 1,300 servers is taken away, or all servers are replaced in a
/// minute. Above this number, as many deletions are kept as there are keys: a row of a
/// deletion is shorter than that of a key, so that they are always less than the complete
/// copy that they save, at any size of the fleet.
const MIN_KEPT_DELETIONS: usize = 512;

/// Maximum number of addresses kept of instances that have a copy: enough that some of
/// them are alive, and few enough to ask all of them at once for a copy.
const MAX_COPY_HOLDERS: usize = 8;

/// An event that the copy reports to its own instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All keys under the prefix; a key that is not among the entries does not exist.
    Reset {
        /// All keys.
        entries: Vec<Entry>,
        /// Keys that exist but whose values could not be read.
        refused: Vec<UnreadableEntry>,
        /// Revision of the store.
        revision: u64,
    },
    /// Some of the keys, while the first copy comes in. A reset with all keys follows.
    Part {
        /// These keys.
        entries: Vec<Entry>,
    },
    /// One key changed.
    Change(Change),
    /// A key whose new value could not be read.
    Refused(UnreadableEntry),
    /// A period of contact with the store; every change that the store had by its end has
    /// been reported.
    Contact(StoreContact),
    /// The store has been restored from an older copy. A reset with all keys follows.
    Restored {
        /// The store's new era.
        era: Era,
    },
    /// The store does not respond; reported once per outage.
    StoreUnreachable {
        /// The first error.
        reason: String,
    },
    /// All registered instances.
    Members(Vec<Member>),
    /// The source of further changes.
    UpstreamChanged {
        /// The instance that is followed; `None` for the store itself.
        upstream: Option<id::Instance>,
    },
}

/// Local sequence number of a change, in the order of arrival; later changes have
/// greater numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceNumber(u64);

/// The newest change of a key.
#[derive(Clone, Debug)]
struct NewestChange {
    sequence: SequenceNumber,
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
    pub sequence: SequenceNumber,
}

/// The newest change of each key.
#[derive(Debug, Default)]
pub struct StoreCopy {
    keys: BTreeMap<String, NewestChange>,
    /// Keys in the order of their newest changes.
    keys_by_sequence: BTreeMap<SequenceNumber, String>,
    /// Sequence numbers and revisions of the deletions that are kept, oldest first.
    deletions: BTreeSet<(SequenceNumber, u64)>,
    /// Sequence number of the newest change.
    last_sequence: SequenceNumber,
    /// Revision up to which all changes are known; `None` before the first listing.
    synced_revision: Option<u64>,
    /// Deletions up to this number have been pruned.
    pruned_sequence: SequenceNumber,
    /// Greatest revision of a pruned deletion, or that of the last listing.
    pruned_revision: u64,
}

impl StoreCopy {
    /// Revision up to which all changes are known; `None` before the first listing.
    pub fn synced_revision(&self) -> Option<u64> {
        self.synced_revision
    }

    /// Applies a complete listing and returns the changes against the previous content,
    /// or `None` when the copy is already newer.
    ///
    /// Subscribers are sent only the difference: after the store has dropped its history,
    /// the instance that follows it lists it again and has missed little.
    pub fn reset(&mut self, entries: &[Entry], revision: u64) -> Option<Vec<Change>> {
        if self
            .synced_revision
            .is_some_and(|synced_revision| synced_revision > revision)
        {
            return None;
        }
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let is_missing = |(key, newest): &(&String, &NewestChange)| {
            matches!(newest.change, Change::Put(_)) && !listed.contains(key.as_str())
        };
        let missing = self.keys.iter().filter(is_missing);
        let deletions = missing.map(|(key, _)| Change::Delete {
            key: key.clone(),
            mod_revision: revision,
        });
        let mut changes: Vec<Change> = deletions.collect();
        changes.extend(entries.iter().cloned().map(Change::Put));
        let known_era = self.synced_revision.map(|synced| Revision(synced).era());
        // Every listed key exists, however old its last change is.
        self.pruned_revision = 0;
        let new_changes = self.apply(changes, revision);
        self.pruned_revision = revision;
        if known_era.is_some_and(|era| era < Revision(revision).era()) {
            self.prune_all();
        }
        Some(new_changes)
    }

    /// Applies changes and returns those that were new.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut new_changes = Vec::new();
        for change in changes {
            if self.is_new(&change) {
                self.insert(change.clone());
                new_changes.push(change);
            }
        }
        self.synced_revision = Some(self.synced_revision.unwrap_or_default().max(revision));
        new_changes
    }

    /// Whether a change is newer than the known state of its key. If the key is not
    /// known, a change older than the pruned deletions may belong to a deleted key.
    fn is_new(&self, change: &Change) -> bool {
        let revision = change.mod_revision();
        match self.keys.get(key(change)) {
            Some(newest) => revision > newest.change.mod_revision(),
            None => revision > self.pruned_revision,
        }
    }

    fn insert(&mut self, change: Change) {
        self.last_sequence.0 += 1;
        let sequence = self.last_sequence;
        let key = key(&change).to_owned();
        if matches!(change, Change::Delete { .. }) {
            self.deletions.insert((sequence, change.mod_revision()));
        }
        self.keys_by_sequence.insert(sequence, key.clone());
        if let Some(previous) = self.keys.insert(key, NewestChange { sequence, change }) {
            self.keys_by_sequence.remove(&previous.sequence);
            let revision = previous.change.mod_revision();
            self.deletions.remove(&(previous.sequence, revision));
        }
        // The deletions that are kept are among the keys.
        let present = self.keys.len() - self.deletions.len();
        if self.deletions.len() > present.max(MIN_KEPT_DELETIONS) {
            self.prune_oldest_deletion();
        }
    }

    fn prune_oldest_deletion(&mut self) {
        let Some((sequence, revision)) = self.deletions.pop_first() else {
            return;
        };
        if let Some(key) = self.keys_by_sequence.remove(&sequence) {
            self.keys.remove(&key);
        }
        self.pruned_sequence = sequence;
        self.pruned_revision = self.pruned_revision.max(revision);
    }

    /// Makes every subscriber need a complete copy.
    ///
    /// After a restore of the store, a subscriber may hold keys that are lost and that this
    /// copy never had, so the changes against this copy are not enough.
    fn prune_all(&mut self) {
        self.last_sequence.0 += 1;
        self.pruned_sequence = self.last_sequence;
    }

    /// Whether a subscriber that has everything up to this revision needs a complete
    /// copy.
    pub fn needs_full_copy(&self, revision: Option<u64>) -> bool {
        revision.is_none_or(|revision| revision < self.pruned_revision)
    }

    /// Whether a subscriber that was sent everything up to this number needs a complete
    /// copy.
    pub fn has_pruned_after(&self, sequence: SequenceNumber) -> bool {
        sequence < self.pruned_sequence
    }

    /// The newest changes after a revision, and the sequence number up to which they are
    /// complete.
    pub fn changes_after_revision(&self, revision: u64) -> (Vec<Change>, SequenceNumber) {
        let newer = self.keys.values().map(|newest| &newest.change);
        let newer = newer.filter(|change| change.mod_revision() > revision);
        (newer.cloned().collect(), self.last_sequence)
    }

    /// The newest changes after a sequence number, and the number up to which they are
    /// complete.
    pub fn changes_after(&self, sequence: SequenceNumber) -> (Vec<Change>, SequenceNumber) {
        let later = self
            .keys_by_sequence
            .range(SequenceNumber(sequence.0 + 1)..);
        let later = later.filter_map(|(_, key)| self.keys.get(key));
        let changes = later.map(|newest| newest.change.clone());
        (changes.collect(), self.last_sequence)
    }

    /// All entries; `None` before the first listing.
    pub fn snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            entries: self.entries().cloned().collect(),
            revision: self.synced_revision?,
            sequence: self.last_sequence,
        })
    }

    /// The entry of a key; `None` when the key does not exist.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        match &self.keys.get(key)?.change {
            Change::Put(entry) => Some(entry),
            Change::Delete { .. } => None,
        }
    }

    /// Number of keys, including the deletions that are kept.
    pub(crate) fn key_count(&self) -> usize {
        self.keys.len()
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
    copy: StoreCopy,
    /// When the copy is last known to have matched the store.
    contact: Option<Instant>,
}

/// The copy as written by its sources and read by its subscribers.
///
/// Leaf lock: no other lock is taken while it is held.
#[derive(Debug)]
pub(crate) struct SharedCopy {
    state: Mutex<State>,
    /// Notified after each change of the copy.
    changed: watch::Sender<()>,
    subscribers: AtomicUsize,
    /// Addresses of instances with a copy that have subscribed here, the latest last.
    copy_holders: watch::Sender<Vec<SocketAddrV4>>,
    /// Whether changes come from a fallback upstream, which is not above this instance in
    /// the tree.
    is_on_fallback: AtomicBool,
    is_stopping: AtomicBool,
    is_withdrawn: AtomicBool,
    /// The copy for those who start: the first one while it comes in, or a recent one.
    pub(crate) log: Arc<CopyLog>,
    /// Values compressed for subscribers, once for all of them.
    pub(crate) pack_cache: PackCache,
    /// Limits the bytes per second sent to all subscribers together.
    pub(crate) pacer: Pacer,
    /// Request outcomes per server, shared among the instances of the zone.
    pub(crate) outcomes: OutcomeAggregator,
}

impl SharedCopy {
    pub(crate) fn new(pacer: Pacer) -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            subscribers: AtomicUsize::new(0),
            copy_holders: watch::Sender::default(),
            is_on_fallback: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            is_withdrawn: AtomicBool::new(false),
            log: Arc::default(),
            pack_cache: PackCache::default(),
            pacer,
            outcomes: OutcomeAggregator::default(),
        }
    }

    /// Drops the copy for those who start once it is outdated.
    pub(crate) fn drop_log_later(&self) {
        let log = Arc::clone(&self.log);
        tokio::spawn(async move {
            time::sleep(KEEP_TIME).await;
            log.expire(Instant::now());
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    pub(crate) fn synced_revision(&self) -> Option<u64> {
        self.lock().copy.synced_revision()
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
    /// Subscribers are notified at once. Polls that take a second stay in phase with
    /// the heartbeat. If notification were left to the heartbeat alone, some instances would
    /// never see a copy younger than a quarter of a second, and each level of the tree
    /// would add as much. Smaller steps are left to the heartbeat: two instances that
    /// follow each other would mistake the transfer time between them for later contact.
    pub(crate) fn record_contact(&self, at: Instant) {
        let mut state = self.lock();
        let previous = state.contact;
        state.contact = previous.max(Some(at));
        drop(state);
        if previous.is_none_or(|previous| at > previous + HEARTBEAT_INTERVAL) {
            self.changed.send_replace(());
        }
    }

    /// Applies a complete listing; returns `false` when the copy is already newer.
    pub(crate) fn reset(&self, entries: &[Entry], revision: u64) -> bool {
        let changes = self.lock().copy.reset(entries, revision);
        let is_applied = changes.is_some();
        if is_applied {
            self.changed.send_replace(());
        }
        is_applied
    }

    /// Applies changes and returns those that were new.
    pub(crate) fn apply(&self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut state = self.lock();
        let replaced = changes
            .iter()
            .filter_map(|change| state.copy.get(key(change)));
        let replaced = replaced
            .filter(|entry| is_large(entry))
            .map(BaseValue::from);
        let replaced: Vec<BaseValue> = replaced.collect();
        let new_changes = state.copy.apply(changes, revision);
        drop(state);
        for base in &replaced {
            self.pack_cache.keep_base(base);
        }
        if !new_changes.is_empty() {
            self.changed.send_replace(());
        }
        new_changes
    }

    /// The large values of a subscriber that this instance has as well.
    pub(crate) fn known_bases(&self, held: &[HeldValue]) -> Vec<BaseValue> {
        let find = |held: &HeldValue| {
            let newest = self.with_copy(|copy| copy.get(&held.key).map(BaseValue::from));
            let newest = newest.filter(|base| base.mod_revision == held.mod_revision);
            newest.or_else(|| self.pack_cache.earlier_base(&held.key, held.mod_revision))
        };
        held.iter().filter_map(find).collect()
    }

    /// Calls `read` with the copy under the lock, so `read` must be short.
    pub(crate) fn with_copy<T>(&self, read: impl FnOnce(&StoreCopy) -> T) -> T {
        read(&self.lock().copy)
    }

    /// The large values known here. A subscription with them is sent only the
    /// differences.
    pub(crate) fn bases(&self) -> Vec<BaseValue> {
        let state = self.lock();
        let large = state.copy.entries().filter(|entry| is_large(entry));
        large.map(BaseValue::from).collect()
    }

    /// Records the address of an instance that has a copy.
    pub(crate) fn add_copy_holder(&self, address: SocketAddrV4) {
        self.copy_holders.send_if_modified(|addresses| {
            let is_new = !addresses.contains(&address);
            if is_new {
                addresses.push(address);
                let excess = addresses.len().saturating_sub(MAX_COPY_HOLDERS);
                addresses.drain(..excess);
            }
            is_new
        });
    }

    /// Addresses of instances with a copy that have subscribed here.
    pub(crate) fn copy_holders(&self) -> watch::Receiver<Vec<SocketAddrV4>> {
        self.copy_holders.subscribe()
    }

    pub(crate) fn set_on_fallback(&self, is_on_fallback: bool) {
        self.is_on_fallback.store(is_on_fallback, Ordering::Relaxed);
    }

    pub(crate) fn is_on_fallback(&self) -> bool {
        self.is_on_fallback.load(Ordering::Relaxed)
    }

    /// Announces that this instance is about to stop, so that no other instance relies on
    /// its copy.
    pub(crate) fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
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
        self.with_copy(|copy| {
            let members = copy
                .entries()
                .filter_map(|entry| register::parse_member(&entry.key, &entry.value)?.ok());
            members.collect()
        })
    }

    /// Counts a new subscriber; returns the number of subscribers.
    pub(crate) fn increment_subscribers(self: &Arc<Self>) -> usize {
        self.subscribers.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn decrement_subscribers(&self) {
        self.subscribers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Largest value, in bytes, that is sent whole among other rows. A server's entry has
/// about 150 bytes; larger values are sent in parts, after the small ones.
const MAX_SMALL_VALUE_BYTES: usize = 4 << 10;

/// Whether an entry is sent in parts.
pub(crate) fn is_large(entry: &Entry) -> bool {
    entry.value.len() > MAX_SMALL_VALUE_BYTES
}
