//! Locking that ignores poisoning.
//!
//! A failed assertion in one task must not make all other tasks fail on a poisoned
//! lock, because their messages would hide the first one.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks the mutex even if a previous holder has panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
