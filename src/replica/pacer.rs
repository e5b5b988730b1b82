//! Limits the bytes per second sent to all subscribers together.
//!
//! Subscribers share this instance's link with callers. When a large value changes, 16
//! subscribers need it at once. Without a limit they fill the queue of a slow link for
//! seconds, and callers' packets and heartbeats wait behind it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;
use crate::replica::Bandwidth;

/// Share of this instance's link that subscribers may fill. Callers' packets take a
/// tenth of the links in use, so that half leaves room for a burst.
const SUBSCRIBER_SHARE: f64 = 0.5;

/// Pause before the budget is checked again when it is used up. On the slowest link in
/// use, 2 Mbit/s, a part takes about this long.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A byte budget, shared by the tasks of all subscribers.
#[derive(Debug)]
pub(crate) struct Pacer {
    bucket: Mutex<TokenBucket>,
}

impl Pacer {
    pub(crate) fn new(link: Bandwidth, now: Instant) -> Self {
        Self {
            bucket: Mutex::new(full_bucket(link, now)),
        }
    }

    pub(crate) fn set_link(&self, link: Bandwidth, now: Instant) {
        let bucket = full_bucket(link, now);
        let mut current = self.lock();
        if bucket.rate() != current.rate() {
            *current = bucket;
        }
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a part of this many bytes may be sent now; if so, it is charged to the
    /// budget.
    pub(crate) fn may_send(&self, bytes: usize, now: Instant) -> bool {
        self.lock().take_on_credit(bytes, now)
    }

    /// Charges bytes that are sent in any case.
    pub(crate) fn charge(&self, bytes: usize, now: Instant) {
        self.lock().take_available(bytes, now);
    }

    /// Waits until the budget may allow another part.
    pub(crate) async fn wait_for_budget(&self) {
        time::sleep(RETRY_INTERVAL).await;
    }
}

fn full_bucket(link: Bandwidth, now: Instant) -> TokenBucket {
    let rate = (link.bytes_per_second() * SUBSCRIBER_SHARE) as u32;
    TokenBucket::new(Rate(rate.max(1)), now)
}
