//! Who answers, of this zone and of the others.
//!
//! Routers use all instances of a zone when less than half of them are ready. When most
//! of a small zone stand still, two flows of three go to those, and only the one that is
//! left can change that, see [`crate::entry::Withdrawal`]. So it has to know. In a large
//! zone that is not worth the looks: most of twenty do not stand still at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future;
use tokio::sync::mpsc;
use tokio::time;

use crate::id;
use crate::replica::Member;
use crate::replica::SharedCopy;
use crate::replica::subscribe;

/// Time between two looks. An instance that stands still does so for seconds, and
/// routers notice it after one.
const LOOK_EVERY: Duration = Duration::from_millis(400);

/// Instances of a zone that look at each other, at most. Looks grow with its square: eight
/// instances in three zones used 3.05 s of a processor with them and 2.86 s without, mean
/// of ten days of 53 s.
const LARGEST_ZONE: usize = 8;

/// Instances of another zone that are asked whether it can take callers.
const ASKED_ABROAD: usize = 4;

/// How many of a zone answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneLiveness {
    /// Instances that answer; the one that asks counts as one.
    pub answering: usize,
    /// Those of them that have withdrawn from their routers.
    pub withdrawn: usize,
    /// Instances that are registered or, elsewhere, were asked.
    pub probed: usize,
}

/// One look at the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetLiveness {
    /// This zone.
    pub local_zone: ZoneLiveness,
    /// Other zones; empty while all is well here.
    pub other_zones: Vec<ZoneLiveness>,
}

impl ZoneLiveness {
    /// Whether less than half answer: routers then use those that do not, too.
    pub fn is_mostly_unresponsive(&self) -> bool {
        self.answering * 2 < self.probed
    }
}

/// Looks at the fleet until the receiver is dropped.
pub(crate) async fn monitor_liveness(
    me: Member,
    shared: Arc<SharedCopy>,
    sender: mpsc::Sender<FleetLiveness>,
) {
    loop {
        time::sleep(LOOK_EVERY).await;
        let tally = look(&me, &shared).await;
        if sender.send(tally).await.is_err() {
            return;
        }
    }
}

async fn look(me: &Member, shared: &SharedCopy) -> FleetLiveness {
    let members = shared.members();
    let (here, abroad): (Vec<Member>, Vec<Member>) = members
        .into_iter()
        .partition(|member| member.zone == me.zone);
    if here.len() > LARGEST_ZONE {
        return FleetLiveness::default();
    }
    let here = count(me, &here).await;
    if !here.is_mostly_unresponsive() {
        return FleetLiveness {
            local_zone: here,
            other_zones: Vec::new(),
        };
    }
    let mut zones: BTreeMap<id::Zone, Vec<Member>> = BTreeMap::new();
    for member in abroad {
        let zone = zones.entry(member.zone.clone()).or_default();
        if zone.len() < ASKED_ABROAD {
            zone.push(member);
        }
    }
    let counts = zones.values().map(|zone| count(me, zone));
    FleetLiveness {
        local_zone: here,
        other_zones: future::join_all(counts).await,
    }
}

/// Asks these instances, all at once.
async fn count(me: &Member, members: &[Member]) -> ZoneLiveness {
    let looks = members.iter().map(async |member| {
        if member.instance == me.instance {
            return Some(false);
        }
        // Whatever the reason, it does not answer.
        let sign = subscribe::look(member.address, me).await.ok();
        sign.map(|sign| sign.is_withdrawn)
    });
    let signs = future::join_all(looks).await;
    ZoneLiveness {
        answering: signs.iter().flatten().count(),
        withdrawn: signs
            .iter()
            .flatten()
            .filter(|withdrawn| **withdrawn)
            .count(),
        probed: members.len(),
    }
}
