//! What one subscriber is told next.
//!
//! Load pattern: a configuration of hundreds of kilobytes changes many times a
//! second while servers come and go, and sixteen subscribers share a thin link.
//! So small rows go first, at once; a large value goes in parts beside them,
//! as its newest version at the moment when its turn comes, packed against the
//! version that the subscriber has; and versions in between are never sent.

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

/// A packed value, or whole copy, that is being sent.
#[derive(Clone, Debug)]
struct Parcel {
    /// Everything but offset, bytes and end.
    head: Part,
    packed: Bytes,
    sent: usize,
    /// What it brings, for the next one to be packed against.
    base: Option<Base>,
}

/// How far what a subscriber lacks has been noted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// Nothing that counts: it needs a whole copy.
    Nothing,
    /// Everything up to a revision, told before this subscription.
    Revision(u64),
    /// Nothing yet, but everything up to a place when its copy has been sent.
    Copying(Place),
    /// Everything up to a place: told, or waiting to be.
    Place(Place),
}

/// How a value is packed against what the subscriber has of it.
pub type Packing<'a> = &'a dyn Fn(&Base, Option<&Base>) -> io::Result<Bytes>;

/// What has not been sent to a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// Small rows.
    pub(crate) rows: usize,
    /// Bytes of what is on its way in parts.
    pub(crate) bytes: usize,
}

/// What a subscriber has been told, and what is on its way to it.
#[derive(Debug)]
pub struct Outbox {
    told: Told,
    /// Large values that the subscriber has.
    bases: HashMap<String, Base>,
    /// Large keys whose newest change it lacks, with the first revision lacking.
    lacking: BTreeMap<String, u64>,
    /// Small rows that it lacks.
    backlog: Backlog,
    parcel: Option<Parcel>,
    /// Revision that the subscriber came with.
    known: Option<u64>,
}

impl Outbox {
    /// The outbox of a subscriber that comes with this; `bases` are those of the
    /// values it holds that are known here.
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

    /// Whether the subscriber waits for a whole copy.
    pub fn awaits_copy(&self) -> bool {
        matches!(self.told, Told::Nothing | Told::Copying(_))
    }

    /// Whether there is something to send in parts.
    pub fn has_parts(&self) -> bool {
        self.parcel.is_some() || !self.lacking.is_empty() || self.awaits_copy()
    }

    /// What has not been sent.
    pub(crate) fn waiting(&self) -> Waiting {
        let parcel = self.parcel.as_ref();
        Waiting {
            rows: self.backlog.len(),
            bytes: parcel.map_or(0, |parcel| parcel.packed.len() - parcel.sent),
        }
    }

    /// The next message: small rows that the subscriber lacks, and a part of what is
    /// large if `may_send` allows its bytes.
    ///
    /// # Errors
    ///
    /// Fails when a large value cannot be packed.
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
        // With the last part of a copy goes what came after it.
        self.gather(copy);
        let rows = self.backlog.take(ROWS);
        let has_more = !self.backlog.is_empty();
        let awaits_copy = self.awaits_copy();
        Ok(News {
            rows,
            revision: self.revision(copy),
            // No age: whoever is told one believes that it lacks nothing.
            age_ms: age_ms.filter(|_| !awaits_copy && !has_more),
            part,
            awaits_copy: awaits_copy && copy.horizon().is_some(),
            outcomes: Vec::new(),
            has_more,
            packed: None,
            is_detour: false,
            is_leaving: false,
            is_withdrawn: false,
        })
    }

    /// Notes what has changed since the last time; nothing while a copy is awaited.
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

    /// Begins anew with a whole copy when changes have been forgotten that the
    /// subscriber was not told.
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

    /// A small change is told as a row, a large one in parts.
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

    /// Revision up to which the subscriber knows everything: what is still to come
    /// holds it back.
    fn revision(&self, copy: &Copy) -> u64 {
        if self.awaits_copy() {
            return self.known.unwrap_or_default();
        }
        let horizon = copy.horizon().unwrap_or_default();
        let large = self.lacking.values().min().copied();
        let first = large.into_iter().chain(self.backlog.first_revision()).min();
        first.map_or(horizon, |first| horizon.min(first - 1))
    }

    /// Prepares the next value to be sent in parts, if none is on its way.
    fn prepare(&mut self, copy: &Copy, pack: Packing<'_>) -> io::Result<()> {
        if self.parcel.is_some() {
            return Ok(());
        }
        if self.awaits_copy() {
            return self.prepare_copy(copy, pack);
        }
        // One at a time, the first key first: there is hardly ever a second one.
        while let Some(key) = self.lacking.keys().next().cloned() {
            // What has been deleted, or has become small, is told as a row.
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

    /// Bytes of the next part; `None` when nothing is on its way.
    pub fn next_part(&self) -> Option<usize> {
        let parcel = self.parcel.as_ref()?;
        Some((parcel.packed.len() - parcel.sent).min(PART))
    }

    /// Takes the next part of what is on its way.
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
