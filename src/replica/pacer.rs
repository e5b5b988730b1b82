//! How many bytes a second go to all subscribers together.
//!
//! Subscribers share this instance's link with callers. When a large value
//! changes, sixteen of them want it at once; unpaced, they fill the queue of a
//! thin link for seconds, and callers' packets and heartbeats wait behind it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;
use crate::replica::Bandwidth;

/// Part of this instance's link that subscribers may fill. Callers' packets on
/// the links known take a tenth of them, so that half leaves room for a burst.
const SHARE: f64 = 0.5;

/// Pause before the next look when the bucket is empty: on the thinnest link
/// known, 2 Mbit/s, a part takes about this long.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A byte budget, shared by the tasks of all subscribers.
#[derive(Debug)]
pub(crate) struct Pacer {
    bucket: Mutex<TokenBucket>,
}

impl Pacer {
    pub(crate) fn new(link: Bandwidth, now: Instant) -> Self {
        let rate = (link.bytes_per_second() * SHARE) as u32;
        Self {
            bucket: Mutex::new(TokenBucket::new(Rate(rate.max(1)), now)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a part of this many bytes may go out now; it is counted if so.
    pub(crate) fn may_send(&self, bytes: usize, now: Instant) -> bool {
        self.lock().take_on_credit(bytes, now)
    }

    /// Counts bytes that go out in any case.
    pub(crate) fn count(&self, bytes: usize, now: Instant) {
        self.lock().take_available(bytes, now);
    }

    /// Waits until it is worth asking again.
    pub(crate) async fn rest(&self) {
        time::sleep(LOOK_EVERY).await;
    }
}
