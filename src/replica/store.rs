//! Follows the store itself, by listings and long polls.
//!
//! A failed poll is repeated from the same revision, so that no change is missed. Only
//! when the store has dropped that part of its history is the prefix listed again.

use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::platform::Entry;
use crate::platform::Revision;
use crate::platform::poll::Reader;
use crate::platform::poll::UnreadableEntry;

/// Prefixes and keys of the store's content.
#[derive(Clone, Copy, Debug)]
pub struct KeyLayout {
    /// Prefix of all keys.
    pub root_prefix: &'static str,
    /// Prefix of the small, urgent values.
    pub server_prefix: &'static str,
    /// Prefix of everything that operators write: orders and the large value.
    pub operator_prefix: &'static str,
    /// Prefix of the operators' orders, which are small and few.
    pub evacuation_prefix: &'static str,
    /// Key of the large value.
    pub config_key: &'static str,
}

/// Wait times and age limits of polling.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// Longest wait of a poll for keys that seldom change, when other polls run beside
    /// it.
    ///
    /// When a middlebox drops a connection, only the missing response shows it, so this
    /// bounds how old the copy can become unnoticed.
    pub background_wait: Duration,
    /// Longest wait of a poll whose results subscribers depend on. It is shorter, since
    /// the other delays on the way to them add up.
    pub subscribed_wait: Duration,
    /// Pause after changes, so that the next poll collects several of them.
    ///
    /// Without it, each change of any server costs one call.
    pub gather_pause: Duration,
    /// Longest time that the first instance after the heads of a zone waits for another
    /// instance's copy at the start, before it reads the store as well.
    pub copy_wait: Duration,
    /// Age of the last contact with the store at which an upstream is left.
    pub max_age: Duration,
    /// Age below which an upstream is worth a subscription. It is lower than `max_age`,
    /// otherwise instances would join and leave an upstream whose age is near that limit.
    pub fresh_age: Duration,
    /// Longest time between two probes of the store while the upstream's copy is old.
    ///
    /// Load pattern: the store refuses requests or is silent for seconds, and the copies of
    /// all instances of a fleet become old at once. When each left its upstream and polled the
    /// store again and again, 70 instances made 1,400 calls in five seconds, and the exchange
    /// of request outcomes in the zone stopped. Upstreams report the return of the store at
    /// once; a probe detects one that stays cut off.
    pub probe_pause: Duration,
}

/// A complete listing.
pub(crate) struct Listing {
    pub(crate) entries: Vec<Entry>,
    pub(crate) refused: Vec<UnreadableEntry>,
    pub(crate) revision: u64,
    /// Time of the request: everything written before it is included.
    pub(crate) requested_at: Instant,
}

/// Reads all pages. Together they are no snapshot, so polling continues from the
/// revision of the first page, and changes since then are received again. Pages of
/// different eras have no order, and the listing is then rejected.
pub(crate) async fn list(reader: &Reader, prefix: &str) -> Result<Listing> {
    list_each(reader, prefix, |_| {}).await
}

/// Reads all pages, and calls `on_page` with the entries of each as it arrives.
pub(crate) async fn list_each(
    reader: &Reader,
    prefix: &str,
    mut on_page: impl FnMut(&[Entry]),
) -> Result<Listing> {
    let requested_at = Instant::now();
    let first = reader.page(prefix, None).await?;
    on_page(&first.entries);
    let mut listing = Listing {
        entries: first.entries,
        refused: first.unreadable,
        revision: first.revision,
        requested_at,
    };
    let mut after = first.next;
    while let Some(key) = after {
        let page = reader.page(prefix, Some(&key)).await?;
        if Revision(page.revision).era() != Revision(first.revision).era() {
            return Err(Error::Compacted {
                step: "list",
                peer: prefix.to_owned(),
            });
        }
        on_page(&page.entries);
        listing.entries.extend(page.entries);
        listing.refused.extend(page.unreadable);
        after = page.next;
    }
    Ok(listing)
}

/// Pauses before the next poll.
///
/// Without the pause, a store that responds at once without a change would be polled in
/// a busy loop.
pub(crate) async fn pause_after_poll(
    timing: &PollTiming,
    started: Instant,
    wait: Duration,
    has_changes: bool,
) {
    if has_changes || started.elapsed() < wait / 2 {
        time::sleep(timing.gather_pause).await;
    }
}

/// Whether everything has to be listed again.
pub(crate) fn needs_listing(error: &Error) -> bool {
    matches!(error, Error::Compacted { .. })
}
