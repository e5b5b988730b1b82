//! Recent decisions for each flow, with their reasons.
//!
//! A [`TraceBuffer`] keeps the newest events and drops the oldest. Both the number of
//! events and their bytes are bounded, so a burst of traffic shortens the history and
//! does not grow the memory. Its one lock is a leaf: no other lock is taken while it
//! is held. It is held to push one event or to copy the matching ones; text is
//! formatted after it is released.

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

/// Default limit of the number of events.
pub const DEFAULT_ENTRIES: usize = 20_000;

/// Default limit of the events' memory, in bytes.
pub const DEFAULT_BYTES: usize = 8 << 20;

/// Maximum number of traces returned by one query.
pub const MAX_TRACES: usize = 1_000;

/// Slice ownership and configuration in force when an event was recorded.
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
    event: TraceEvent,
    context: Context,
}

impl Entry {
    /// Memory of the entry. Names shared with other entries are counted in full.
    fn bytes(&self) -> usize {
        let flow = self.event.flow.as_ref();
        let service = flow.map_or(0, |flow| flow.service.as_str().len());
        let server = self.event.server.as_ref().map_or(0, |id| id.as_str().len());
        size_of::<Self>() + service + server
    }

    fn trace(&self, now: Instant, flow: &Flow) -> Trace {
        Trace {
            age_ms: millis(now.saturating_duration_since(self.at)),
            reason: self.event.reason.code().to_owned(),
            service: flow.service.to_string(),
            caller: flow.caller.to_string(),
            request: self.event.request.map(|id| id.to_string()),
            slice: self.event.slice.map(|slice| slice.0),
            epoch: self.context.epoch.map(|epoch| epoch.0),
            revision: self.context.revision.map(|revision| revision.0),
            server: self.event.server.as_ref().map(ToString::to_string),
            elapsed_ms: self.event.elapsed.map(millis),
        }
    }
}

#[derive(Debug, Default)]
struct Entries {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Entries {
    fn push(&mut self, entry: Entry) {
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
    }

    fn evict_oldest(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= entry.bytes();
        }
    }
}

/// Bounded buffer of the newest events of one instance.
#[derive(Debug)]
pub struct TraceBuffer {
    max_entries: usize,
    max_bytes: usize,
    recorded: Mutex<Entries>,
}

impl Default for TraceBuffer {
    fn default() -> Self {
        Self::new(DEFAULT_ENTRIES, DEFAULT_BYTES)
    }
}

impl TraceBuffer {
    /// An empty buffer with these bounds.
    pub fn new(max_entries: usize, max_bytes: usize) -> Self {
        Self {
            max_entries,
            max_bytes,
            recorded: Mutex::default(),
        }
    }

    /// Records an event. An event without a flow is ignored, since queries are by flow.
    pub fn record(&self, now: Instant, event: TraceEvent, context: Context) {
        if event.flow.is_none() {
            return;
        }
        let mut recorded = self.lock();
        recorded.push(Entry {
            at: now,
            event,
            context,
        });
        while recorded.entries.len() > self.max_entries || recorded.bytes > self.max_bytes {
            recorded.evict_oldest();
        }
    }

    /// The events of a flow, newest first, at most [`MAX_TRACES`].
    pub fn traces(&self, now: Instant, flow: &Flow) -> Vec<Trace> {
        let entries = self.entries_of(flow);
        entries.iter().map(|entry| entry.trace(now, flow)).collect()
    }

    /// Number of recorded events.
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory of the recorded events, in bytes.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    fn entries_of(&self, flow: &Flow) -> Vec<Entry> {
        let recorded = self.lock();
        let matching = |entry: &&Entry| entry.event.flow.as_ref() == Some(flow);
        let newest_first = recorded.entries.iter().rev();
        newest_first
            .filter(matching)
            .take(MAX_TRACES)
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.recorded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
