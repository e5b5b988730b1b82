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
use crate::replica::copy::SequenceNumber;
use crate::replica::copy::StoreCopy;
use crate::replica::message::MAX_PART_BYTES;
use crate::replica::message::MAX_ROWS_BYTES;
use crate::replica::message::Row;
use crate::replica::message::Rows;
use crate::replica::message::SubscribeRequest;
use crate::replica::message::UpstreamMessage;
use crate::replica::message::ValuePart;
use crate::replica::pack;
use crate::replica::pack::BaseValue;

/// A compressed value or complete copy that is being sent.
#[derive(Clone, Debug)]
struct Transfer {
    /// Fields that all parts have in common; `offset`, `bytes` and `is_last` are set for
    /// each part.
    header: ValuePart,
    packed: Bytes,
    sent: usize,
    /// The value that the subscriber has after the transfer, as a base for later ones;
    /// `None` for a complete copy.
    base: Option<BaseValue>,
}

/// Up to where the changes that the subscriber lacks have been queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The subscriber has nothing usable and needs a complete copy.
    NeedsCopy,
    /// Everything up to a revision, which the subscriber had before this subscription.
    Revision(u64),
    /// A copy is being sent, which brings everything up to a sequence number.
    SendingCopy(SequenceNumber),
    /// Everything up to a sequence number has been sent or queued.
    Queued(SequenceNumber),
}

/// Compresses a value against the subscriber's version of it, if any.
pub type PackFn<'a> = &'a dyn Fn(&BaseValue, Option<&BaseValue>) -> io::Result<Bytes>;

/// What is queued for a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Pending {
    /// Number of small rows.
    pub(crate) rows: usize,
    /// Remaining bytes of the value that is being sent in parts.
    pub(crate) bytes: usize,
}

/// What a subscriber has been sent and what is queued for it.
#[derive(Debug)]
pub struct Outbox {
    progress: Progress,
    /// Large values that the subscriber has.
    bases: HashMap<String, BaseValue>,
    /// Large keys whose newest change the subscriber lacks, each with the first revision
    /// that it lacks.
    missing_large: BTreeMap<String, u64>,
    /// Small rows that the subscriber lacks.
    backlog: Backlog,
    transfer: Option<Transfer>,
    /// Revision up to which the subscriber was complete when it subscribed.
    initial_revision: Option<u64>,
}

impl Outbox {
    /// Creates the outbox for a subscription; `bases` are those of the subscriber's large
    /// values that are known here.
    pub fn new(subscribe: &SubscribeRequest, bases: Vec<BaseValue>) -> Self {
        let bases = bases.into_iter().map(|base| (base.key.clone(), base));
        Self {
            progress: subscribe
                .synced_revision
                .map_or(Progress::NeedsCopy, Progress::Revision),
            bases: bases.collect(),
            missing_large: BTreeMap::new(),
            backlog: Backlog::default(),
            transfer: None,
            initial_revision: subscribe.synced_revision,
        }
    }

    /// Whether the subscriber needs a complete copy.
    pub fn awaits_copy(&self) -> bool {
        matches!(
            self.progress,
            Progress::NeedsCopy | Progress::SendingCopy(_)
        )
    }

    /// Whether there is anything to send in parts.
    pub fn has_parts(&self) -> bool {
        self.transfer.is_some() || !self.missing_large.is_empty() || self.awaits_copy()
    }

    /// What is queued for the subscriber.
    pub(crate) fn pending(&self) -> Pending {
        let transfer = self.transfer.as_ref();
        Pending {
            rows: self.backlog.len(),
            bytes: transfer.map_or(0, |transfer| transfer.packed.len() - transfer.sent),
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
        copy: &StoreCopy,
        age_ms: Option<u64>,
        pack: PackFn<'_>,
        may_send: impl FnOnce(usize) -> bool,
    ) -> io::Result<UpstreamMessage> {
        self.reset_if_pruned(copy);
        self.queue_changes(copy);
        self.prepare_transfer(copy, pack)?;
        let part = match self.next_part_size() {
            Some(bytes) if may_send(bytes) => self.take_part(copy),
            _ => None,
        };
        // Changes after the snapshot go out with the last part of a copy.
        self.queue_changes(copy);
        let rows = self.backlog.take(MAX_ROWS_BYTES);
        let has_more = !self.backlog.is_empty();
        let awaits_copy = self.awaits_copy();
        Ok(UpstreamMessage {
            rows,
            revision: self.subscriber_revision(copy),
            // A subscriber that receives an age considers its copy complete.
            age_ms: age_ms.filter(|_| !awaits_copy && !has_more),
            part,
            awaits_copy: awaits_copy && copy.synced_revision().is_some(),
            outcomes: Vec::new(),
            has_more,
            packed: None,
            is_on_fallback: false,
            is_stopping: false,
            is_withdrawn: false,
            copy_part: None,
        })
    }

    /// Queues the changes since the last call; none while a copy is needed.
    fn queue_changes(&mut self, copy: &StoreCopy) {
        let (changes, sequence) = match self.progress {
            Progress::NeedsCopy | Progress::SendingCopy(_) => return,
            Progress::Revision(revision) => copy.changes_after_revision(revision),
            Progress::Queued(sequence) => copy.changes_after(sequence),
        };
        self.progress = Progress::Queued(sequence);
        for change in changes {
            self.queue_change(change);
        }
    }

    /// Starts again with a complete copy when deletions have been pruned that the
    /// subscriber was not sent.
    fn reset_if_pruned(&mut self, copy: &StoreCopy) {
        let is_behind = match self.progress {
            Progress::NeedsCopy => false,
            Progress::Revision(revision) => copy.needs_full_copy(Some(revision)),
            Progress::SendingCopy(sequence) | Progress::Queued(sequence) => {
                copy.has_pruned_after(sequence)
            }
        };
        if is_behind {
            self.progress = Progress::NeedsCopy;
            self.missing_large.clear();
            self.backlog.clear();
            self.transfer = None;
        }
    }

    /// Queues a small change as a row, and a large one for sending in parts.
    fn queue_change(&mut self, change: Change) {
        let revision = change.mod_revision();
        match &change {
            Change::Put(entry) if copy::is_large(entry) => {
                self.backlog.remove(&entry.key);
                self.missing_large
                    .entry(entry.key.clone())
                    .or_insert(revision);
            }
            _ => {
                self.missing_large.remove(copy::key(&change));
                self.backlog.add(change.into());
            }
        }
    }

    /// Revision up to which the subscriber has all changes, which is below that of any
    /// queued change.
    fn subscriber_revision(&self, copy: &StoreCopy) -> u64 {
        if self.awaits_copy() {
            return self.initial_revision.unwrap_or_default();
        }
        let synced_revision = copy.synced_revision().unwrap_or_default();
        let large = self.missing_large.values().min().copied();
        let first = large.into_iter().chain(self.backlog.first_revision()).min();
        first.map_or(synced_revision, |first| synced_revision.min(first - 1))
    }

    /// Prepares the next value to be sent in parts, if none is being sent.
    fn prepare_transfer(&mut self, copy: &StoreCopy, pack: PackFn<'_>) -> io::Result<()> {
        if self.transfer.is_some() {
            return Ok(());
        }
        if self.awaits_copy() {
            return self.prepare_copy_transfer(copy, pack);
        }
        // One key at a time, in order: there is hardly ever a second one.
        while let Some(key) = self.missing_large.keys().next().cloned() {
            // A key that was deleted, or whose value is small now, is sent as a row.
            let Some(entry) = copy.get(&key).filter(|entry| copy::is_large(entry)) else {
                self.missing_large.remove(&key);
                continue;
            };
            let value = BaseValue::from(entry);
            let base = self.bases.get(&key);
            let packed = pack(&value, base)?;
            let base_revision = base.map_or(0, |base| base.mod_revision);
            self.transfer = Some(Transfer::new(value, base_revision, packed));
            return Ok(());
        }
        Ok(())
    }

    fn prepare_copy_transfer(&mut self, copy: &StoreCopy, pack: PackFn<'_>) -> io::Result<()> {
        let Some(snapshot) = copy.snapshot() else {
            return Ok(());
        };
        let rows = snapshot.entries.iter().cloned().map(Row::from);
        let rows = Rows {
            rows: rows.collect(),
        };
        let value = BaseValue {
            key: String::new(),
            mod_revision: snapshot.revision,
            value: rows.encode_to_vec().into(),
        };
        let packed = pack(&value, None)?;
        let large = snapshot
            .entries
            .iter()
            .filter(|entry| copy::is_large(entry));
        let large = large.map(|entry| (entry.key.clone(), BaseValue::from(entry)));
        self.bases = large.collect();
        let mut transfer = Transfer::new(value, 0, packed);
        transfer.base = None;
        self.transfer = Some(transfer);
        self.progress = Progress::SendingCopy(snapshot.sequence);
        Ok(())
    }

    /// Size of the next part in bytes; `None` when nothing is being sent.
    pub fn next_part_size(&self) -> Option<usize> {
        let transfer = self.transfer.as_ref()?;
        Some((transfer.packed.len() - transfer.sent).min(MAX_PART_BYTES))
    }

    /// Takes the next part of the value that is being sent.
    fn take_part(&mut self, copy: &StoreCopy) -> Option<ValuePart> {
        let transfer = self.transfer.as_mut()?;
        let part = transfer.next();
        if part.is_last {
            self.finish_transfer(copy);
        }
        Some(part)
    }

    fn finish_transfer(&mut self, copy: &StoreCopy) {
        let base = self.transfer.take().and_then(|transfer| transfer.base);
        if let Progress::SendingCopy(sequence) = self.progress {
            self.progress = Progress::Queued(sequence);
        }
        let Some(base) = base else {
            return;
        };
        let newest = copy.get(&base.key).map(|entry| entry.mod_revision);
        if newest.is_none_or(|newest| newest <= base.mod_revision) {
            self.missing_large.remove(&base.key);
        } else {
            self.missing_large
                .insert(base.key.clone(), base.mod_revision.saturating_add(1));
        }
        self.bases.insert(base.key.clone(), base);
    }
}

impl Transfer {
    fn new(value: BaseValue, base_revision: u64, packed: Bytes) -> Self {
        let header = ValuePart {
            key: value.key.clone(),
            mod_revision: value.mod_revision,
            base_revision,
            size: value.value.len() as u64,
            digest: pack::digest(&value.value),
            ..ValuePart::default()
        };
        Self {
            header,
            packed,
            sent: 0,
            base: Some(value),
        }
    }

    fn next(&mut self) -> ValuePart {
        let end = self.packed.len().min(self.sent + MAX_PART_BYTES);
        let part = ValuePart {
            offset: self.sent as u64,
            bytes: self.packed.slice(self.sent..end),
            is_last: end == self.packed.len(),
            ..self.header.clone()
        };
        self.sent = end;
        part
    }
}
