//! Contact with the store, and what may be concluded from it.

use std::time::Duration;

use tokio::time::Instant;

/// How long an entry that lapsed during an outage of the store may take to come
/// back after it: the users' bound of 2 s, and half a second for its delivery.
const RETURN_BOUND: Duration = Duration::from_millis(2_500);

/// Longest time between two contacts that belong together. Those whom others follow
/// ask the store at least once a second, gather changes for up to 0.4 s and tell of it
/// within 0.25 s; a longer gap is an outage that nobody has noticed.
const MOST_GAP: Duration = Duration::from_millis(1_700);

/// A span in which the store answered, as this instance's copy shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreContact {
    /// When it began.
    pub from: Instant,
    /// When the store is last known to have had nothing newer than the copy.
    ///
    /// Time that has passed since is no contact: an upstream's copy may have been
    /// growing old all the while, and an entry that has come back is not in it.
    pub until: Instant,
}

impl StoreContact {
    /// Contact at one moment.
    pub fn at(at: Instant) -> Self {
        Self {
            from: at,
            until: at,
        }
    }

    /// The span that this one and a later one make together.
    ///
    /// Entries may have lapsed in a longer gap and need their time again.
    pub(crate) fn merge(self, later: Self) -> Self {
        if later.from > self.until + MOST_GAP {
            return later;
        }
        Self {
            from: self.from.min(later.from),
            until: self.until.max(later.until),
        }
    }

    /// Whether an entry that has been missing since then would be back by now if
    /// its server lived.
    pub(crate) fn outlasts(self, missing: Instant) -> bool {
        self.until >= missing.max(self.from) + RETURN_BOUND
    }
}
