//! Simulates a fleet in virtual time under seeded random faults, with thousands of
//! requests per run, and checks the system's invariants after each run.

#[path = "history/backend.rs"]
mod backend;
#[path = "history/caller.rs"]
mod caller;
#[path = "history/faults.rs"]
mod faults;
#[path = "history/fleet.rs"]
mod fleet;
mod lab;
#[path = "history/link.rs"]
mod link;
#[path = "history/platform.rs"]
mod platform;

use std::time::Duration;

use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use rand::RngExt;

use crate::faults::Faults;
use crate::fleet::Counts;
use crate::fleet::Fleet;
use crate::fleet::PARK_TIME;
use crate::fleet::SERVICES;
use crate::lab::secs;

/// Time at which faults begin; all slices have a home and a backup by then.
const FAULTS_BEGIN: Duration = Duration::from_secs(8);

/// Time at which the last fault is undone.
const FAULTS_END: Duration = Duration::from_secs(90);

/// Documented time after the last fault within which the fleet recovers.
const RECOVERY_LIMIT: Duration = Duration::from_secs(45);

/// Time at which a run ends.
const END: Duration = Duration::from_secs(155);

/// Time between two new requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

const SUBSCRIPTION_COUNT: u16 = 24;

/// Allowance for tick intervals and message delays on top of the deadline.
const DELAY_ALLOWANCE: Duration = Duration::from_secs(1);

/// Runs one simulation with random faults.
fn run_with_faults(seed: u64) -> Fleet {
    let count = 3 + (seed % 7) as usize;
    let workers = 1 + (seed / 7 % 2) as u8;
    let mut fleet = Fleet::new(seed, count, workers);
    fleet.run_until(FAULTS_BEGIN);
    for number in 0..SUBSCRIPTION_COUNT {
        let service = SERVICES[usize::from(number % 2)];
        fleet.open_subscription(lab::flow(service, 9_000 + number));
    }
    let mut faults = Faults::new(seed);
    while fleet.now < END {
        let now = fleet.now;
        if now < FAULTS_END {
            faults.advance(&mut fleet);
        } else {
            faults.undo_all(&mut fleet);
        }
        if now + secs(14) < END {
            send_random_request(&mut fleet);
        }
        fleet.run_until(now + REQUEST_INTERVAL);
    }
    fleet
}

fn send_random_request(fleet: &mut Fleet) {
    let caller = fleet.rng.random_range(0..400);
    let service = SERVICES[usize::from(caller % 4 == 0)];
    let kind = match fleet.rng.random_bool(0.7) {
        true => Kind::NonIdempotent,
        false => Kind::Idempotent,
    };
    fleet.send_request(lab::flow(service, 10_000 + caller), kind);
}

fn check_invariants(fleet: &mut Fleet) -> Vec<String> {
    let mut violations = std::mem::take(&mut fleet.violations);
    check_requests(fleet, &mut violations);
    check_table(fleet, &mut violations);
    check_feeds(fleet, &mut violations);
    violations
}

fn check_requests(fleet: &mut Fleet, violations: &mut Vec<String>) {
    let outcome_limit = fleet.profile.deadline() + PARK_TIME + DELAY_ALLOWANCE;
    let mut counts = std::mem::take(&mut fleet.counts);
    for (number, tracked) in fleet.tracked_requests.iter().enumerate() {
        let is_non_idempotent = tracked.kind == Kind::NonIdempotent;
        counts.requests += 1;
        counts.non_idempotent += u64::from(is_non_idempotent);
        if is_non_idempotent && tracked.starts > 1 {
            violations.push(format!(
                "(a) request {number} sent at {:?} started {} times",
                tracked.sent_at, tracked.starts
            ));
        }
        let not_run =
            |(_, outcome): &(Duration, Outcome)| matches!(outcome, Outcome::NotRun { .. });
        if is_non_idempotent && tracked.starts > 0 && tracked.sent_outcomes.iter().any(not_run) {
            violations.push(format!(
                "(b) request {number} was started although its outcome says not run"
            ));
        }
        match tracked.received_outcomes.first() {
            Some(Outcome::Answered(_)) => counts.answered += 1,
            Some(Outcome::NotRun { .. }) => counts.not_run += 1,
            Some(Outcome::Unknown) => counts.unknown += 1,
            None => counts.without_outcome += 1,
        }
        let first = tracked.sent_outcomes.first().map(|(at, _)| *at);
        let is_late = match (tracked.first_handled, first) {
            (Some(handled), Some(first)) => first > handled + outcome_limit,
            (Some(_), None) => true,
            _ => false,
        };
        if is_late && !tracked.is_fault_affected {
            violations.push(format!(
                "(h) request {number} {:?} sent at {:?}, first handled at {:?}, got its outcome at {first:?}",
                tracked.kind, tracked.sent_at, tracked.first_handled
            ));
        }
        let is_after_recovery =
            tracked.sent_at > FAULTS_END + RECOVERY_LIMIT && tracked.sent_at + secs(14) < END;
        let answered = |outcome: &Outcome| matches!(outcome, Outcome::Answered(_));
        if is_after_recovery
            && !tracked.is_fault_affected
            && !tracked.received_outcomes.iter().any(answered)
        {
            violations.push(format!(
                "(e) request {number} {:?} sent at {:?} after recovery got {:?}",
                tracked.kind, tracked.sent_at, tracked.received_outcomes
            ));
        }
    }
    fleet.counts = counts;
}

fn check_table(fleet: &Fleet, violations: &mut Vec<String>) {
    let rows = fleet.platform_rows();
    let is_live = |holder: &godwitreel::id::Holder| {
        let mut nodes = fleet.nodes.iter();
        nodes.any(|node| node.is_up && node.holder == *holder)
    };
    for (slice, row) in rows.iter().enumerate() {
        let is_whole = row.home.as_ref().is_some_and(is_live)
            && row.backup.as_ref().is_some_and(is_live)
            && row.home != row.backup;
        if !is_whole {
            violations.push(format!(
                "(e) slice {slice} lacks a live home or backup at the end: {row:?}"
            ));
        }
    }
    for index in 0..fleet.nodes.len() {
        let table = fleet.node_table(index);
        for ((slice, row), stored) in table.rows().zip(&rows) {
            if row != stored {
                violations.push(format!(
                    "(e) node {index} and the platform have different rows for {slice}"
                ));
            }
        }
    }
}

fn check_feeds(fleet: &mut Fleet, violations: &mut Vec<String>) {
    const NOTIFICATION_LIMIT: Duration = Duration::from_secs(5);
    for subscription in &fleet.subscriptions {
        fleet.counts.feeds += 1;
        fleet.counts.reopened += u64::from(subscription.reopened);
        if fleet.now > subscription.last_notification + NOTIFICATION_LIMIT {
            violations.push(format!(
                "(f) feed {} of {} got its last notification at {:?}, sequence {}",
                subscription.number,
                subscription.flow,
                subscription.last_notification,
                subscription.newest_sequence
            ));
        }
    }
}

fn print_counts(seed: u64, counts: &Counts) {
    let count = |reason| counts.reasons.get(&reason).copied().unwrap_or(0);
    println!(
        "seed {seed}: requests {} non_idempotent {} answered {} not_run {} unknown {} without_outcome {} \
         feeds {} reopened {} notifications {} kills {} freezes {} homes_gained {} moved {}",
        counts.requests,
        counts.non_idempotent,
        counts.answered,
        counts.not_run,
        counts.unknown,
        counts.without_outcome,
        counts.feeds,
        counts.reopened,
        counts.notifications,
        counts.kills,
        counts.freezes,
        count(godwitreel::reason::Reason::HomeGained),
        count(godwitreel::reason::Reason::FeedMoved),
    );
    let reasons = counts.reasons.iter();
    let unknowns = reasons.filter(|(reason, _)| reason.code().starts_with("unknown"));
    let unknowns: Vec<String> = unknowns
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    println!("    {}", unknowns.join(", "));
}

/// Simulations that run in parallel.
const THREAD_COUNT: u64 = 3;

fn check_seeds(seeds: std::ops::Range<u64>) {
    let selected = std::env::var("HISTORY_SEED").ok();
    let selected: Option<u64> = selected.and_then(|seed| seed.parse().ok());
    let seeds: Vec<u64> = seeds
        .filter(|seed| selected.is_none_or(|selected| selected == *seed))
        .collect();
    let run_share = |thread: u64| {
        let assigned = seeds.iter().filter(|seed| **seed % THREAD_COUNT == thread);
        let checked = assigned.map(|seed| {
            let mut fleet = run_with_faults(*seed);
            let violations = check_invariants(&mut fleet);
            (*seed, fleet.counts, violations)
        });
        checked.collect::<Vec<_>>()
    };
    let mut results: Vec<(u64, Counts, Vec<String>)> = std::thread::scope(|scope| {
        let run_share = &run_share;
        let threads: Vec<_> = (0..THREAD_COUNT)
            .map(|thread| scope.spawn(move || run_share(thread)))
            .collect();
        let joined = threads.into_iter().map(|t| t.join().expect("no panic"));
        joined.flatten().collect()
    });
    results.sort_by_key(|(seed, ..)| *seed);
    let mut failed_seeds = 0;
    for (seed, counts, violations) in &results {
        print_counts(*seed, counts);
        failed_seeds += usize::from(!violations.is_empty());
        for text in violations.iter().take(8) {
            println!("    {text}");
        }
        if violations.len() > 8 {
            println!("    and {} more", violations.len() - 8);
        }
    }
    assert_eq!(
        failed_seeds,
        0,
        "number of failed seeds of {}",
        results.len()
    );
}

/// Planned changes are invisible to callers. Instances leave and return and servers
/// drain, one after the other. Every request is answered, and no feed pauses for
/// longer than it takes to register it again.
#[test]
fn planned_changes_are_not_seen() {
    const LONGEST_GAP: Duration = Duration::from_secs(4);
    for seed in 100..104 {
        let mut fleet = run_planned(seed);
        let violations = check_invariants(&mut fleet);
        print_counts(seed, &fleet.counts);
        let longest = fleet
            .subscriptions
            .iter()
            .map(|subscription| subscription.longest_gap)
            .max();
        println!("    longest time between two notifications of a feed: {longest:?}");
        assert_eq!(violations, Vec::<String>::new());
        assert_eq!(fleet.counts.reopened, 0);
        assert!(longest.is_some_and(|longest| longest < LONGEST_GAP));
        for tracked in &fleet.tracked_requests {
            let is_answered = matches!(
                tracked.received_outcomes.first(),
                Some(Outcome::Answered(_))
            );
            let is_due = tracked.sent_at + secs(14) < END;
            assert!(
                is_answered || !is_due,
                "{:?} {:?} {:?}",
                tracked.flow,
                tracked.sent_at,
                tracked.received_outcomes
            );
        }
    }
}

fn run_planned(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, 5 + (seed % 4) as usize, 1 + (seed % 2) as u8);
    fleet.loss_rate = 0.0;
    fleet.run_until(FAULTS_BEGIN);
    for number in 0..SUBSCRIPTION_COUNT {
        let service = SERVICES[usize::from(number % 2)];
        fleet.open_subscription(lab::flow(service, 9_000 + number));
    }
    let mut next_change = secs(12);
    let mut change_count = 0;
    while fleet.now < END {
        let now = fleet.now;
        if now >= next_change && now < FAULTS_END {
            next_change = now + secs(9);
            let server = change_count % fleet.backends.len();
            for other in 0..fleet.backends.len() {
                fleet.drain(other, other == server);
            }
            let node = change_count % fleet.nodes.len();
            fleet.nodes[node].leaving_since = Some(now);
            change_count += 1;
        }
        if now + secs(14) < END {
            send_random_request(&mut fleet);
        }
        fleet.run_until(now + REQUEST_INTERVAL);
    }
    fleet
}

/// A non-idempotent request is started at most once and no caller gets a wrong
/// outcome, while instances are killed, frozen and cut off in random order and the
/// platform has outages and loses answers. After the last fault the fleet recovers
/// within the documented time.
#[test]
fn promises_hold_over_histories_of_faults() {
    check_seeds(
        0..std::env::var("SEEDS")
            .ok()
            .and_then(|s| s.parse().ok())
            .unwrap_or(24),
    );
}
