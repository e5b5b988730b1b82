//! Choice of a backend server for a new flow.

use rand::RngExt;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::flow::directory::Directory;
use crate::flow::directory::Record;
use crate::flow::directory::Slot;
use crate::id;

/// Weight of an open flow against a request in progress.
///
/// A caller that keeps its flow open sends about one request a second, which
/// occupies a slot for 15 to 55 ms; with ten flows a server is as busy as with
/// one more request half of the time.
const FLOW_WEIGHT: f64 = 0.05;

/// Part of its usual rate that a server gives while it is cold; servers known
/// take 1.6 times as long then.
const COLD_RATE: f64 = 0.6;

/// Requests a slot that a server seems to have more when all requests end badly
/// there; a share counts in proportion.
///
/// Load pattern: one server in ten answers errors at once, or hangs. Without this
/// the first is always least loaded and draws work in, and the second gets a
/// further request each time that a caller gives up. More than the margin of other
/// zones, so that those are used before servers that fail.
const BAD_PENALTY: f64 = 4.0;

/// Share of bad ends that is no cause to avoid a server. Queues that fill for a moment
/// make some requests look stalled; if each of them moved work away, all instances
/// of a zone would move together from one server to the next.
const TOLERATED_SHARE: f64 = 0.35;

/// Servers that are compared for one flow, of those that may take it.
///
/// Load pattern: servers are replaced one after the other under load, and dozens of
/// instances look for the least loaded one, each knowing its own requests only. If
/// all compare all, all find the newest server at once, and its queue fills. Of a few
/// drawn at random each finds another one.
const SAMPLE: usize = 8;

/// How a chosen server stood against the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) slot: Slot,
    /// Servers that were weighed.
    pub(crate) candidates: usize,
}

/// Whether a service has servers that take new flows, but only in evacuated zones.
pub(crate) fn is_evacuated(directory: &Directory, service: &id::Service) -> bool {
    let Some(pool) = directory.of_service(service) else {
        return false;
    };
    let servers = pool.home.iter().chain(&pool.away);
    let records = servers.filter_map(|slot| directory.get(*slot));
    records
        .filter(|record| record.is_evacuated)
        .any(|record| record.may_open() || directory.may_return(record))
}

/// Whether a service has servers that take new flows in a moment: they are cold and
/// have had this instance's share.
pub(crate) fn is_spent(directory: &Directory, service: &id::Service, now: Instant) -> bool {
    let Some(pool) = directory.of_service(service) else {
        return false;
    };
    let servers = pool.home.iter().chain(&pool.away);
    let records = servers.filter_map(|slot| directory.get(*slot));
    records
        .filter(|record| !record.is_evacuated && record.is_spent(now))
        .any(|record| record.may_open() || directory.may_return(record))
}

/// What the choice depends on beside the directory.
pub(crate) struct Question<'a> {
    pub(crate) service: &'a id::Service,
    /// Servers that have had the opening packet already.
    pub(crate) tried: &'a [Slot],
    /// Requests a slot by which a server of another zone must be less loaded.
    pub(crate) spill: f64,
    /// Instances that share this zone's callers, this one included.
    pub(crate) neighbours: usize,
    pub(crate) now: Instant,
}

/// Picks the server with the least load for its size of a few, this zone's first.
///
/// Servers that are silent are used only when all are, so that wrong evidence
/// never leaves a service without servers; servers whose entry has just lapsed
/// only when none is listed, which is how a store looks that lost all leases
/// in an outage; and servers whose entries somebody has overwritten last of all.
/// Servers of evacuated zones are not used, whatever else there is, nor are cold ones
/// beyond what they bear.
pub(crate) fn choose(
    directory: &Directory,
    question: &Question<'_>,
    random: &mut SmallRng,
) -> Option<Choice> {
    let now = question.now;
    let is_open = |record: &Record| record.is_open() && directory.is_complete(record);
    let is_trusted = |record: &Record| is_open(record) && !record.liveness.is_suspected(now);
    least_loaded(directory, question, random, is_trusted)
        .or_else(|| least_loaded(directory, question, random, is_open))
        .or_else(|| least_loaded(directory, question, random, |r| directory.may_return(r)))
        .or_else(|| least_loaded(directory, question, random, |r| r.may_open()))
}

fn least_loaded(
    directory: &Directory,
    question: &Question<'_>,
    random: &mut SmallRng,
    is_candidate: impl Fn(&Record) -> bool,
) -> Option<Choice> {
    let pool = directory.of_service(question.service)?;
    let mut search = Search {
        directory,
        question,
        candidates: 0,
        best: None,
    };
    search.look(&pool.home, 0.0, random, &is_candidate);
    // No server of another zone can be better than its margin, so that most
    // flows need no look at the others.
    if search.best.is_none_or(|(load, _)| load > question.spill) {
        search.look(&pool.away, question.spill, random, &is_candidate);
    }
    let candidates = search.candidates;
    search.best.map(|(_, slot)| Choice { slot, candidates })
}

/// A search for the server with the least load.
struct Search<'a> {
    directory: &'a Directory,
    question: &'a Question<'a>,
    candidates: usize,
    best: Option<(f64, Slot)>,
}

impl Search<'_> {
    fn look(
        &mut self,
        slots: &[Slot],
        margin: f64,
        random: &mut SmallRng,
        is_candidate: impl Fn(&Record) -> bool,
    ) {
        if slots.is_empty() {
            return;
        }
        let mut sampled = 0;
        for place in permutation(slots.len(), random) {
            let slot = &slots[place];
            let Some(record) = self.directory.get(*slot) else {
                continue;
            };
            let is_barred = record.is_evacuated || record.is_spent(self.question.now);
            if is_barred || self.question.tried.contains(slot) || !is_candidate(record) {
                continue;
            }
            self.candidates += 1;
            let load = load(record, self.question) + margin;
            if self.best.is_none_or(|(least, _)| load < least) {
                self.best = Some((load, *slot));
            }
            sampled += 1;
            if sampled == SAMPLE {
                return;
            }
        }
    }
}

/// All places below a count, each once, in an order that is drawn at random: from a
/// start on, in steps that meet no place twice.
fn permutation(count: usize, random: &mut SmallRng) -> impl Iterator<Item = usize> {
    let start = random.random_range(0..count);
    let step = loop {
        let step = random.random_range(1..=count);
        if gcd(step, count) == 1 {
            break step;
        }
    };
    (0..count).map(move |number| (start + number * step) % count)
}

fn gcd(a: usize, b: usize) -> usize {
    match b {
        0 => a,
        _ => gcd(b, a % b),
    }
}

/// Expected requests a slot.
///
/// An instance sees its own requests only. Routers spread callers evenly over a
/// zone's instances, so that each of the others has about as many there; without
/// this a zone of three instances that lost two of its five servers let their
/// queues overflow before it used another zone's.
fn load(record: &Record, question: &Question<'_>) -> f64 {
    let mine = f64::from(record.outstanding) + f64::from(record.flows) * FLOW_WEIGHT;
    let all = mine * question.neighbours as f64 + 1.0;
    let rate = if question.now < record.cold_until {
        COLD_RATE
    } else {
        1.0
    };
    let slots = f64::from(record.server.slots.max(1));
    all / (slots * rate) + record.penalty
}

/// What a share of bad ends adds to a server's load.
pub(crate) fn penalty(bad_share: f64) -> f64 {
    let excess = (bad_share - TOLERATED_SHARE).max(0.0);
    BAD_PENALTY * excess / (1.0 - TOLERATED_SHARE)
}
