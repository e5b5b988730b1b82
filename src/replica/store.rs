//! Following the store itself, by listings and long polls.
//!
//! A failed poll is repeated from the same revision, so that nothing is missed;
//! only when the store has dropped that history is the prefix listed again.

use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::platform::Entry;
use crate::platform::poll::Reader;
use crate::platform::poll::UnreadableEntry;

/// Where in the store everything lies.
#[derive(Clone, Copy, Debug)]
pub struct KeyLayout {
    /// Prefix of all keys.
    pub root_prefix: &'static str,
    /// Prefix under it of small values that are urgent.
    pub server_prefix: &'static str,
    /// Prefix under it of all that operators write: orders and the large value.
    pub operator_prefix: &'static str,
    /// Prefix under that of their orders, which are small and few.
    pub evacuation_prefix: &'static str,
    /// Key under it of the large value.
    pub config_key: &'static str,
}

/// Times of polling.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// Longest time that a poll of what changes seldom waits beside others.
    ///
    /// A connection that something in between has forgotten shows only by the
    /// missing answer, so this bounds how old the copy can become unnoticed.
    pub background_wait: Duration,
    /// Longest time that a poll waits on which subscribers depend; shorter,
    /// since what they need beside it adds up.
    pub subscribed_wait: Duration,
    /// Pause after changes, in which further ones gather for the next poll.
    ///
    /// Without it, each change of any server costs a call.
    pub gather_pause: Duration,
    /// Longest time that the first instance after the heads of a zone waits for another
    /// one's copy, when it starts, before it reads the store as well.
    pub copy_wait: Duration,
    /// Age of the last contact with the store at which an upstream is left.
    pub max_age: Duration,
    /// Age below which an upstream is worth a subscription; lower than
    /// `max_age`, or instances would come and go around it.
    pub fresh_age: Duration,
}

/// A whole listing.
pub(crate) struct Listing {
    pub(crate) entries: Vec<Entry>,
    pub(crate) refused: Vec<UnreadableEntry>,
    pub(crate) revision: u64,
    /// When it was asked for: all that was written before is in it.
    pub(crate) asked: Instant,
}

/// Reads all pages. They are no snapshot, so that polling goes on from the first
/// page's revision: what changed since then is told again.
pub(crate) async fn list(reader: &Reader, prefix: &str) -> Result<Listing> {
    let asked = Instant::now();
    let first = reader.page(prefix, None).await?;
    let mut listing = Listing {
        entries: first.entries,
        refused: first.unreadable,
        revision: first.revision,
        asked,
    };
    let mut after = first.next;
    while let Some(key) = after {
        let page = reader.page(prefix, Some(&key)).await?;
        listing.entries.extend(page.entries);
        listing.refused.extend(page.unreadable);
        after = page.next;
    }
    Ok(listing)
}

/// The pause before the next poll.
///
/// A store that answers at once without a change would be asked without end.
pub(crate) async fn pause(pace: &PollTiming, started: Instant, wait: Duration, has_changes: bool) {
    if has_changes || started.elapsed() < wait / 2 {
        time::sleep(pace.gather_pause).await;
    }
}

/// Whether everything has to be listed again.
pub(crate) fn needs_listing(error: &Error) -> bool {
    matches!(error, Error::Compacted { .. })
}
