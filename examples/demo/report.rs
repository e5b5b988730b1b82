//! The demo's account: lines with times, and a summary.

use std::fmt;

use comfy_table::Table;
use standin::caller::Outcome;
use tokio::time::Instant;

use crate::deployment::Count;
use crate::driver::Booking;
use crate::driver::Tally;

/// Tells what happens, with the time since the start.
pub(crate) struct Teller {
    start: Instant,
}

impl Teller {
    /// A teller whose time begins now.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Tells one thing.
    pub(crate) fn say(&self, what: impl fmt::Display) {
        println!("{:6.2} s  {what}", self.start.elapsed().as_secs_f64());
    }
}

/// Bookings by their outcome.
#[derive(Default)]
struct Outcomes {
    answered: usize,
    not_run: usize,
    unknown: usize,
    silent: usize,
}

impl Outcomes {
    fn count(bookings: &[Booking]) -> Self {
        let mut outcomes = Self::default();
        for booking in bookings {
            match booking.outcome {
                Outcome::Answered { .. } => outcomes.answered += 1,
                Outcome::NotRun { .. } => outcomes.not_run += 1,
                Outcome::Unknown => outcomes.unknown += 1,
                Outcome::Silent => outcomes.silent += 1,
            }
        }
        outcomes
    }
}

/// Prints what the drivers saw.
pub(crate) fn drivers(tallies: &[Tally]) {
    let mut table = Table::new();
    table.set_header([
        "driver",
        "answered",
        "not run",
        "unknown",
        "silent",
        "notifications",
        "missed",
        "moves",
        "gaps over 1 s",
        "longest wait",
    ]);
    for tally in tallies {
        let outcomes = Outcomes::count(&tally.bookings);
        let feed = &tally.feed;
        table.add_row([
            tally.name.to_owned(),
            outcomes.answered.to_string(),
            outcomes.not_run.to_string(),
            outcomes.unknown.to_string(),
            outcomes.silent.to_string(),
            feed.notifications.to_string(),
            feed.missed.to_string(),
            feed.moves.to_string(),
            feed.gaps.to_string(),
            format!("{} ms", feed.longest.as_millis()),
        ]);
    }
    println!("{table}");
}

/// Prints what the backend servers counted.
pub(crate) fn servers(counts: &[Count]) {
    let mut table = Table::new();
    table.set_header([
        "server",
        "service",
        "bookings started",
        "most at once",
        "feeds",
    ]);
    for count in counts {
        table.add_row([
            count.name.clone(),
            count.service.to_owned(),
            count.started.to_string(),
            count.peak.to_string(),
            count.observers.to_string(),
        ]);
    }
    println!("{table}");
}
