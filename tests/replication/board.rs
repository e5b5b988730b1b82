//! Aggregation of request outcomes per server among the instances of a zone.

use std::time::Duration;

use godwitreel::replica::OutcomeAggregator;
use godwitreel::replica::OutcomeEntry;
use godwitreel::replica::OutcomeReport;
use tokio::time::Instant;

fn entry(serial: u64, answers: f32, stalls: f32) -> OutcomeEntry {
    OutcomeEntry {
        serial,
        incarnation: Some(5),
        answers,
        premature: 0.0,
        stalls,
        ..OutcomeEntry::default()
    }
}

/// A sum in which one single instance counted `worst_instance_stalls` of the stalls.
fn sum(serial: u64, answers: f32, stalls: f32, worst_instance_stalls: f32) -> OutcomeEntry {
    OutcomeEntry {
        worst_instance_stalls,
        ..entry(serial, answers, stalls)
    }
}

fn report(instances: u32, outcomes: Vec<OutcomeEntry>) -> OutcomeReport {
    OutcomeReport {
        outcomes,
        instances,
    }
}

#[test]
fn counts_are_added_up_on_the_way_up() {
    let now = Instant::now();
    let aggregator = OutcomeAggregator::default();
    aggregator.set_local(vec![entry(1, 4.0, 1.0)]);
    let (first, second) = (aggregator.add_subscriber(), aggregator.add_subscriber());
    aggregator.receive_from_subscriber(now, first, report(3, vec![entry(1, 2.0, 1.5)]));
    aggregator.receive_from_subscriber(now, second, report(1, vec![entry(2, 1.0, 1.0)]));
    let up = aggregator.report_for_upstream(now);
    assert_eq!(up.instances, 5);
    let sums = vec![sum(1, 6.0, 2.5, 1.0), sum(2, 1.0, 1.0, 1.0)];
    assert_eq!(up.outcomes, sums);
    assert_eq!(
        aggregator.zone_outcomes(now),
        up.outcomes,
        "there is no upstream"
    );
    aggregator.remove_subscriber(second);
    assert_eq!(aggregator.report_for_upstream(now).outcomes.len(), 1);
}

#[test]
fn the_sum_comes_down_from_above() {
    let now = Instant::now();
    let aggregator = OutcomeAggregator::default();
    aggregator.set_local(vec![entry(1, 4.0, 1.0)]);
    aggregator.receive_from_upstream(now, vec![entry(1, 90.0, 2.0)]);
    assert_eq!(aggregator.zone_outcomes(now), vec![entry(1, 90.0, 2.0)]);
    assert_eq!(
        aggregator.report_for_upstream(now).outcomes,
        vec![sum(1, 4.0, 1.0, 1.0)]
    );
}

// Guards against counts that outlive their sender: the upstream is frozen or gone, or a
// subscriber is cut off.
#[test]
fn old_reports_expire() {
    let now = Instant::now();
    let aggregator = OutcomeAggregator::default();
    let below = aggregator.add_subscriber();
    aggregator.receive_from_subscriber(now, below, report(1, vec![entry(1, 0.0, 1.0)]));
    aggregator.receive_from_upstream(now, vec![entry(2, 0.0, 1.0)]);
    let later = now + Duration::from_secs(2);
    assert_eq!(aggregator.zone_outcomes(later), Vec::new());
    assert_eq!(aggregator.report_for_upstream(later), report(1, Vec::new()));
}

// Guards against an instance that reports wrong counts. Its counts are limited to what
// one instance can have seen and to the servers that fit in one message, and invalid
// numbers count as zero.
#[test]
fn one_instance_has_little_effect_on_the_sum() {
    let now = Instant::now();
    let aggregator = OutcomeAggregator::default();
    let faulty = aggregator.add_subscriber();
    let invalid = OutcomeEntry {
        premature: f32::NAN,
        answers: -7.0,
        stalls: 1e30,
        ..entry(1, 0.0, 0.0)
    };
    aggregator.receive_from_subscriber(now, faulty, report(1, vec![invalid; 500]));
    let sum = aggregator.report_for_upstream(now).outcomes[0];
    assert_eq!((sum.answers, sum.premature), (0.0, 0.0));
    assert_eq!(sum.stalls, 2.0, "counted once, and within its limit");
    let many: Vec<OutcomeEntry> = (0..500).map(|serial| entry(serial, 0.0, 1.0)).collect();
    aggregator.receive_from_subscriber(now, faulty, report(u32::MAX, many));
    let up = aggregator.report_for_upstream(now);
    assert_eq!(up.outcomes.len(), 16);
    assert_eq!(up.instances, 18, "itself and at most one whole subtree");
}

// The counts of the instance with the most failures are known at the top of the tree,
// whichever path the sums took, and they weigh no more than those of all other
// instances together.
#[test]
fn the_worst_instance_counts_no_more_than_all_others() {
    let now = Instant::now();
    let aggregator = OutcomeAggregator::default();
    aggregator.set_local(vec![entry(1, 4.0, 0.5)]);
    let (first, second) = (aggregator.add_subscriber(), aggregator.add_subscriber());
    aggregator.receive_from_subscriber(now, first, report(3, vec![sum(1, 2.0, 2.5, 1.5)]));
    aggregator.receive_from_subscriber(now, second, report(1, vec![entry(1, 0.0, 1.0)]));
    assert_eq!(aggregator.zone_outcomes(now), vec![sum(1, 6.0, 4.0, 1.5)]);
    assert_eq!(aggregator.confirmed_outcomes(now)[0].stalls, 4.0);
    aggregator.remove_subscriber(first);
    assert_eq!(aggregator.zone_outcomes(now), vec![sum(1, 4.0, 1.5, 1.0)]);
    assert_eq!(aggregator.confirmed_outcomes(now)[0].stalls, 1.0);
    let lower = OutcomeAggregator::default();
    lower.receive_from_upstream(now, aggregator.zone_outcomes(now));
    assert_eq!(
        lower.confirmed_outcomes(now)[0].stalls,
        1.0,
        "limited once, not again"
    );
}
