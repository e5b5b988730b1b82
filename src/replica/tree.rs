//! Who is above whom.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::id;
use crate::replica::Member;

/// Subscribers of one instance.
///
/// With 16, two steps below the first instance hold 272 more, twice what a zone
/// of the largest deployment planned has; a heartbeat to each every 250 ms is
/// 64 small messages a second.
pub(crate) const FAN_OUT: usize = 16;

/// The instances above one, the nearest first; empty for the first of its zone
/// and for an instance that is not among the members.
pub fn upstream<'a>(me: &id::Instance, zone: &id::Zone, members: &'a [Member]) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.iter().filter(|m| m.zone == *zone).collect();
    ranked.sort_by_key(|member| (rank(&member.instance), &member.instance));
    let Some(mut place) = ranked.iter().position(|member| member.instance == *me) else {
        return Vec::new();
    };
    let mut above = Vec::new();
    while place > 0 {
        place = (place - 1) / FAN_OUT;
        above.push(ranked[place]);
    }
    above
}

/// Spreads names evenly, so that machines added later do not all rank last.
fn rank(instance: &id::Instance) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(instance.as_str().as_bytes());
    hasher.finish()
}
