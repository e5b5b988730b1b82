//! Histories of thousands of requests under seeded faults and virtual time, and
//! what must hold over each of them.

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
use crate::fleet::Figures;
use crate::fleet::Fleet;
use crate::fleet::PARK_TIME;
use crate::fleet::SERVICES;
use crate::lab::secs;

/// When the fleet has settled and faults begin.
const CALM: Duration = Duration::from_secs(8);

/// When the last fault is undone.
const HEALED: Duration = Duration::from_secs(90);

/// Stated time after healing within which everything works as before.
const RECOVERY: Duration = Duration::from_secs(45);

/// End of a run.
const END: Duration = Duration::from_secs(155);

/// Time between two requests.
const PACE: Duration = Duration::from_millis(50);

const BOARDS: u16 = 24;

/// Tick and message delays on top of the deadline.
const SLACK: Duration = Duration::from_secs(1);

/// One whole history.
fn run(seed: u64) -> Fleet {
    let count = 3 + (seed % 7) as usize;
    let workers = 1 + (seed / 7 % 2) as u8;
    let mut fleet = Fleet::new(seed, count, workers);
    fleet.run_until(CALM);
    for board in 0..BOARDS {
        let service = SERVICES[usize::from(board % 2)];
        fleet.open_board(lab::flow(service, 9_000 + board));
    }
    let mut faults = Faults::new(seed);
    while fleet.now < END {
        let now = fleet.now;
        if now < HEALED {
            faults.step(&mut fleet);
        } else {
            faults.heal(&mut fleet);
        }
        if now + secs(14) < END {
            send_one(&mut fleet);
        }
        fleet.run_until(now + PACE);
    }
    fleet
}

fn send_one(fleet: &mut Fleet) {
    let caller = fleet.rng.random_range(0..400);
    let service = SERVICES[usize::from(caller % 4 == 0)];
    let kind = match fleet.rng.random_bool(0.7) {
        true => Kind::NonIdempotent,
        false => Kind::Idempotent,
    };
    fleet.send_new(lab::flow(service, 10_000 + caller), kind);
}

fn judge(fleet: &mut Fleet) -> Vec<String> {
    let mut broken = std::mem::take(&mut fleet.violations);
    judge_requests(fleet, &mut broken);
    judge_table(fleet, &mut broken);
    judge_feeds(fleet, &mut broken);
    broken
}

fn judge_requests(fleet: &mut Fleet, broken: &mut Vec<String>) {
    let patience = fleet.profile.deadline() + PARK_TIME + SLACK;
    let mut figures = std::mem::take(&mut fleet.figures);
    for (number, ticket) in fleet.tickets.iter().enumerate() {
        let once = ticket.kind == Kind::NonIdempotent;
        figures.requests += 1;
        figures.once += u64::from(once);
        if once && ticket.starts > 1 {
            broken.push(format!(
                "(a) request {number} sent at {:?} started {} times",
                ticket.sent, ticket.starts
            ));
        }
        let not_run =
            |(_, outcome): &(Duration, Outcome)| matches!(outcome, Outcome::NotRun { .. });
        if once && ticket.starts > 0 && ticket.given.iter().any(not_run) {
            broken.push(format!("(b) request {number} ran though told not run"));
        }
        match ticket.told.first() {
            Some(Outcome::Answered(_)) => figures.answered += 1,
            Some(Outcome::NotRun { .. }) => figures.not_run += 1,
            Some(Outcome::Unknown) => figures.unknown += 1,
            None => figures.untold += 1,
        }
        let first = ticket.given.first().map(|(at, _)| *at);
        let late = match (ticket.handled, first) {
            (Some(handled), Some(first)) => first > handled + patience,
            (Some(_), None) => true,
            _ => false,
        };
        if late && !ticket.excused {
            broken.push(format!(
                "(h) request {number} {:?} sent at {:?} handled {:?} got its outcome at {first:?}",
                ticket.kind, ticket.sent, ticket.handled
            ));
        }
        let calm = ticket.sent > HEALED + RECOVERY && ticket.sent + secs(14) < END;
        let answered = |outcome: &Outcome| matches!(outcome, Outcome::Answered(_));
        if calm && !ticket.excused && !ticket.told.iter().any(answered) {
            broken.push(format!(
                "(e) request {number} {:?} sent at {:?} after healing got {:?}",
                ticket.kind, ticket.sent, ticket.told
            ));
        }
    }
    fleet.figures = figures;
}

fn judge_table(fleet: &Fleet, broken: &mut Vec<String>) {
    let rows = fleet.platform_rows();
    let live = |holder: &godwitreel::id::Holder| {
        let mut nodes = fleet.nodes.iter();
        nodes.any(|node| node.is_up && node.holder == *holder)
    };
    for (slice, row) in rows.iter().enumerate() {
        let whole = row.home.as_ref().is_some_and(live)
            && row.backup.as_ref().is_some_and(live)
            && row.home != row.backup;
        if !whole {
            broken.push(format!("(e) slice {slice} ended as {row:?}"));
        }
    }
    for place in 0..fleet.nodes.len() {
        let table = fleet.node_table(place);
        for ((slice, row), stored) in table.rows().zip(&rows) {
            if row != stored {
                broken.push(format!("(e) node {place} has another row for {slice}"));
            }
        }
    }
}

fn judge_feeds(fleet: &mut Fleet, broken: &mut Vec<String>) {
    const ALIVE: Duration = Duration::from_secs(5);
    for board in &fleet.boards {
        fleet.figures.feeds += 1;
        fleet.figures.reopened += u64::from(board.reopened);
        if fleet.now > board.at + ALIVE {
            broken.push(format!(
                "(f) feed {} of {} was last alive at {:?}, sequence {}",
                board.number, board.flow, board.at, board.newest
            ));
        }
    }
}

fn print(seed: u64, figures: &Figures) {
    let count = |reason| figures.reasons.get(&reason).copied().unwrap_or(0);
    println!(
        "seed {seed}: requests {} once {} answered {} not_run {} unknown {} untold {} \
         feeds {} reopened {} notifications {} kills {} freezes {} homes_gained {} moved {}",
        figures.requests,
        figures.once,
        figures.answered,
        figures.not_run,
        figures.unknown,
        figures.untold,
        figures.feeds,
        figures.reopened,
        figures.notifications,
        figures.kills,
        figures.freezes,
        count(godwitreel::reason::Reason::HomeGained),
        count(godwitreel::reason::Reason::FeedMoved),
    );
    let reasons = figures.reasons.iter();
    let unknowns = reasons.filter(|(reason, _)| reason.code().starts_with("unknown"));
    let unknowns: Vec<String> = unknowns
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    println!("    {}", unknowns.join(", "));
}

/// Seeds run at a time.
const THREADS: u64 = 3;

fn check(seeds: std::ops::Range<u64>) {
    let wanted = std::env::var("HISTORY_SEED").ok();
    let wanted: Option<u64> = wanted.and_then(|seed| seed.parse().ok());
    let seeds: Vec<u64> = seeds
        .filter(|seed| wanted.is_none_or(|wanted| wanted == *seed))
        .collect();
    let share = |thread: u64| {
        let own = seeds.iter().filter(|seed| **seed % THREADS == thread);
        let judged = own.map(|seed| {
            let mut fleet = run(*seed);
            let broken = judge(&mut fleet);
            (*seed, fleet.figures, broken)
        });
        judged.collect::<Vec<_>>()
    };
    let mut results: Vec<(u64, Figures, Vec<String>)> = std::thread::scope(|scope| {
        let share = &share;
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || share(thread)))
            .collect();
        let joined = threads.into_iter().map(|t| t.join().expect("no panic"));
        joined.flatten().collect()
    });
    results.sort_by_key(|(seed, ..)| *seed);
    let mut broken_seeds = 0;
    for (seed, figures, broken) in &results {
        print(*seed, figures);
        broken_seeds += usize::from(!broken.is_empty());
        for text in broken.iter().take(8) {
            println!("    {text}");
        }
        if broken.len() > 8 {
            println!("    and {} more", broken.len() - 8);
        }
    }
    assert_eq!(broken_seeds, 0, "of {} seeds", results.len());
}

/// Callers see nothing of planned changes: instances leave and return and servers
/// drain one after the other, and no request is lost, refused or unknown, and no
/// feed pauses for longer than it takes to register it again.
#[test]
fn planned_changes_are_not_seen() {
    const LONGEST_GAP: Duration = Duration::from_secs(4);
    for seed in 100..104 {
        let mut fleet = run_planned(seed);
        let broken = judge(&mut fleet);
        print(seed, &fleet.figures);
        let longest = fleet.boards.iter().map(|board| board.gap).max();
        println!("    longest pause of a feed {longest:?}");
        assert_eq!(broken, Vec::<String>::new());
        assert_eq!(fleet.figures.reopened, 0);
        assert!(longest.is_some_and(|longest| longest < LONGEST_GAP));
        for ticket in &fleet.tickets {
            let whole = matches!(ticket.told.first(), Some(Outcome::Answered(_)));
            let asked = ticket.sent + secs(14) < END;
            assert!(
                whole || !asked,
                "{:?} {:?} {:?}",
                ticket.flow,
                ticket.sent,
                ticket.told
            );
        }
    }
}

fn run_planned(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, 5 + (seed % 4) as usize, 1 + (seed % 2) as u8);
    fleet.loss = 0.0;
    fleet.run_until(CALM);
    for board in 0..BOARDS {
        let service = SERVICES[usize::from(board % 2)];
        fleet.open_board(lab::flow(service, 9_000 + board));
    }
    let mut next = secs(12);
    let mut leaving = 0;
    while fleet.now < END {
        let now = fleet.now;
        if now >= next && now < HEALED {
            next = now + secs(9);
            let server = leaving % fleet.backends.len();
            for other in 0..fleet.backends.len() {
                fleet.drain(other, other == server);
            }
            let node = leaving % fleet.nodes.len();
            fleet.nodes[node].leaving_since = Some(now);
            leaving += 1;
        }
        if now + secs(14) < END {
            send_one(&mut fleet);
        }
        fleet.run_until(now + PACE);
    }
    fleet
}

/// Callers see at most one start of each booking, and no untrue outcome, though
/// instances are killed, frozen and cut off in any order while the platform has
/// outages and loses answers; once all is well again, everything works again.
#[test]
fn promises_hold_over_histories_of_faults() {
    check(
        0..std::env::var("SEEDS")
            .ok()
            .and_then(|s| s.parse().ok())
            .unwrap_or(24),
    );
}
