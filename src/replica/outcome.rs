//! What the instances of a zone tell each other of servers, along the tree of
//! subscriptions: counts are added up on the way up, and the sum goes down.
//!
//! With 23 instances in a zone each sends a server less than one request a second.
//! A server that hangs or fails takes a request from each of them before each
//! knows; together they know after two or three.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use prost::Message;
use tokio::time::Instant;

use crate::replica::tree::FAN_OUT;

/// Time between two messages while there is something to tell. What one instance
/// saw is known to all after two steps up and two down, within a second.
pub(crate) const OUTCOME_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Age at which what somebody told is forgotten: five messages missed.
const MOST_AGE: Duration = Duration::from_secs(1);

/// Servers in one message. At 30 bytes each and five messages a second to sixteen
/// subscribers this is 40 KB a second, and only while servers fail.
pub(crate) const MOST_REMARKS: usize = 16;

/// What one instance's counts are worth at most, so that one that is confused or
/// lies moves the others little.
const MOST_ANSWERS: f32 = 64.0;
const MOST_HOLLOW: f32 = 4.0;
const MOST_STALLS: f32 = 2.0;

/// Instances that a subscriber may speak for: itself and those below it.
const MOST_INSTANCES: u32 = 1 + FAN_OUT as u32;

/// Ends of requests at one server, counted by one or several instances.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct OutcomeEntry {
    /// What datagrams to the server are named with.
    #[prost(fixed64, tag = "1")]
    pub serial: u64,
    /// The server's life; none when it does not tell.
    #[prost(uint64, optional, tag = "2")]
    pub incarnation: Option<u64>,
    /// Requests that were answered.
    #[prost(float, tag = "3")]
    pub answers: f32,
    /// Those of them that ended too soon with too little.
    #[prost(float, tag = "4")]
    pub premature: f32,
    /// Requests open for too long.
    #[prost(float, tag = "5")]
    pub stalls: f32,
    /// What the one instance counted that says most against the server: answers that
    /// ended too soon.
    #[prost(float, tag = "6")]
    pub worst_instance_premature: f32,
    /// The same: requests open for too long.
    #[prost(float, tag = "7")]
    pub worst_instance_stalls: f32,
}

/// What a subscriber tells the instance above it.
#[derive(Clone, PartialEq, Message)]
pub struct OutcomeReport {
    /// One for each server that something speaks against.
    #[prost(message, repeated, tag = "1")]
    pub outcomes: Vec<OutcomeEntry>,
    /// Instances that counted, the subscriber included.
    #[prost(uint32, tag = "2")]
    pub instances: u32,
}

type Key = (u64, Option<u64>);

impl OutcomeEntry {
    fn key(&self) -> Key {
        (self.serial, self.incarnation)
    }

    /// Limits what so many instances can have counted; rubbish counts nothing.
    ///
    /// Of whoever speaks for itself alone, all that it says is said by one.
    fn limited(self, instances: u32) -> Self {
        let limit = |count: f32, most: f32| {
            let most = most * instances as f32;
            if count.is_finite() {
                count.clamp(0.0, most)
            } else {
                0.0
            }
        };
        let (hollow, stalls) = (
            limit(self.premature, MOST_HOLLOW),
            limit(self.stalls, MOST_STALLS),
        );
        let is_alone = instances == 1;
        let loudest = |told: f32, all: f32| if is_alone { all } else { told.clamp(0.0, all) };
        Self {
            answers: limit(self.answers, MOST_ANSWERS),
            premature: hollow,
            stalls,
            worst_instance_premature: loudest(self.worst_instance_premature, hollow),
            worst_instance_stalls: loudest(self.worst_instance_stalls, stalls),
            ..self
        }
    }

    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.premature += other.premature;
        self.stalls += other.stalls;
        if other.loudness() > self.loudness() {
            self.worst_instance_premature = other.worst_instance_premature;
            self.worst_instance_stalls = other.worst_instance_stalls;
        }
    }

    fn loudness(&self) -> f32 {
        self.worst_instance_premature + self.worst_instance_stalls
    }

    /// What more than one instance says: the word of the loudest counts as much as all
    /// others say together.
    ///
    /// Where each instance sends a server a request a second or less, nobody has much to
    /// say for it. One that lies, or that alone is cut off from the server, took all of
    /// its work: 7 requests of 1,050 were left to a server that answered each of them. Whoever
    /// has seen it fail itself goes by that; the others wait for a second one.
    fn confirmed(self) -> Self {
        let confirmed = |all: f32, loudest: f32| {
            let others = (all - loudest).max(0.0);
            others + others.min(loudest)
        };
        Self {
            premature: confirmed(self.premature, self.worst_instance_premature),
            stalls: confirmed(self.stalls, self.worst_instance_stalls),
            ..self
        }
    }

    fn weight(&self) -> f32 {
        self.premature + self.stalls
    }
}

/// What was told, and when.
#[derive(Debug)]
struct Told {
    at: Instant,
    remarks: OutcomeReport,
}

impl Told {
    fn is_fresh(&self, now: Instant) -> bool {
        now < self.at + MOST_AGE
    }
}

#[derive(Debug, Default)]
struct Sides {
    own: Vec<OutcomeEntry>,
    below: HashMap<u64, Told>,
    above: Option<Told>,
    next_subscriber: u64,
}

/// What is known from this instance, from those below and from above.
///
/// Its lock is a leaf.
#[derive(Debug, Default)]
pub struct OutcomeAggregator {
    sides: Mutex<Sides>,
}

impl OutcomeAggregator {
    fn lock(&self) -> MutexGuard<'_, Sides> {
        self.sides.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what this instance counted, the worst first.
    pub fn set_local(&self, own: Vec<OutcomeEntry>) {
        self.lock().own = own;
    }

    /// A number for a subscriber, under which it is heard.
    pub fn add_subscriber(&self) -> u64 {
        let mut sides = self.lock();
        sides.next_subscriber += 1;
        sides.next_subscriber
    }

    /// Takes in what a subscriber tells.
    pub fn receive_from_subscriber(&self, now: Instant, subscriber: u64, remarks: OutcomeReport) {
        let told = Told { at: now, remarks };
        self.lock().below.insert(subscriber, told);
    }

    /// Forgets a subscriber that has left.
    pub fn remove_subscriber(&self, subscriber: u64) {
        self.lock().below.remove(&subscriber);
    }

    /// Takes in what the instance above tells.
    pub fn receive_from_upstream(&self, now: Instant, remarks: Vec<OutcomeEntry>) {
        let remarks = OutcomeReport {
            outcomes: remarks,
            instances: MOST_INSTANCES,
        };
        self.lock().above = Some(Told { at: now, remarks });
    }

    /// What to tell the instance above: this instance's counts and those below.
    pub fn report_for_upstream(&self, now: Instant) -> OutcomeReport {
        let sides = self.lock();
        let mut sums: BTreeMap<Key, OutcomeEntry> = BTreeMap::new();
        let mut add = |remark: OutcomeEntry| {
            let sum = sums.entry(remark.key()).or_insert(OutcomeEntry {
                serial: remark.serial,
                incarnation: remark.incarnation,
                ..OutcomeEntry::default()
            });
            sum.add(&remark);
        };
        for remark in &sides.own {
            add(remark.limited(1));
        }
        let mut instances = 1;
        let fresh = sides.below.values().filter(|told| told.is_fresh(now));
        for told in fresh {
            let count = told.remarks.instances.clamp(1, MOST_INSTANCES);
            instances += count;
            // One that names a server many times counts once.
            let remarks = told.remarks.outcomes.iter().take(MOST_REMARKS);
            let remarks: BTreeMap<Key, &OutcomeEntry> = remarks.map(|r| (r.key(), r)).collect();
            for remark in remarks.values() {
                add(remark.limited(count));
            }
        }
        let mut remarks: Vec<OutcomeEntry> = sums.into_values().collect();
        remarks.sort_by(|a, b| b.weight().total_cmp(&a.weight()));
        remarks.truncate(MOST_REMARKS);
        OutcomeReport {
            outcomes: remarks,
            instances,
        }
    }

    /// What the zone counted and more than one instance says.
    pub fn confirmed_outcomes(&self, now: Instant) -> Vec<OutcomeEntry> {
        let zone = self.zone_outcomes(now).into_iter();
        zone.map(OutcomeEntry::confirmed).collect()
    }

    /// What the zone counted, as far as it is known here: what is told from above,
    /// or the sum of this instance and those below where nobody is above.
    pub fn zone_outcomes(&self, now: Instant) -> Vec<OutcomeEntry> {
        let sides = self.lock();
        let above = sides.above.as_ref().filter(|told| told.is_fresh(now));
        if let Some(told) = above {
            let remarks = told.remarks.outcomes.iter().take(MOST_REMARKS);
            return remarks.map(|r| r.limited(MOST_INSTANCES)).collect();
        }
        drop(sides);
        self.report_for_upstream(now).outcomes
    }
}
