//! The subscription tree: ranks of instances and which instance follows which.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::id;
use crate::replica::Member;

/// Number of subscribers of one instance in the tree.
///
/// With 16, the two levels below the first instance hold 272 instances, twice the size of
/// a zone in the largest planned deployment. A heartbeat to each every 250 ms makes 64
/// small messages a second.
pub(crate) const FAN_OUT: usize = 16;

/// The instances above this one, the nearest first. Empty for the first instance of its
/// zone and for an instance that is not among the members.
pub fn upstream<'a>(me: &id::Instance, zone: &id::Zone, members: &'a [Member]) -> Vec<&'a Member> {
    let ranked = ranked(zone, members);
    let Some(mut position) = ranked.iter().position(|member| member.instance == *me) else {
        return Vec::new();
    };
    let mut above = Vec::new();
    while position > 0 {
        position = (position - 1) / FAN_OUT;
        above.push(ranked[position]);
    }
    above
}

/// Number of instances at the head of a zone. The heads replace other upstreams, and
/// read the store at once when they start. Three, so that two of them may be unavailable.
pub(crate) const HEAD_COUNT: usize = 3;

/// The instances to follow, the best first: those above this one, then the heads of the
/// zone.
///
/// Without the heads, if the first instance were cut off from the store, the instances
/// below it would each poll the store every two seconds. The next head polls the store
/// anyway and can feed them. All candidates rank before the instance itself.
pub fn candidates<'a>(
    me: &id::Instance,
    zone: &id::Zone,
    members: &'a [Member],
) -> Vec<&'a Member> {
    let ranked = ranked(zone, members);
    let before = ranked.iter().position(|member| member.instance == *me);
    let heads = ranked
        .iter()
        .take(before.unwrap_or_default().min(HEAD_COUNT));
    let mut candidates = upstream(me, zone, members);
    for head in heads {
        if !candidates.contains(head) {
            candidates.push(head);
        }
    }
    candidates
}

/// Increase of the wait for a copy per rank, as a share of the first wait.
const WAIT_INCREASE_PER_RANK: f64 = 0.5;

/// Longest wait for a copy when the instances that should have one are gone.
pub(crate) const MAX_COPY_WAIT: Duration = Duration::from_millis(1_500);

/// How long an instance that starts waits for another instance's copy before it reads
/// the store as well; `first` is the wait of the first instance after the heads.
///
/// Load pattern: 300 instances start at once. If all of them read the store after the
/// same wait, they fill its link for most of a second, and delay the heads, for whose
/// copies they wait.
pub fn copy_wait(
    me: &id::Instance,
    zone: &id::Zone,
    members: &[Member],
    first: Duration,
) -> Duration {
    let ranked = ranked(zone, members);
    let position = ranked.iter().position(|member| member.instance == *me);
    let ranks_after_heads = position.unwrap_or_default().saturating_sub(HEAD_COUNT);
    let wait = first.mul_f64(1.0 + ranks_after_heads as f64 * WAIT_INCREASE_PER_RANK);
    wait.min(MAX_COPY_WAIT.max(first))
}

/// Fallback upstreams in the own zone: as many as the store may refuse together with
/// this instance, when it refuses a third of all instances.
const OWN_ZONE_FALLBACKS: usize = 8;

/// Fallback upstreams in each other zone.
const OTHER_ZONE_FALLBACKS: usize = 2;

/// Fallback upstreams, for when the store does not respond and no instance above is
/// usable: instances that rank after this one, then the first ones of the other zones,
/// with zones ordered by name.
pub fn fallback_candidates<'a>(
    me: &id::Instance,
    zone: &id::Zone,
    members: &'a [Member],
) -> Vec<&'a Member> {
    let ranked_here = ranked(zone, members);
    let after = ranked_here
        .into_iter()
        .skip_while(|member| member.instance != *me)
        .skip(1);
    let mut fallbacks: Vec<&Member> = after.take(OWN_ZONE_FALLBACKS).collect();
    let zones: BTreeSet<&id::Zone> = members.iter().map(|member| &member.zone).collect();
    for other in zones.into_iter().filter(|other| *other != zone) {
        fallbacks.extend(
            ranked(other, members)
                .into_iter()
                .take(OTHER_ZONE_FALLBACKS),
        );
    }
    fallbacks
}

/// Addresses of all other members, those of the own zone first.
pub(crate) fn addresses_nearest_first(me: &Member, members: &[Member]) -> Vec<SocketAddrV4> {
    let others = members.iter().filter(|other| other.instance != me.instance);
    let mut others: Vec<&Member> = others.collect();
    others.sort_by_key(|other| (other.zone != me.zone, rank(other)));
    others.into_iter().map(|other| other.address).collect()
}

/// The members of a zone, ordered by rank.
pub(crate) fn ranked<'a>(zone: &id::Zone, members: &'a [Member]) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.iter().filter(|m| m.zone == *zone).collect();
    ranked.sort_by_key(|member| rank(member));
    ranked
}

/// Rank of a member: fast links first, then spread evenly by name, so that machines
/// added later do not all rank last.
///
/// An instance high in the tree feeds 16 others besides serving its callers. On a
/// deployment with two instances of 200 Mbit/s and 21 of 10 Mbit/s in a zone, ranks by
/// name alone made slow links feed the zone, and copies became 5 s old.
fn rank(member: &Member) -> (Reverse<i32>, u64, &id::Instance) {
    let mut hasher = SipHasher13::new();
    hasher.write(member.instance.as_str().as_bytes());
    let class = Reverse(member.link_mbps.class());
    (class, hasher.finish(), &member.instance)
}
