//! Availability zones whose servers are to get no new flows.
//!
//! Load pattern: operators empty a zone at the peak, and its callers' new flows go
//! to the servers of other zones at once. Open flows stay where they are.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::id;

/// The zones that operators have evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// Since when this is known here, by zone.
    zones: BTreeMap<id::Zone, Instant>,
}

impl Evacuation {
    /// Adds a zone; `false` when it is evacuated already.
    pub(crate) fn begin(&mut self, now: Instant, zone: id::Zone) -> bool {
        let is_new = !self.contains(&zone);
        self.zones.entry(zone).or_insert(now);
        is_new
    }

    /// Takes a zone out; `false` when it is not evacuated.
    pub(crate) fn end(&mut self, zone: &id::Zone) -> bool {
        self.zones.remove(zone).is_some()
    }

    /// Takes over which zones are evacuated; `false` when they were before.
    pub(crate) fn replace(&mut self, now: Instant, zones: BTreeSet<id::Zone>) -> bool {
        let before = self.zones.len();
        self.zones.retain(|zone, _| zones.contains(zone));
        let has_ended = self.zones.len() < before;
        let mut has_begun = false;
        for zone in zones {
            has_begun |= self.begin(now, zone);
        }
        has_ended || has_begun
    }

    /// Whether a zone's servers are to get no new flows.
    pub fn contains(&self, zone: &id::Zone) -> bool {
        self.zones.contains_key(zone)
    }

    /// The zones and since when their evacuation is known here, in the order of
    /// their names.
    pub fn zones(&self) -> impl Iterator<Item = (&id::Zone, Instant)> {
        self.zones.iter().map(|(zone, since)| (zone, *since))
    }
}
