//! Aggregation of request outcomes per server among the instances of a zone.

use std::time::Duration;

use godwitreel::replica::Board;
use godwitreel::replica::Remark;
use godwitreel::replica::Remarks;
use tokio::time::Instant;

fn remark(serial: u64, answers: f32, stalls: f32) -> Remark {
    Remark {
        serial,
        incarnation: Some(5),
        answers,
        hollow: 0.0,
        stalls,
        ..Remark::default()
    }
}

/// A sum in which one single instance counted `loudest_stalls` of the stalls.
fn sum(serial: u64, answers: f32, stalls: f32, loudest_stalls: f32) -> Remark {
    Remark {
        loudest_stalls,
        ..remark(serial, answers, stalls)
    }
}

fn report(instances: u32, remarks: Vec<Remark>) -> Remarks {
    Remarks { remarks, instances }
}

#[test]
fn counts_are_added_up_on_the_way_up() {
    let now = Instant::now();
    let board = Board::default();
    board.set_own(vec![remark(1, 4.0, 1.0)]);
    let (first, second) = (board.enter(), board.enter());
    board.hear_below(now, first, report(3, vec![remark(1, 2.0, 1.5)]));
    board.hear_below(now, second, report(1, vec![remark(2, 1.0, 1.0)]));
    let up = board.upward(now);
    assert_eq!(up.instances, 5);
    let sums = vec![sum(1, 6.0, 2.5, 1.0), sum(2, 1.0, 1.0, 1.0)];
    assert_eq!(up.remarks, sums);
    assert_eq!(board.zone(now), up.remarks, "there is no upstream");
    board.leave(second);
    assert_eq!(board.upward(now).remarks.len(), 1);
}

#[test]
fn the_sum_comes_down_from_above() {
    let now = Instant::now();
    let board = Board::default();
    board.set_own(vec![remark(1, 4.0, 1.0)]);
    board.hear_above(now, vec![remark(1, 90.0, 2.0)]);
    assert_eq!(board.zone(now), vec![remark(1, 90.0, 2.0)]);
    assert_eq!(board.upward(now).remarks, vec![sum(1, 4.0, 1.0, 1.0)]);
}

// Guards against counts that outlive their sender: the upstream is frozen or gone, or a
// subscriber is cut off.
#[test]
fn old_reports_expire() {
    let now = Instant::now();
    let board = Board::default();
    let below = board.enter();
    board.hear_below(now, below, report(1, vec![remark(1, 0.0, 1.0)]));
    board.hear_above(now, vec![remark(2, 0.0, 1.0)]);
    let later = now + Duration::from_secs(2);
    assert_eq!(board.zone(later), Vec::new());
    assert_eq!(board.upward(later), report(1, Vec::new()));
}

// Guards against an instance that reports wrong counts. Its counts are limited to what
// one instance can have seen and to the servers that fit in one message, and invalid
// numbers count as zero.
#[test]
fn one_instance_has_little_effect_on_the_sum() {
    let now = Instant::now();
    let board = Board::default();
    let faulty = board.enter();
    let invalid = Remark {
        hollow: f32::NAN,
        answers: -7.0,
        stalls: 1e30,
        ..remark(1, 0.0, 0.0)
    };
    board.hear_below(now, faulty, report(1, vec![invalid; 500]));
    let sum = board.upward(now).remarks[0];
    assert_eq!((sum.answers, sum.hollow), (0.0, 0.0));
    assert_eq!(sum.stalls, 2.0, "counted once, and within its limit");
    let many: Vec<Remark> = (0..500).map(|serial| remark(serial, 0.0, 1.0)).collect();
    board.hear_below(now, faulty, report(u32::MAX, many));
    let up = board.upward(now);
    assert_eq!(up.remarks.len(), 16);
    assert_eq!(up.instances, 18, "itself and at most one whole subtree");
}

// The counts of the instance with the most failures are known at the top of the tree,
// whichever path the sums took, and they weigh no more than those of all other
// instances together.
#[test]
fn the_worst_instance_counts_no_more_than_all_others() {
    let now = Instant::now();
    let board = Board::default();
    board.set_own(vec![remark(1, 4.0, 0.5)]);
    let (first, second) = (board.enter(), board.enter());
    board.hear_below(now, first, report(3, vec![sum(1, 2.0, 2.5, 1.5)]));
    board.hear_below(now, second, report(1, vec![remark(1, 0.0, 1.0)]));
    assert_eq!(board.zone(now), vec![sum(1, 6.0, 4.0, 1.5)]);
    assert_eq!(board.confirmed(now)[0].stalls, 4.0);
    board.leave(first);
    assert_eq!(board.zone(now), vec![sum(1, 4.0, 1.5, 1.0)]);
    assert_eq!(board.confirmed(now)[0].stalls, 1.0);
    let lower = Board::default();
    lower.hear_above(now, board.zone(now));
    assert_eq!(
        lower.confirmed(now)[0].stalls,
        1.0,
        "limited once, not again"
    );
}
