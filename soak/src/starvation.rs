//! Checks that each priority of a service is served while its servers respond, and that
//! all are served again after an overload.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use godwitreel::flow::Priority;

/// Longest time in which all requests of a priority may fail while servers respond.
pub const LIMIT: Duration = Duration::from_secs(2);

/// Allowance for tasks of this process that run late on a busy machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(300);

/// Longest time between two responses of the service for which its servers count as
/// responding. They respond some hundred times a second in a burst.
const MAX_RESPONSE_GAP: Duration = Duration::from_millis(500);

/// Failed requests in a row that count as starvation. With fewer of them, all may have been
/// sent to an instance that has just been killed.
const MIN_FAILURES: u32 = 20;

/// Smallest share of the requests of a priority that must be served after an overload, in
/// percent. A short run has about 30 of them in the checked window, so that it allows one
/// late response.
const MIN_SERVED_PERCENT: u32 = 95;

/// Finished requests of a priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were served.
    pub served: u32,
    /// Requests that were not served.
    pub failed: u32,
}

impl Counts {
    fn is_recovered(&self) -> bool {
        let total = self.served + self.failed;
        self.served > 0 && self.served * 100 >= total * MIN_SERVED_PERCENT
    }
}

/// Failures of a priority since its last served request.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    first_at: Option<Instant>,
    count: u32,
}

/// Requests of a service by priority.
#[derive(Debug, Default)]
pub struct Monitor {
    failures: BTreeMap<Priority, Failures>,
    /// Times at which requests finished, and whether they were served.
    finished: Vec<(Instant, Priority, bool)>,
    last_response: Option<Instant>,
    /// Start of the current series of responses without a long gap.
    responding_since: Option<Instant>,
}

impl Monitor {
    /// Adds a priority, whose requests are checked from now on.
    pub fn add(&mut self, priority: Priority) {
        self.failures.entry(priority).or_default();
    }

    /// Records a request that was served.
    pub fn served(&mut self, priority: Priority, now: Instant) {
        self.finished.push((now, priority, true));
        if !self.is_responding(now) {
            self.responding_since = Some(now);
        }
        self.last_response = Some(now);
        self.failures.insert(priority, Failures::default());
    }

    /// Records a request that was not served. Returns for how long its priority has got
    /// nothing, if that violates the guarantee.
    pub fn failed(&mut self, priority: Priority, now: Instant) -> Option<Duration> {
        self.finished.push((now, priority, false));
        let is_responding = self.is_responding(now);
        let failures = self.failures.entry(priority).or_default();
        failures.count += 1;
        let first_at = *failures.first_at.get_or_insert(now);
        let since = first_at.max(self.responding_since?);
        let starved_for = now - since;
        let is_starved = is_responding
            && failures.count >= MIN_FAILURES
            && starved_for > LIMIT + SCHEDULING_SLACK;
        if is_starved {
            // Reported once for each such time.
            *failures = Failures::default();
        }
        is_starved.then_some(starved_for)
    }

    fn is_responding(&self, now: Instant) -> bool {
        self.last_response
            .is_some_and(|at| now <= at + MAX_RESPONSE_GAP)
    }

    /// Counts of all priorities since a time.
    pub fn counts(&self, since: Instant) -> BTreeMap<Priority, Counts> {
        let known = self.failures.keys();
        let mut all: BTreeMap<_, _> = known.map(|p| (*p, Counts::default())).collect();
        for (at, priority, is_served) in &self.finished {
            if *at < since {
                continue;
            }
            let counts = all.entry(*priority).or_default();
            match is_served {
                true => counts.served += 1,
                false => counts.failed += 1,
            }
        }
        all
    }

    /// Priorities that have not been served as before an overload since a time.
    pub fn unrecovered(&self, since: Instant) -> Vec<(Priority, Counts)> {
        let counts = self.counts(since).into_iter();
        counts
            .filter(|(_, counts)| !counts.is_recovered())
            .collect()
    }
}
