//! What instances of a zone tell each other of servers.

use std::time::Duration;

use godwitreel::replica::OutcomeAggregator;
use godwitreel::replica::OutcomeEntry;
use godwitreel::replica::OutcomeReport;
use tokio::time::Instant;

fn remark(serial: u64, answers: f32, stalls: f32) -> OutcomeEntry {
    OutcomeEntry {
        serial,
        incarnation: Some(5),
        answers,
        premature: 0.0,
        stalls,
        ..OutcomeEntry::default()
    }
}

/// A sum of which one instance counted so many stalls.
fn sum(serial: u64, answers: f32, stalls: f32, worst_instance_stalls: f32) -> OutcomeEntry {
    OutcomeEntry {
        worst_instance_stalls,
        ..remark(serial, answers, stalls)
    }
}

fn from(instances: u32, remarks: Vec<OutcomeEntry>) -> OutcomeReport {
    OutcomeReport {
        outcomes: remarks,
        instances,
    }
}

#[test]
fn counts_are_added_up_on_the_way_up() {
    let now = Instant::now();
    let board = OutcomeAggregator::default();
    board.set_local(vec![remark(1, 4.0, 1.0)]);
    let (first, second) = (board.add_subscriber(), board.add_subscriber());
    board.receive_from_subscriber(now, first, from(3, vec![remark(1, 2.0, 1.5)]));
    board.receive_from_subscriber(now, second, from(1, vec![remark(2, 1.0, 1.0)]));
    let up = board.report_for_upstream(now);
    assert_eq!(up.instances, 5);
    let sums = vec![sum(1, 6.0, 2.5, 1.0), sum(2, 1.0, 1.0, 1.0)];
    assert_eq!(up.outcomes, sums);
    assert_eq!(board.zone_outcomes(now), up.outcomes, "nobody is above");
    board.remove_subscriber(second);
    assert_eq!(board.report_for_upstream(now).outcomes.len(), 1);
}

#[test]
fn the_sum_comes_down_from_above() {
    let now = Instant::now();
    let board = OutcomeAggregator::default();
    board.set_local(vec![remark(1, 4.0, 1.0)]);
    board.receive_from_upstream(now, vec![remark(1, 90.0, 2.0)]);
    assert_eq!(board.zone_outcomes(now), vec![remark(1, 90.0, 2.0)]);
    assert_eq!(
        board.report_for_upstream(now).outcomes,
        vec![sum(1, 4.0, 1.0, 1.0)]
    );
}

// The instance above is frozen or gone, a subscriber is cut off: what they said
// must not count for ever.
#[test]
fn what_was_told_long_ago_is_forgotten() {
    let now = Instant::now();
    let board = OutcomeAggregator::default();
    let below = board.add_subscriber();
    board.receive_from_subscriber(now, below, from(1, vec![remark(1, 0.0, 1.0)]));
    board.receive_from_upstream(now, vec![remark(2, 0.0, 1.0)]);
    let later = now + Duration::from_secs(2);
    assert_eq!(board.zone_outcomes(later), Vec::new());
    assert_eq!(board.report_for_upstream(later), from(1, Vec::new()));
}

// One instance lies, or is confused. It can say no more than one instance can have
// seen, for no more servers than a message holds, and rubbish counts nothing.
#[test]
fn one_instance_moves_the_sum_little() {
    let now = Instant::now();
    let board = OutcomeAggregator::default();
    let liar = board.add_subscriber();
    let wild = OutcomeEntry {
        premature: f32::NAN,
        answers: -7.0,
        stalls: 1e30,
        ..remark(1, 0.0, 0.0)
    };
    board.receive_from_subscriber(now, liar, from(1, vec![wild; 500]));
    let sum = board.report_for_upstream(now).outcomes[0];
    assert_eq!((sum.answers, sum.premature), (0.0, 0.0));
    assert_eq!(sum.stalls, 2.0, "once, and within its limit");
    let many: Vec<OutcomeEntry> = (0..500).map(|serial| remark(serial, 0.0, 1.0)).collect();
    board.receive_from_subscriber(now, liar, from(u32::MAX, many));
    let up = board.report_for_upstream(now);
    assert_eq!(up.outcomes.len(), 16);
    assert_eq!(up.instances, 18, "itself and at most a whole branch");
}

// The loudest of all instances is known at the top, by whichever ways the sums came, and
// counts no more than all others together.
#[test]
fn the_loudest_counts_no_more_than_all_others() {
    let now = Instant::now();
    let board = OutcomeAggregator::default();
    board.set_local(vec![remark(1, 4.0, 0.5)]);
    let (first, second) = (board.add_subscriber(), board.add_subscriber());
    board.receive_from_subscriber(now, first, from(3, vec![sum(1, 2.0, 2.5, 1.5)]));
    board.receive_from_subscriber(now, second, from(1, vec![remark(1, 0.0, 1.0)]));
    assert_eq!(board.zone_outcomes(now), vec![sum(1, 6.0, 4.0, 1.5)]);
    assert_eq!(board.confirmed_outcomes(now)[0].stalls, 4.0);
    board.remove_subscriber(first);
    assert_eq!(board.zone_outcomes(now), vec![sum(1, 4.0, 1.5, 1.0)]);
    assert_eq!(board.confirmed_outcomes(now)[0].stalls, 1.0);
    let lower = OutcomeAggregator::default();
    lower.receive_from_upstream(now, board.zone_outcomes(now));
    assert_eq!(
        lower.confirmed_outcomes(now)[0].stalls,
        1.0,
        "held down once, not again"
    );
}
