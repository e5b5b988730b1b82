//! Ranking of the instances that forward changes of the store to each other.

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

/// The instances that forward a change to `me`, the direct upstream first.
fn upstream_chain(me: &Member, members: &[Member]) -> Vec<id::Instance> {
    let chain = upstream(&me.instance, &me.zone, members);
    chain
        .into_iter()
        .map(|member| member.instance.clone())
        .collect()
}

// In a zone of the largest planned deployment, no instance may have more subscribers
// than its link can serve, and a change reaches every instance in two steps at most.
#[test]
fn a_large_zone_is_two_steps_deep() {
    let members = members(280);
    let mut subscribers = HashMap::new();
    let mut roots = 0;
    for me in &members {
        let chain = upstream_chain(me, &members);
        assert!(chain.len() <= 2, "{} steps", chain.len());
        roots += usize::from(chain.is_empty());
        if let Some(direct_upstream) = chain.first() {
            *subscribers.entry(direct_upstream.clone()).or_insert(0) += 1;
        }
    }
    assert_eq!(roots, 2, "one instance of each zone follows the store");
    assert!(subscribers.values().all(|count| *count <= 16));
}

// Instances with fast links serve the others. With two links of 200 Mbit/s and 21 of
// 10 Mbit/s in a zone, no instance with a slow link has subscribers.
#[test]
fn fast_links_rank_above_slow_ones() {
    let mut members = members(46);
    for member in &mut members {
        let number = member.address.port() - 1_000;
        member.link_mbps = Bandwidth(if number < 4 { 200.0 } else { 10.0 });
    }
    for me in &members {
        let chain = upstream(&me.instance, &me.zone, &members);
        assert!(chain.iter().all(|member| member.link_mbps.0 > 100.0));
    }
}

// When the first instance of a zone is cut off from the store, lower-ranked instances
// follow the next candidates, which rank above them. Otherwise each instance would have
// to poll the store itself.
#[test]
fn top_ranked_instances_replace_each_other_as_upstream() {
    let members = members(46);
    let mut counts = [0; 4];
    for me in &members {
        let candidates = candidates(&me.instance, &me.zone, &members);
        counts[candidates.len().min(3)] += 1;
        assert!(!candidates.contains(&me));
        for candidate in &candidates {
            let candidate_chain = upstream_chain(candidate, &members);
            assert!(
                !candidate_chain.contains(&me.instance),
                "a candidate follows an instance of lower rank"
            );
        }
    }
    assert_eq!(
        counts,
        [2, 2, 2, 40],
        "three top-ranked instances in each of two zones"
    );
}

#[test]
fn changes_stay_in_their_zone() {
    let members = members(40);
    for me in &members {
        for member in upstream(&me.instance, &me.zone, &members) {
            assert_eq!(member.zone, me.zone);
        }
    }
}

// An instance that is not registered yet must not depend on an upstream.
#[test]
fn an_unregistered_instance_follows_the_store() {
    let members = members(10);
    assert_eq!(upstream_chain(&member(99, "bole"), &members), Vec::new());
}

proptest! {
    // Instances with different membership views must not follow each other in a cycle:
    // none of them would follow the store, and all their copies would become outdated.
    #[test]
    fn different_membership_views_form_no_cycle(known_members in prop::collection::vec(any::<u64>(), 24)) {
        let all = members(24);
        let view = |me: usize| -> Vec<Member> {
            let is_known = |number: &usize| known_members[me] >> number & 1 == 1 || *number == me;
            (0..24).filter(is_known).map(|number| all[number].clone()).collect()
        };
        let ranked_instances: Vec<id::Instance> = {
            let mut ranked: Vec<_> = all.iter().collect();
            ranked.sort_by_key(|me| upstream_chain(me, &all).len());
            ranked.into_iter().map(|member| member.instance.clone()).collect()
        };
        prop_assert_eq!(ranked_instances.len(), 24);
        for (number, me) in all.iter().enumerate() {
            let mut seen = vec![me.instance.clone()];
            let mut position = number;
            while let Some(next) = upstream_chain(&all[position], &view(position)).first() {
                prop_assert!(!seen.contains(next), "cycle at {next}");
                seen.push(next.clone());
                position = all.iter().position(|member| member.instance == *next).unwrap();
            }
        }
    }
}
