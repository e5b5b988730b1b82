//! Output of the demo: timestamped lines and summary tables.

use std::fmt;

use comfy_table::Table;
use standin::caller::Outcome;
use tokio::time::Instant;

use crate::deployment::ServerCounts;
use crate::driver::Booking;
use crate::driver::DriverReport;

/// Prints lines with the time since the start.
pub(crate) struct Printer {
    start: Instant,
}

impl Printer {
    /// Creates a printer whose time starts now.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Prints a line.
    pub(crate) fn print(&self, line: impl fmt::Display) {
        println!("{:6.2} s  {line}", self.start.elapsed().as_secs_f64());
    }
}

/// Bookings by their outcome.
#[derive(Default)]
struct OutcomeCounts {
    answered: usize,
    not_run: usize,
    unknown: usize,
    silent: usize,
}

impl OutcomeCounts {
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

/// Prints the table of the drivers.
pub(crate) fn drivers(reports: &[DriverReport]) {
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
    for report in reports {
        let outcomes = OutcomeCounts::count(&report.bookings);
        let feed = &report.feed;
        table.add_row([
            report.name.to_owned(),
            outcomes.answered.to_string(),
            outcomes.not_run.to_string(),
            outcomes.unknown.to_string(),
            outcomes.silent.to_string(),
            feed.notifications.to_string(),
            feed.missed.to_string(),
            feed.moves.to_string(),
            feed.gaps.to_string(),
            format!("{} ms", feed.longest_wait.as_millis()),
        ]);
    }
    println!("{table}");
}

/// Prints the table of the backend servers.
pub(crate) fn servers(counts: &[ServerCounts]) {
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
