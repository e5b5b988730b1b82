//! Ranks of the instances that pass changes on to each other.

use std::collections::HashMap;

use godwitreel::id;
use godwitreel::replica::Bandwidth;
use godwitreel::replica::Member;
use godwitreel::replica::candidates;
use godwitreel::replica::upstream;
use proptest::prelude::*;

fn member(number: usize, zone: &str) -> Member {
    Member {
        instance: format!("entry-{number}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        address: format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
        link_mbps: Bandwidth::DEFAULT,
    }
}

fn members(count: usize) -> Vec<Member> {
    let zone = |number| if number % 2 == 0 { "bole" } else { "ayat" };
    (0..count)
        .map(|number| member(number, zone(number)))
        .collect()
}

fn above(me: &Member, members: &[Member]) -> Vec<id::Instance> {
    let above = upstream(&me.instance, &me.zone, members);
    above
        .into_iter()
        .map(|member| member.instance.clone())
        .collect()
}

// A zone of the largest deployment planned: nobody has more subscribers than it
// can feed, and a change is two steps away at most.
#[test]
fn a_large_zone_is_two_steps_deep() {
    let members = members(280);
    let mut subscribers = HashMap::new();
    let mut roots = 0;
    for me in &members {
        let above = above(me, &members);
        assert!(above.len() <= 2, "{} steps", above.len());
        roots += usize::from(above.is_empty());
        if let Some(nearest) = above.first() {
            *subscribers.entry(nearest.clone()).or_insert(0) += 1;
        }
    }
    assert_eq!(roots, 2, "one a zone follows the store");
    assert!(subscribers.values().all(|count| *count <= 16));
}

// Wide links feed the others. With two of 200 Mbit/s and 21 of 10 in a zone, no thin
// link feeds anybody.
#[test]
fn wide_links_stand_above_thin_ones() {
    let mut members = members(46);
    for member in &mut members {
        let number = member.address.port() - 1_000;
        member.link_mbps = Bandwidth(if number < 4 { 200.0 } else { 10.0 });
    }
    for me in &members {
        let chain = upstream(&me.instance, &me.zone, &members);
        assert!(chain.iter().all(|above| above.link_mbps.0 > 100.0));
    }
}

// The first of a zone is cut off from the store. Those below it follow the next
// ones, which rank before them, and all need not ask the store each.
#[test]
fn heads_of_a_zone_stand_in_for_each_other() {
    let members = members(46);
    let mut counts = [0; 4];
    for me in &members {
        let candidates = candidates(&me.instance, &me.zone, &members);
        counts[candidates.len().min(3)] += 1;
        assert!(!candidates.contains(&me));
        for candidate in &candidates {
            let theirs = above(candidate, &members);
            assert!(!theirs.contains(&me.instance), "ranks lead upwards");
        }
    }
    assert_eq!(counts, [2, 2, 2, 40], "three heads in each of two zones");
}

#[test]
fn changes_stay_in_their_zone() {
    let members = members(40);
    for me in &members {
        for above in upstream(&me.instance, &me.zone, &members) {
            assert_eq!(above.zone, me.zone);
        }
    }
}

// An instance that is not registered yet must not wait for others to feed it.
#[test]
fn a_stranger_follows_the_store() {
    let members = members(10);
    assert_eq!(above(&member(99, "bole"), &members), Vec::new());
}

proptest! {
    // Instances that know different members must not follow each other in a ring:
    // their copies would grow old together, each trusting the other.
    #[test]
    fn disagreement_makes_no_ring(known in prop::collection::vec(any::<u64>(), 24)) {
        let all = members(24);
        let view = |me: usize| -> Vec<Member> {
            let knows = |number: &usize| known[me] >> number & 1 == 1 || *number == me;
            (0..24).filter(knows).map(|number| all[number].clone()).collect()
        };
        let full: Vec<id::Instance> = {
            let mut ranked: Vec<_> = all.iter().collect();
            ranked.sort_by_key(|me| above(me, &all).len());
            ranked.into_iter().map(|member| member.instance.clone()).collect()
        };
        prop_assert_eq!(full.len(), 24);
        for (number, me) in all.iter().enumerate() {
            let mut seen = vec![me.instance.clone()];
            let mut at = number;
            while let Some(next) = above(&all[at], &view(at)).first() {
                prop_assert!(!seen.contains(next), "ring at {next}");
                seen.push(next.clone());
                at = all.iter().position(|member| member.instance == *next).unwrap();
            }
        }
    }
}
