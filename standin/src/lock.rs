//! Locking that outlives a panicked test.
//!
//! A failed assertion on one task must not turn into a poisoned lock on all
//! others and hide the first message.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks, whether or not another holder has panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
