//! When an instance tells its routers to go elsewhere although it serves.
//!
//! Load pattern: two of three instances of a zone stand still for five seconds. Less than
//! half of the zone is ready, so that routers use all of it, and two flows of three go to
//! those that stand still. Only when none of the zone is ready do they turn to the next
//! one. So whoever is left says that it is not ready, for as long as
//!
//! - less than half of its zone answers, itself counted,
//! - another zone can take the callers: half of it answers and nobody there has withdrawn,
//!   so that never all zones withdraw,
//! - both was so at two looks: one answer that is late is no sign.
//!
//! It goes on to pass on what it gets. What it may be wrong about costs its zone's callers the
//! way to the next zone.

use crate::replica::FleetLiveness;
use crate::replica::ZoneLiveness;

/// Looks in a row that must agree before anything changes, either way.
const LOOKS: u32 = 2;

/// Whether this instance has withdrawn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Withdrawal {
    is_withdrawn: bool,
    /// Looks in a row that spoke against the present state.
    contrary: u32,
}

impl Withdrawal {
    /// Takes in a look.
    pub fn note(&mut self, tally: &FleetLiveness) {
        let is_better_elsewhere = tally.other_zones.iter().any(can_take_callers);
        let should_withdraw = tally.local_zone.is_mostly_unresponsive() && is_better_elsewhere;
        if should_withdraw == self.is_withdrawn {
            self.contrary = 0;
            return;
        }
        self.contrary += 1;
        if self.contrary >= LOOKS {
            self.is_withdrawn = should_withdraw;
            self.contrary = 0;
        }
    }

    /// Whether routers should go elsewhere.
    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }
}

fn can_take_callers(zone: &ZoneLiveness) -> bool {
    zone.answering > 0 && !zone.is_mostly_unresponsive() && zone.withdrawn == 0
}
