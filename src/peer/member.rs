//! Membership of the fleet as last determined by the control task.

use std::collections::BTreeMap;
use std::collections::HashSet;

use tokio::time::Instant;

use crate::id;

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name and incarnation of the instance.
    pub holder: id::Holder,
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// Address at which the instance receives peer messages.
    pub address: id::Endpoint,
    /// Whether the instance is handing its slices over.
    pub leaving: bool,
}

/// View of the membership that the control task gives to the workers.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Instances whose heartbeats arrived recently, including this instance.
    pub live: HashSet<id::Holder>,
    /// All known other instances by name.
    pub known: BTreeMap<id::Instance, Member>,
    /// Time until which this instance may run non-idempotent requests.
    pub authority_until: Option<Instant>,
}

impl MembershipView {
    /// Whether a heartbeat of this incarnation arrived recently.
    pub fn is_live(&self, holder: &id::Holder) -> bool {
        self.live.contains(holder)
    }

    /// Whether this incarnation has certainly ended because a later one is known.
    pub fn has_ended(&self, holder: &id::Holder) -> bool {
        let known = self.known.get(&holder.instance);
        known.is_some_and(|member| member.holder.incarnation > holder.incarnation)
    }

    /// Whether this instance may run non-idempotent requests now.
    pub fn has_authority(&self, now: Instant) -> bool {
        self.authority_until.is_some_and(|until| now < until)
    }
}
