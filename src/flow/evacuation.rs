//! Availability zones whose servers get no new flows.
//!
//! Load pattern: operators evacuate a zone at peak load, and the new flows of its callers
//! go to servers of other zones at once. Open flows stay at their servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::id;

/// The zones that operators have evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// When this instance learned of each zone's evacuation.
    zones: BTreeMap<id::Zone, Instant>,
}

impl Evacuation {
    /// Adds a zone. Returns `false` if it is evacuated already.
    pub(crate) fn begin(&mut self, now: Instant, zone: id::Zone) -> bool {
        let is_new = !self.contains(&zone);
        self.zones.entry(zone).or_insert(now);
        is_new
    }

    /// Removes a zone. Returns `false` if it is not evacuated.
    pub(crate) fn end(&mut self, zone: &id::Zone) -> bool {
        self.zones.remove(zone).is_some()
    }

    /// Replaces the set of evacuated zones. Returns `false` if it is unchanged.
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

    /// Whether the servers of a zone get no new flows.
    pub fn contains(&self, zone: &id::Zone) -> bool {
        self.zones.contains_key(zone)
    }

    /// The evacuated zones and when this instance learned of each evacuation, ordered by
    /// name.
    pub fn zones(&self) -> impl Iterator<Item = (&id::Zone, Instant)> {
        self.zones.iter().map(|(zone, since)| (zone, *since))
    }
}
