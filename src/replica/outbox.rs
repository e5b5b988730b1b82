//! Decides what a subscriber is sent next.
//!
//! Load pattern: a configuration of hundreds of kilobytes changes many times a second
//! while servers register and drain, and 16 subscribers share a slow link. So small
//! rows are sent first and at once. A large value is sent in parts beside them, as the
//! newest version at the time its turn comes, compressed against the version that the
//! subscriber has. Intermediate versions are never sent.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;

use bytes::Bytes;
use prost::Message;

use crate::platform::Change;
use crate::replica::backlog::Backlog;
use crate::replica::copy;
use crate::replica::copy::Copy;
use crate::replica::copy::Place;
use crate::replica::message::News;
use crate::replica::message::PART;
use crate::replica::message::Part;
use crate::replica::message::ROWS;
use crate::replica::message::Row;
use crate::replica::message::Rows;
use crate::replica::message::Subscribe;
use crate::replica::pack;
use crate::replica::pack::Base;

/// A compressed value or complete copy that is being sent.
#[derive(Clone, Debug)]
struct Parcel {
    /// Fields that all parts have in common; `offset`, `bytes` and `is_last` are set for
    /// each part.
    head: Part,
    packed: Bytes,
    sent: usize,
    /// The value that the subscriber has after the transfer, as a base for later ones;
    /// `None` for a complete copy.
    base: Option<Base>,
}

/// Up to where the changes that the subscriber lacks have been queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// The subscriber has nothing usable and needs a complete copy.
    Nothing,
    /// Everything up to a revision, which the subscriber had before this subscription.
    Revision(u64),
    /// A copy is being sent, which brings everything up to a sequence number.
    Copying(Place),
    /// Everything up to a sequence number has been sent or queued.
    Place(Place),
}

/// Compresses a value against the subscriber's version of it, if any.
pub type Packing<'a> = &'a dyn Fn(&Base, Option<&Base>) -> io::Result<Bytes>;

/// What is queued for a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// Number of small rows.
    pub(crate) rows: usize,
    /// Remaining bytes of the value that is being sent in parts.
    pub(crate) bytes: usize,
}

/// What a subscriber has been sent and what is queued for it.
#[derive(Debug)]
pub struct Outbox {
    told: Told,
    /// Large values that the subscriber has.
    bases: HashMap<String, Base>,
    /// Large keys whose newest change the subscriber lacks, each with the first revision
    /// that it lacks.
    lacking: BTreeMap<String, u64>,
    /// Small rows that the subscriber lacks.
    backlog: Backlog,
    parcel: Option<Parcel>,
    /// Revision up to which the subscriber was complete when it subscribed.
    known: Option<u64>,
}

impl Outbox {
    /// Creates the outbox for a subscription; `bases` are those of the subscriber's large
    /// values that are known here.
    pub fn new(subscribe: &Subscribe, bases: Vec<Base>) -> Self {
        let bases = bases.into_iter().map(|base| (base.key.clone(), base));
        Self {
            told: subscribe.horizon.map_or(Told::Nothing, Told::Revision),
            bases: bases.collect(),
            lacking: BTreeMap::new(),
            backlog: Backlog::default(),
            parcel: None,
            known: subscribe.horizon,
        }
    }

    /// Whether the subscriber needs a complete copy.
    pub fn awaits_copy(&self) -> bool {
        matches!(self.told, Told::Nothing | Told::Copying(_))
    }

    /// Whether there is anything to send in parts.
    pub fn has_parts(&self) -> bool {
        self.parcel.is_some() || !self.lacking.is_empty() || self.awaits_copy()
    }

    /// What is queued for the subscriber.
    pub(crate) fn waiting(&self) -> Waiting {
        let parcel = self.parcel.as_ref();
        Waiting {
            rows: self.backlog.len(),
            bytes: parcel.map_or(0, |parcel| parcel.packed.len() - parcel.sent),
        }
    }

    /// Returns the next message: small rows that the subscriber lacks, and a part of a
    /// large value if `may_send` allows its bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if a large value cannot be compressed.
    pub fn compose(
        &mut self,
        copy: &Copy,
        age_ms: Option<u64>,
        pack: Packing<'_>,
        may_send: impl FnOnce(usize) -> bool,
    ) -> io::Result<News> {
        self.check_history(copy);
        self.gather(copy);
        self.prepare(copy, pack)?;
        let part = match self.next_part() {
            Some(bytes) if may_send(bytes) => self.take_part(copy),
            _ => None,
        };
        // Changes after the snapshot go out with the last part of a copy.
        self.gather(copy);
        let rows = self.backlog.take(ROWS);
        let has_more = !self.backlog.is_empty();
        let awaits_copy = self.awaits_copy();
        Ok(News {
            rows,
            revision: self.revision(copy),
            // A subscriber that receives an age considers its copy complete.
            age_ms: age_ms.filter(|_| !awaits_copy && !has_more),
            part,
            awaits_copy: awaits_copy && copy.horizon().is_some(),
            remarks: Vec::new(),
            has_more,
            packed: None,
            is_detour: false,
            is_leaving: false,
            is_withdrawn: false,
        })
    }

    /// Queues the changes since the last call; none while a copy is needed.
    fn gather(&mut self, copy: &Copy) {
        let (changes, place) = match self.told {
            Told::Nothing | Told::Copying(_) => return,
            Told::Revision(known) => copy.after_revision(known),
            Told::Place(place) => copy.after(place),
        };
        self.told = Told::Place(place);
        for change in changes {
            self.sort(change);
        }
    }

    /// Starts again with a complete copy when deletions have been pruned that the
    /// subscriber was not sent.
    fn check_history(&mut self, copy: &Copy) {
        let is_behind = match self.told {
            Told::Nothing => false,
            Told::Revision(known) => copy.needs_whole(Some(known)),
            Told::Copying(place) | Told::Place(place) => copy.has_forgotten(place),
        };
        if is_behind {
            self.told = Told::Nothing;
            self.lacking.clear();
            self.backlog.clear();
            self.parcel = None;
        }
    }

    /// Queues a small change as a row, and a large one for sending in parts.
    fn sort(&mut self, change: Change) {
        let revision = change.mod_revision();
        match &change {
            Change::Put(entry) if copy::is_large(entry) => {
                self.backlog.remove(&entry.key);
                self.lacking.entry(entry.key.clone()).or_insert(revision);
            }
            _ => {
                self.lacking.remove(copy::key(&change));
                self.backlog.add(change.into());
            }
        }
    }

    /// Revision up to which the subscriber has all changes, which is below that of any
    /// queued change.
    fn revision(&self, copy: &Copy) -> u64 {
        if self.awaits_copy() {
            return self.known.unwrap_or_default();
        }
        let horizon = copy.horizon().unwrap_or_default();
        let large = self.lacking.values().min().copied();
        let first = large.into_iter().chain(self.backlog.first_revision()).min();
        first.map_or(horizon, |first| horizon.min(first - 1))
    }

    /// Prepares the next value to be sent in parts, if none is being sent.
    fn prepare(&mut self, copy: &Copy, pack: Packing<'_>) -> io::Result<()> {
        if self.parcel.is_some() {
            return Ok(());
        }
        if self.awaits_copy() {
            return self.prepare_copy(copy, pack);
        }
        // One key at a time, in order: there is hardly ever a second one.
        while let Some(key) = self.lacking.keys().next().cloned() {
            // A key that was deleted, or whose value is small now, is sent as a row.
            let Some(entry) = copy.get(&key).filter(|entry| copy::is_large(entry)) else {
                self.lacking.remove(&key);
                continue;
            };
            let value = Base::from(entry);
            let base = self.bases.get(&key);
            let packed = pack(&value, base)?;
            let base_revision = base.map_or(0, |base| base.mod_revision);
            self.parcel = Some(Parcel::new(value, base_revision, packed));
            return Ok(());
        }
        Ok(())
    }

    fn prepare_copy(&mut self, copy: &Copy, pack: Packing<'_>) -> io::Result<()> {
        let Some(snapshot) = copy.snapshot() else {
            return Ok(());
        };
        let rows = snapshot.entries.iter().cloned().map(Row::from);
        let rows = Rows {
            rows: rows.collect(),
        };
        let value = Base {
            key: String::new(),
            mod_revision: snapshot.revision,
            value: rows.encode_to_vec().into(),
        };
        let packed = pack(&value, None)?;
        let large = snapshot
            .entries
            .iter()
            .filter(|entry| copy::is_large(entry));
        let large = large.map(|entry| (entry.key.clone(), Base::from(entry)));
        self.bases = large.collect();
        let mut parcel = Parcel::new(value, 0, packed);
        parcel.base = None;
        self.parcel = Some(parcel);
        self.told = Told::Copying(snapshot.place);
        Ok(())
    }

    /// Size of the next part in bytes; `None` when nothing is being sent.
    pub fn next_part(&self) -> Option<usize> {
        let parcel = self.parcel.as_ref()?;
        Some((parcel.packed.len() - parcel.sent).min(PART))
    }

    /// Takes the next part of the value that is being sent.
    fn take_part(&mut self, copy: &Copy) -> Option<Part> {
        let parcel = self.parcel.as_mut()?;
        let part = parcel.next();
        if part.is_last {
            self.finish(copy);
        }
        Some(part)
    }

    fn finish(&mut self, copy: &Copy) {
        let base = self.parcel.take().and_then(|parcel| parcel.base);
        if let Told::Copying(place) = self.told {
            self.told = Told::Place(place);
        }
        let Some(base) = base else {
            return;
        };
        let newest = copy.get(&base.key).map(|entry| entry.mod_revision);
        if newest.is_none_or(|newest| newest <= base.mod_revision) {
            self.lacking.remove(&base.key);
        } else {
            self.lacking
                .insert(base.key.clone(), base.mod_revision.saturating_add(1));
        }
        self.bases.insert(base.key.clone(), base);
    }
}

impl Parcel {
    fn new(value: Base, base_revision: u64, packed: Bytes) -> Self {
        let head = Part {
            key: value.key.clone(),
            mod_revision: value.mod_revision,
            base_revision,
            size: value.value.len() as u64,
            digest: pack::digest(&value.value),
            ..Part::default()
        };
        Self {
            head,
            packed,
            sent: 0,
            base: Some(value),
        }
    }

    fn next(&mut self) -> Part {
        let end = self.packed.len().min(self.sent + PART);
        let part = Part {
            offset: self.sent as u64,
            bytes: self.packed.slice(self.sent..end),
            is_last: end == self.packed.len(),
            ..self.head.clone()
        };
        self.sent = end;
        part
    }
}
