//! The copy itself: entries, the revision they are at, and recent changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::id;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::poll::Refusal;

/// Changes kept for subscribers that are a little behind; who is further behind
/// gets everything.
const MOST_HISTORY: usize = 512;

/// Whole copies that are being sent at once.
///
/// A whole copy is 4 MB at the size planned, once as a message and once in the
/// buffer of its connection. Sixteen subscribers that start at once would take
/// 128 MB, and instances with 80 MB would be killed right when all start.
const WHOLE_AT_ONCE: usize = 2;

/// What a copy tells its own instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The whole prefix; what is not among the entries does not exist.
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
    /// Everything that the store knew has been told.
    Contact,
    /// The store does not answer; told once for each silence.
    Silent {
        /// The first error.
        reason: String,
    },
    /// Instances of this zone that are registered, this one included.
    Neighbours(usize),
    /// Changes come from here from now on.
    Source {
        /// The instance; `None` for the store itself.
        upstream: Option<id::Instance>,
    },
}

/// What a subscriber that knows everything up to a revision has to be told.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Missing {
    Everything { entries: Vec<Entry>, revision: u64 },
    Changes { changes: Vec<Change>, revision: u64 },
}

#[derive(Debug, Default)]
struct Copy {
    entries: BTreeMap<String, Entry>,
    /// Revision up to which all is known; `None` before the first listing.
    horizon: Option<u64>,
    /// Changes after `history_from`, oldest first.
    history: VecDeque<Change>,
    history_from: u64,
    /// When the store is known to have had nothing newer.
    contact: Option<Instant>,
}

/// A copy that the sources write and the subscribers read.
///
/// Its lock is a leaf: nothing else is locked while it is held.
#[derive(Debug)]
pub(crate) struct Shared {
    copy: Mutex<Copy>,
    /// Told after each change of the copy.
    changed: watch::Sender<()>,
    subscribers: AtomicUsize,
    /// Turns for sending the whole copy.
    pub(crate) turns: Semaphore,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            copy: Mutex::default(),
            changed: watch::Sender::new(()),
            subscribers: AtomicUsize::new(0),
            turns: Semaphore::new(WHOLE_AT_ONCE),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Copy> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    pub(crate) fn horizon(&self) -> Option<u64> {
        self.lock().horizon
    }

    /// Time since the last contact with the store.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.lock().contact.map(|at| now - at)
    }

    /// Notes contact with the store, unless later contact is known.
    pub(crate) fn touch(&self, at: Instant) {
        let mut copy = self.lock();
        copy.contact = copy.contact.max(Some(at));
    }

    /// Takes over a whole listing; `false` when more is known already.
    pub(crate) fn reset(&self, entries: &[Entry], revision: u64) -> bool {
        let mut copy = self.lock();
        if copy.horizon.is_some_and(|horizon| horizon > revision) {
            return false;
        }
        let rows = entries.iter().map(|e| (e.key.clone(), e.clone()));
        copy.entries = rows.collect();
        copy.horizon = Some(revision);
        copy.history.clear();
        copy.history_from = revision;
        drop(copy);
        self.changed.send_replace(());
        true
    }

    /// Takes over changes; gives back those that were new.
    pub(crate) fn apply(&self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut copy = self.lock();
        let horizon = copy.horizon.unwrap_or_default();
        let is_new = |change: &Change| change.mod_revision() > horizon;
        let fresh: Vec<Change> = changes.into_iter().filter(is_new).collect();
        for change in &fresh {
            copy.take(change);
        }
        let newest = fresh.iter().map(Change::mod_revision).max();
        copy.horizon = Some(horizon.max(revision).max(newest.unwrap_or_default()));
        drop(copy);
        if !fresh.is_empty() {
            self.changed.send_replace(());
        }
        fresh
    }

    /// Whether a subscriber needs the whole copy, and there is one.
    pub(crate) fn needs_whole(&self, known: Option<u64>) -> bool {
        let copy = self.lock();
        copy.horizon.is_some() && known.is_none_or(|known| known < copy.history_from)
    }

    /// What a subscriber lacks; `None` when it lacks nothing.
    pub(crate) fn missing(&self, known: Option<u64>) -> Option<Missing> {
        let copy = self.lock();
        let revision = copy.horizon?;
        if known.is_some_and(|known| known >= revision) {
            return None;
        }
        match known.filter(|known| *known >= copy.history_from) {
            None => Some(Missing::Everything {
                entries: copy.entries.values().cloned().collect(),
                revision,
            }),
            Some(known) => {
                let is_new = |change: &&Change| change.mod_revision() > known;
                Some(Missing::Changes {
                    changes: copy.history.iter().filter(is_new).cloned().collect(),
                    revision,
                })
            }
        }
    }

    pub(crate) fn subscribers(&self) -> usize {
        self.subscribers.load(Ordering::Relaxed)
    }

    /// Counts a subscriber in; says how many there are then.
    pub(crate) fn join(&self) -> usize {
        self.subscribers.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn leave(&self) {
        self.subscribers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Copy {
    fn take(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => {
                self.entries.insert(entry.key.clone(), entry.clone());
            }
            Change::Delete { key, .. } => {
                self.entries.remove(key);
            }
        }
        self.history.push_back(change.clone());
        while self.history.len() > MOST_HISTORY {
            if let Some(oldest) = self.history.pop_front() {
                self.history_from = oldest.mod_revision();
            }
        }
    }
}
