//! Time that the calls to the store take at present.
//!
//! Load pattern: a fleet restarts on machines that are short of processor time. The first
//! instances make their first call within milliseconds; when the others have started,
//! each call takes hundreds of milliseconds. A call that is still in progress shows this
//! before it ends, so it counts with its time so far.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// The calls in progress and the one that ended last.
#[derive(Debug, Default)]
pub(crate) struct CallTimes(Mutex<Calls>);

#[derive(Debug, Default)]
struct Calls {
    next_id: u64,
    /// When the calls in progress began. Ids increase, so the first is the oldest.
    started_at: BTreeMap<u64, Instant>,
    last: Duration,
}

impl CallTimes {
    fn lock(&self) -> MutexGuard<'_, Calls> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call as in progress until the guard is dropped.
    pub(crate) fn begin(&self) -> OngoingCall<'_> {
        let mut calls = self.lock();
        let id = calls.next_id;
        calls.next_id += 1;
        calls.started_at.insert(id, Instant::now());
        OngoingCall { times: self, id }
    }

    /// Time of the call that ended last, or of the oldest in progress if that is longer.
    pub(crate) fn longest(&self) -> Duration {
        let calls = self.lock();
        let oldest = calls.started_at.values().next();
        let so_far = oldest.map(Instant::elapsed).unwrap_or_default();
        calls.last.max(so_far)
    }
}

/// A call in progress.
pub(crate) struct OngoingCall<'a> {
    times: &'a CallTimes,
    id: u64,
}

impl Drop for OngoingCall<'_> {
    fn drop(&mut self) {
        let mut calls = self.times.lock();
        if let Some(started_at) = calls.started_at.remove(&self.id) {
            calls.last = started_at.elapsed();
        }
    }
}
