//! Which instances this one can reach, as the control task last judged.

use std::collections::BTreeMap;
use std::collections::HashSet;

use tokio::time::Instant;

use crate::id;

/// What is known of another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which of its lives.
    pub holder: id::Holder,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes peer messages.
    pub address: id::Endpoint,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// The view handed to the workers.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Lives that were heard recently, this instance's own included.
    pub live: HashSet<id::Holder>,
    /// Everything known, by name.
    pub known: BTreeMap<id::Instance, Member>,
    /// Until when this instance may let non-idempotent requests run.
    pub authority_until: Option<Instant>,
}

impl MembershipView {
    /// Whether this life was heard recently.
    pub fn is_live(&self, holder: &id::Holder) -> bool {
        self.live.contains(holder)
    }

    /// Whether this life is over for certain: a later one has registered.
    pub fn has_ended(&self, holder: &id::Holder) -> bool {
        let known = self.known.get(&holder.instance);
        known.is_some_and(|member| member.holder.incarnation > holder.incarnation)
    }

    /// Whether non-idempotent requests may run now.
    pub fn has_authority(&self, now: Instant) -> bool {
        self.authority_until.is_some_and(|until| now < until)
    }
}
