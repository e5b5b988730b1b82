//! Telling routers to go elsewhere while most of a zone stands still.

use godwitreel::entry::Withdrawal;
use godwitreel::replica::FleetLiveness;
use godwitreel::replica::ZoneLiveness;

fn zone(answering: usize, all: usize) -> ZoneLiveness {
    ZoneLiveness {
        answering,
        withdrawn: 0,
        probed: all,
    }
}

fn tally(here: ZoneLiveness, elsewhere: &[ZoneLiveness]) -> FleetLiveness {
    FleetLiveness {
        local_zone: here,
        other_zones: elsewhere.to_vec(),
    }
}

/// What an instance says after each of these looks.
fn said(looks: &[FleetLiveness]) -> Vec<bool> {
    let mut withdrawal = Withdrawal::default();
    let looks = looks.iter().map(|tally| {
        withdrawal.note(tally);
        withdrawal.is_withdrawn()
    });
    looks.collect()
}

// Two of three stand still for five seconds, and two flows of three go to them. The one
// that is left withdraws after two looks, and is back two looks after they are.
#[test]
fn the_last_of_a_zone_withdraws_while_most_stand_still() {
    let still = tally(zone(1, 3), &[zone(3, 3)]);
    let well = tally(zone(3, 3), &[]);
    let looks = [still.clone(), still.clone(), still, well.clone(), well];
    assert_eq!(said(&looks), [false, true, true, true, false]);
}

// One answer was late. Nothing changes, however often that happens in between.
#[test]
fn one_late_answer_changes_nothing() {
    let still = tally(zone(1, 3), &[zone(3, 3)]);
    let well = tally(zone(3, 3), &[]);
    let looks = [still.clone(), well.clone(), still, well];
    assert_eq!(said(&looks), [false; 4]);
}

// Half of the zone answers: routers leave out those that do not.
#[test]
fn half_of_a_zone_is_enough() {
    let half = tally(zone(2, 4), &[zone(4, 4)]);
    assert_eq!(said(&[half.clone(), half]), [false; 2]);
}

// No other zone can take the callers: none answers, most of it stands still, or it has
// withdrawn itself. If all withdrew, nobody would be left.
#[test]
fn nobody_withdraws_where_no_other_zone_is_better() {
    let withdrawn = ZoneLiveness {
        withdrawn: 1,
        ..zone(3, 3)
    };
    for elsewhere in [&[][..], &[zone(0, 3)], &[zone(1, 3)], &[withdrawn]] {
        let alone = tally(zone(1, 3), elsewhere);
        assert_eq!(said(&[alone.clone(), alone]), [false; 2], "{elsewhere:?}");
    }
}
