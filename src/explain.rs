//! What was lately done for each flow, and why.
//!
//! A [`TraceBuffer`] keeps the newest notes and lets the oldest go, by count and by
//! bytes, so that a burst of traffic costs history and never memory. Its one lock
//! is a leaf: nothing else is locked while it is held. It is held to push one
//! entry or to copy the matching ones; text is made after it is released.

use std::collections::VecDeque;
use std::mem::size_of;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::time::Duration;
use tokio::time::Instant;

use crate::action::TraceEvent;
use crate::id;
use crate::request::Flow;
use crate::status::Trace;

/// Entries kept by default.
pub const DEFAULT_ENTRIES: usize = 20_000;

/// Bytes kept by default.
pub const DEFAULT_BYTES: usize = 8 << 20;

/// Most traces given for one question.
pub const MAX_TRACES: usize = 1_000;

/// Slice ownership and configuration under which something was done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Context {
    /// Epoch of the slice.
    pub epoch: Option<id::Epoch>,
    /// Revision of the service's profile.
    pub revision: Option<id::Revision>,
}

#[derive(Clone, Debug)]
struct Entry {
    at: Instant,
    note: TraceEvent,
    context: Context,
}

impl Entry {
    /// Memory that the entry holds, with shared names counted as its own.
    fn bytes(&self) -> usize {
        let flow = self.note.flow.as_ref();
        let service = flow.map_or(0, |flow| flow.service.as_str().len());
        let server = self.note.server.as_ref().map_or(0, |id| id.as_str().len());
        size_of::<Self>() + service + server
    }

    fn trace(&self, now: Instant, flow: &Flow) -> Trace {
        Trace {
            age_ms: millis(now.saturating_duration_since(self.at)),
            reason: self.note.reason.code().to_owned(),
            service: flow.service.to_string(),
            caller: flow.caller.to_string(),
            request: self.note.request.map(|id| id.to_string()),
            slice: self.note.slice.map(|slice| slice.0),
            epoch: self.context.epoch.map(|epoch| epoch.0),
            revision: self.context.revision.map(|revision| revision.0),
            server: self.note.server.as_ref().map(ToString::to_string),
            elapsed_ms: self.note.elapsed.map(millis),
        }
    }
}

#[derive(Debug, Default)]
struct Store {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Store {
    fn push(&mut self, entry: Entry) {
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
    }

    fn drop_oldest(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= entry.bytes();
        }
    }
}

/// The newest notes of one instance.
#[derive(Debug)]
pub struct TraceBuffer {
    max_entries: usize,
    max_bytes: usize,
    store: Mutex<Store>,
}

impl Default for TraceBuffer {
    fn default() -> Self {
        Self::new(DEFAULT_ENTRIES, DEFAULT_BYTES)
    }
}

impl TraceBuffer {
    /// An empty ring with these bounds.
    pub fn new(max_entries: usize, max_bytes: usize) -> Self {
        Self {
            max_entries,
            max_bytes,
            store: Mutex::default(),
        }
    }

    /// Keeps a note; one without a flow is left out, since nobody can ask for it.
    pub fn record(&self, now: Instant, note: TraceEvent, context: Context) {
        if note.flow.is_none() {
            return;
        }
        let mut store = self.lock();
        store.push(Entry {
            at: now,
            note,
            context,
        });
        while store.entries.len() > self.max_entries || store.bytes > self.max_bytes {
            store.drop_oldest();
        }
    }

    /// What was done for a flow, newest first, at most [`MAX_TRACES`].
    pub fn traces(&self, now: Instant, flow: &Flow) -> Vec<Trace> {
        let entries = self.matching(flow);
        entries.iter().map(|entry| entry.trace(now, flow)).collect()
    }

    /// Entries kept.
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    fn matching(&self, flow: &Flow) -> Vec<Entry> {
        let store = self.lock();
        let matching = |entry: &&Entry| entry.note.flow.as_ref() == Some(flow);
        let newest_first = store.entries.iter().rev();
        newest_first
            .filter(matching)
            .take(MAX_TRACES)
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
