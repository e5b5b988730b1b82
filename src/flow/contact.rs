//! Contact with the store, and the conclusions it allows about missing entries.

use std::time::Duration;

use tokio::time::Instant;

/// How long a server may take to write its entry again after the entry lapsed in an outage
/// of the store: the users' limit of 2 s, and 0.5 s for the delivery to this instance.
const RETURN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Longest gap between two contacts that are merged. Upstreams poll the store at least
/// once per second, collect changes for up to 0.4 s and report them within 0.25 s. A longer
/// gap is an outage that has not been detected.
const MAX_GAP: Duration = Duration::from_millis(1_700);

/// A time span in which the store answered, according to this instance's replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreContact {
    /// Start of the span.
    pub from: Instant,
    /// When the store is last known to have had no data newer than the replica.
    ///
    /// Time that has passed since then does not count as contact: the upstream's replica
    /// may have become stale, so that an entry that was written again is not in it.
    pub until: Instant,
}

impl StoreContact {
    /// Contact at a single point in time.
    pub fn at(at: Instant) -> Self {
        Self {
            from: at,
            until: at,
        }
    }

    /// Merges this span with a later one.
    ///
    /// After a longer gap the span starts again, because entries may have lapsed in the gap
    /// and need the full time to return.
    pub(crate) fn merge(self, later: Self) -> Self {
        if later.from > self.until + MAX_GAP {
            return later;
        }
        Self {
            from: self.from.min(later.from),
            until: self.until.max(later.until),
        }
    }

    /// Whether the entry of a live server that has been missing since `missing` would have
    /// returned by now.
    pub(crate) fn rules_out_return(self, missing: Instant) -> bool {
        self.until >= missing.max(self.from) + RETURN_TIMEOUT
    }
}
