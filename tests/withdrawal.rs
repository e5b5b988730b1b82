//! Withdrawal: an instance reports "not ready" while most of its zone is frozen.

use godwitreel::entry::Withdrawal;
use godwitreel::replica::FleetLiveness;
use godwitreel::replica::ZoneLiveness;

fn zone(answering: usize, probed: usize) -> ZoneLiveness {
    ZoneLiveness {
        answering,
        withdrawn: 0,
        probed,
    }
}

fn round(local_zone: ZoneLiveness, other_zones: &[ZoneLiveness]) -> FleetLiveness {
    FleetLiveness {
        local_zone,
        other_zones: other_zones.to_vec(),
    }
}

/// Whether an instance is withdrawn after each of these probe rounds.
fn withdrawn_after_each(rounds: &[FleetLiveness]) -> Vec<bool> {
    let mut withdrawal = Withdrawal::default();
    let states = rounds.iter().map(|round| {
        withdrawal.note(round);
        withdrawal.is_withdrawn()
    });
    states.collect()
}

// Two of three instances freeze for five seconds, and routers send two flows of three to
// them. The third instance withdraws after two probe rounds, and returns two rounds after
// the others answer again.
#[test]
fn the_last_of_a_zone_withdraws_while_most_are_frozen() {
    let frozen = round(zone(1, 3), &[zone(3, 3)]);
    let healthy = round(zone(3, 3), &[]);
    let rounds = [
        frozen.clone(),
        frozen.clone(),
        frozen,
        healthy.clone(),
        healthy,
    ];
    assert_eq!(
        withdrawn_after_each(&rounds),
        [false, true, true, true, false]
    );
}

// A late answer makes a single probe round bad. As long as the next round is good,
// that changes nothing, however often it happens.
#[test]
fn one_late_answer_changes_nothing() {
    let late = round(zone(1, 3), &[zone(3, 3)]);
    let healthy = round(zone(3, 3), &[]);
    let rounds = [late.clone(), healthy.clone(), late, healthy];
    assert_eq!(withdrawn_after_each(&rounds), [false; 4]);
}

// While half of the zone answers, routers skip only the instances that do not.
#[test]
fn half_of_a_zone_is_enough() {
    let half = round(zone(2, 4), &[zone(4, 4)]);
    assert_eq!(withdrawn_after_each(&[half.clone(), half]), [false; 2]);
}

// No other zone can take the callers, as it does not answer, is mostly frozen or has
// withdrawn itself. Withdrawing here as well could leave callers without any zone.
#[test]
fn nobody_withdraws_where_no_other_zone_is_better() {
    let withdrawn = ZoneLiveness {
        withdrawn: 1,
        ..zone(3, 3)
    };
    for other_zones in [&[][..], &[zone(0, 3)], &[zone(1, 3)], &[withdrawn]] {
        let alone = round(zone(1, 3), other_zones);
        assert_eq!(
            withdrawn_after_each(&[alone.clone(), alone]),
            [false; 2],
            "{other_zones:?}"
        );
    }
}
