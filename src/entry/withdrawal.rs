//! Decides when an instance reports "not ready" although it works.
//!
//! Load pattern: two of three instances of a zone freeze for five seconds. Since less than
//! half of the zone is ready, routers send to all of its instances, and two flows of three
//! go to frozen ones. Routers use the next zone only if no instance of the zone is ready.
//! So the remaining instances withdraw, that is they report "not ready", while
//!
//! - less than half of their zone answers liveness probes, themselves included,
//! - another zone can take the callers: at least half of it answers and none of its
//!   instances has withdrawn, so that never all zones withdraw,
//! - two probe rounds in a row have confirmed both conditions, since a single late answer
//!   proves nothing.
//!
//! A withdrawn instance keeps forwarding the packets it gets. A wrong decision costs the
//! callers of the zone only the longer path to the next zone.

use crate::replica::FleetLiveness;
use crate::replica::ZoneLiveness;

/// Number of probe rounds in a row that must agree before the state changes either way.
const ROUNDS: u32 = 2;

/// Whether this instance has withdrawn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Withdrawal {
    is_withdrawn: bool,
    /// Number of probe rounds in a row that contradict the current state.
    contrary_rounds: u32,
}

impl Withdrawal {
    /// Records the result of a probe round and updates the state.
    pub fn note(&mut self, liveness: &FleetLiveness) {
        let has_better_zone = liveness.other_zones.iter().any(can_take_callers);
        let should_withdraw = liveness.local_zone.is_mostly_unresponsive() && has_better_zone;
        if should_withdraw == self.is_withdrawn {
            self.contrary_rounds = 0;
            return;
        }
        self.contrary_rounds += 1;
        if self.contrary_rounds >= ROUNDS {
            self.is_withdrawn = should_withdraw;
            self.contrary_rounds = 0;
        }
    }

    /// Whether the instance reports "not ready" so that routers use another zone.
    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }
}

fn can_take_callers(zone: &ZoneLiveness) -> bool {
    zone.answering > 0 && !zone.is_mostly_unresponsive() && zone.withdrawn == 0
}
