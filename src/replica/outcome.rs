//! Counts of request outcomes per server, shared among the instances of a zone along
//! the subscription tree: counts are added up on the way up, and the sum is sent down.
//!
//! With 23 instances in a zone, each sends a server less than one request a second.
//! Alone, each of them would lose a request to a server that hangs or fails before it
//! notices. Together they notice after two or three requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use prost::Message;
use tokio::time::Instant;

use crate::replica::tree::FAN_OUT;

/// Time between two reports while there is something to report. An observation crosses
/// two levels up and two down, and so reaches all instances within a second.
pub(crate) const OUTCOME_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Age at which a report expires: five missed messages.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Maximum number of servers per message. At 30 bytes each and five messages a second
/// to 16 subscribers this is 40 KB/s, and only while servers fail.
pub(crate) const MAX_ENTRIES: usize = 16;

/// Limits on the counts of a single instance, so that one that reports wrong counts, by
/// fault or intent, has little effect on the others.
const MAX_ANSWERS: f32 = 64.0;
const MAX_PREMATURE: f32 = 4.0;
const MAX_STALLS: f32 = 2.0;

/// Maximum number of instances that a subscriber may report for: itself and those below
/// it.
const MAX_SUBTREE_INSTANCES: u32 = 1 + FAN_OUT as u32;

/// Outcomes of requests at one server, counted by one or several instances.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct OutcomeEntry {
    /// Serial number that identifies the server in datagrams.
    #[prost(fixed64, tag = "1")]
    pub serial: u64,
    /// The server's incarnation; `None` when the server does not report one.
    #[prost(uint64, optional, tag = "2")]
    pub incarnation: Option<u64>,
    /// Requests that were answered.
    #[prost(float, tag = "3")]
    pub answers: f32,
    /// Answered requests whose response ended too early, with too little data.
    #[prost(float, tag = "4")]
    pub premature: f32,
    /// Requests open for too long.
    #[prost(float, tag = "5")]
    pub stalls: f32,
    /// Responses that ended too early, as counted by the one instance that reports the
    /// most failures.
    #[prost(float, tag = "6")]
    pub worst_instance_premature: f32,
    /// Requests open for too long, as counted by that same instance.
    #[prost(float, tag = "7")]
    pub worst_instance_stalls: f32,
}

/// Report of request outcomes from a subscriber to its upstream.
#[derive(Clone, PartialEq, Message)]
pub struct OutcomeReport {
    /// One entry for each server with failures.
    #[prost(message, repeated, tag = "1")]
    pub outcomes: Vec<OutcomeEntry>,
    /// Number of instances that counted, including the subscriber.
    #[prost(uint32, tag = "2")]
    pub instances: u32,
}

type Key = (u64, Option<u64>);

impl OutcomeEntry {
    fn key(&self) -> Key {
        (self.serial, self.incarnation)
    }

    /// Limits the counts to what this many instances can have counted; invalid numbers
    /// count as zero.
    ///
    /// When a sender reports for itself alone, all of its failures come from a single
    /// instance.
    fn limited(self, instances: u32) -> Self {
        let limit = |count: f32, max: f32| {
            let max = max * instances as f32;
            if count.is_finite() {
                count.clamp(0.0, max)
            } else {
                0.0
            }
        };
        let (premature, stalls) = (
            limit(self.premature, MAX_PREMATURE),
            limit(self.stalls, MAX_STALLS),
        );
        let is_single = instances == 1;
        let worst = |reported: f32, all: f32| {
            if is_single {
                all
            } else {
                reported.clamp(0.0, all)
            }
        };
        Self {
            answers: limit(self.answers, MAX_ANSWERS),
            premature,
            stalls,
            worst_instance_premature: worst(self.worst_instance_premature, premature),
            worst_instance_stalls: worst(self.worst_instance_stalls, stalls),
            ..self
        }
    }

    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.premature += other.premature;
        self.stalls += other.stalls;
        if other.worst_instance_failures() > self.worst_instance_failures() {
            self.worst_instance_premature = other.worst_instance_premature;
            self.worst_instance_stalls = other.worst_instance_stalls;
        }
    }

    fn worst_instance_failures(&self) -> f32 {
        self.worst_instance_premature + self.worst_instance_stalls
    }

    /// Reduces the failures to those that more than one instance reports: the instance
    /// with the most failures weighs no more than all others together.
    ///
    /// Where each instance sends a server a request a second or less, there are few
    /// successes to outweigh a failure report. Without this limit, one instance that
    /// reports wrong counts, or that alone is cut off from the server, made the
    /// others avoid it: only 7 of 1,050 requests still went to a server that answered every
    /// one of them. An instance that has seen the server fail acts on its own counts; the
    /// others wait for a second report.
    fn confirmed(self) -> Self {
        let confirmed = |all: f32, worst: f32| {
            let others = (all - worst).max(0.0);
            others + others.min(worst)
        };
        Self {
            premature: confirmed(self.premature, self.worst_instance_premature),
            stalls: confirmed(self.stalls, self.worst_instance_stalls),
            ..self
        }
    }

    fn failures(&self) -> f32 {
        self.premature + self.stalls
    }
}

/// A report and the time of its arrival.
#[derive(Debug)]
struct ReceivedReport {
    at: Instant,
    report: OutcomeReport,
}

impl ReceivedReport {
    fn is_fresh(&self, now: Instant) -> bool {
        now < self.at + MAX_REPORT_AGE
    }
}

#[derive(Debug, Default)]
struct Counts {
    local: Vec<OutcomeEntry>,
    subscribers: HashMap<u64, ReceivedReport>,
    from_upstream: Option<ReceivedReport>,
    next_subscriber: u64,
}

/// Sums the counts of this instance, of its subscribers and of its upstream.
///
/// Leaf lock: no other lock is taken while it is held.
#[derive(Debug, Default)]
pub struct OutcomeAggregator {
    counts: Mutex<Counts>,
}

impl OutcomeAggregator {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the counts of this instance, those of the worst server first.
    pub fn set_local(&self, local: Vec<OutcomeEntry>) {
        self.lock().local = local;
    }

    /// Returns an id for a new subscriber, under which its reports are stored.
    pub fn add_subscriber(&self) -> u64 {
        let mut counts = self.lock();
        counts.next_subscriber += 1;
        counts.next_subscriber
    }

    /// Stores the report of a subscriber.
    pub fn receive_from_subscriber(&self, now: Instant, subscriber: u64, report: OutcomeReport) {
        let received = ReceivedReport { at: now, report };
        self.lock().subscribers.insert(subscriber, received);
    }

    /// Drops the report of a subscriber that has left.
    pub fn remove_subscriber(&self, subscriber: u64) {
        self.lock().subscribers.remove(&subscriber);
    }

    /// Stores the sum sent by the upstream.
    pub fn receive_from_upstream(&self, now: Instant, outcomes: Vec<OutcomeEntry>) {
        let report = OutcomeReport {
            outcomes,
            instances: MAX_SUBTREE_INSTANCES,
        };
        self.lock().from_upstream = Some(ReceivedReport { at: now, report });
    }

    /// The report for the upstream: the counts of this instance and of those below it.
    pub fn report_for_upstream(&self, now: Instant) -> OutcomeReport {
        let counts = self.lock();
        let mut sums: BTreeMap<Key, OutcomeEntry> = BTreeMap::new();
        let mut add = |entry: OutcomeEntry| {
            let sum = sums.entry(entry.key()).or_insert(OutcomeEntry {
                serial: entry.serial,
                incarnation: entry.incarnation,
                ..OutcomeEntry::default()
            });
            sum.add(&entry);
        };
        for entry in &counts.local {
            add(entry.limited(1));
        }
        let mut instances = 1;
        let fresh_reports = counts
            .subscribers
            .values()
            .filter(|received| received.is_fresh(now));
        for received in fresh_reports {
            let count = received.report.instances.clamp(1, MAX_SUBTREE_INSTANCES);
            instances += count;
            // A server that appears several times in one report counts once.
            let outcomes = received.report.outcomes.iter().take(MAX_ENTRIES);
            let outcomes: BTreeMap<Key, &OutcomeEntry> = outcomes.map(|r| (r.key(), r)).collect();
            for entry in outcomes.values() {
                add(entry.limited(count));
            }
        }
        let mut outcomes: Vec<OutcomeEntry> = sums.into_values().collect();
        outcomes.sort_by(|a, b| b.failures().total_cmp(&a.failures()));
        outcomes.truncate(MAX_ENTRIES);
        OutcomeReport {
            outcomes,
            instances,
        }
    }

    /// The zone's counts, with failures reduced to those that more than one instance
    /// reports.
    pub fn confirmed_outcomes(&self, now: Instant) -> Vec<OutcomeEntry> {
        let zone = self.zone_outcomes(now).into_iter();
        zone.map(OutcomeEntry::confirmed).collect()
    }

    /// The zone's counts as known here: the sum received from the upstream, or without an
    /// upstream the sum of this instance and those below it.
    pub fn zone_outcomes(&self, now: Instant) -> Vec<OutcomeEntry> {
        let counts = self.lock();
        let from_upstream = counts
            .from_upstream
            .as_ref()
            .filter(|received| received.is_fresh(now));
        if let Some(received) = from_upstream {
            let outcomes = received.report.outcomes.iter().take(MAX_ENTRIES);
            return outcomes.map(|r| r.limited(MAX_SUBTREE_INSTANCES)).collect();
        }
        drop(counts);
        self.report_for_upstream(now).outcomes
    }
}
