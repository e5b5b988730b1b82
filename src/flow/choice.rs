//! Selection of a backend server for a new flow.

use rand::RngExt;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::flow::directory::Directory;
use crate::flow::load::speed::Mean;
use crate::flow::record::Record;
use crate::flow::record::ServerHandle;
use crate::id;

/// Weight of an open flow relative to a request in progress.
///
/// A caller that keeps its flow open sends about one request per second, which occupies
/// a slot for 15 to 55 ms. Ten open flows therefore keep a server as busy as one more
/// request during half of the time.
const FLOW_WEIGHT: f64 = 0.05;

/// Speed of a cold server relative to a warm one until it is learned; known servers take 1.6
/// times as long per request while they are cold.
const COLD_SPEED: f64 = 0.6;

/// Number of eligible servers that are compared for one flow.
///
/// Load pattern: servers are replaced one by one under load, and dozens of instances
/// select the least loaded server, each knowing its own requests only. If all instances
/// compared all servers, all would select the newest one at once and fill its queue. With
/// a small random sample, the instances select different servers.
const SAMPLE_SIZE: usize = 8;

/// Number of owned servers that are compared for one flow. An instance owns two to seven of
/// thirty servers before 23 or 9 instances; the limit bounds the time of a decision in a
/// zone of a few instances and hundreds of servers.
const MAX_OWNED: usize = 32;

/// The selected server and the size of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) handle: ServerHandle,
    /// Number of servers that were compared.
    pub(crate) candidates: usize,
}

/// Whether a service has servers in evacuated zones that would accept new flows.
pub(crate) fn is_evacuated(directory: &Directory, service: &id::Service) -> bool {
    let Some(pool) = directory.pool_of(service) else {
        return false;
    };
    let servers = pool.local.iter().chain(&pool.remote);
    let records = servers.filter_map(|handle| directory.get(*handle));
    records
        .filter(|record| record.is_evacuated)
        .any(|record| record.accepts_by_last_entry() || directory.accepts_while_missing(record))
}

/// Whether a service has servers that will accept new flows shortly: they are cold, and
/// this instance has used up its quota of new flows for them.
pub(crate) fn is_quota_exhausted(
    directory: &Directory,
    service: &id::Service,
    now: Instant,
) -> bool {
    let Some(pool) = directory.pool_of(service) else {
        return false;
    };
    let servers = pool.local.iter().chain(&pool.remote);
    let records = servers.filter_map(|handle| directory.get(*handle));
    records
        .filter(|record| !record.is_evacuated && directory.is_quota_exhausted(record, now))
        .any(|record| record.accepts_by_last_entry() || directory.accepts_while_missing(record))
}

/// Inputs of the selection other than the directory.
pub(crate) struct Criteria<'a> {
    pub(crate) service: &'a id::Service,
    /// Servers that have received the SYN already.
    pub(crate) tried: &'a [ServerHandle],
    /// The only zones whose servers are considered; `None` for all.
    pub(crate) zones: Option<&'a [id::Zone]>,
    /// Load per slot by which a server of another zone must be less loaded.
    pub(crate) spill: f64,
    /// Instances that share this zone's callers, including this one.
    pub(crate) zone_instances: usize,
    pub(crate) now: Instant,
}

/// Selects the server with the lowest load relative to its size from a random sample,
/// preferring this zone.
///
/// Falls back in this order, so that false evidence never leaves a service without
/// servers:
///
/// 1. Servers that are not suspected.
/// 2. Suspected servers.
/// 3. Servers whose entry has just lapsed, as happens when the store loses all
///    leases in an outage.
/// 4. Servers whose entry another writer has overwritten.
///
/// Servers in evacuated zones are never selected, and cold servers only within this
/// instance's quota.
pub(crate) fn choose(
    directory: &Directory,
    criteria: &Criteria<'_>,
    random: &mut SmallRng,
) -> Option<Choice> {
    let now = criteria.now;
    let accepts_flows =
        |record: &Record| record.accepts_flows() && directory.has_expected_incarnation(record);
    let is_trusted = |record: &Record| accepts_flows(record) && !record.liveness.is_suspected(now);
    least_loaded(directory, criteria, random, is_trusted)
        .or_else(|| least_loaded(directory, criteria, random, accepts_flows))
        .or_else(|| {
            least_loaded(directory, criteria, random, |r| {
                directory.accepts_while_missing(r)
            })
        })
        .or_else(|| least_loaded(directory, criteria, random, |r| r.accepts_by_last_entry()))
}

fn least_loaded(
    directory: &Directory,
    criteria: &Criteria<'_>,
    random: &mut SmallRng,
    is_candidate: impl Fn(&Record) -> bool,
) -> Option<Choice> {
    let pool = directory.pool_of(criteria.service)?;
    let mut selection = Selection {
        directory,
        criteria,
        service: &pool.recent,
        candidates: 0,
        best: None,
    };
    selection.compare_owned(&pool.owned, random, &is_candidate);
    selection.compare(&pool.local, 0.0, random, &is_candidate);
    // No server of another zone can have a load below the margin, so that most flows
    // need no comparison with other zones.
    if selection.best.is_none_or(|(load, _)| load > criteria.spill) {
        selection.compare(&pool.remote, criteria.spill, random, &is_candidate);
    }
    let candidates = selection.candidates;
    selection
        .best
        .map(|(_, handle)| Choice { handle, candidates })
}

/// State of the search for the least loaded server.
struct Selection<'a> {
    directory: &'a Directory,
    criteria: &'a Criteria<'a>,
    /// Recent response times of the service.
    service: &'a Mean,
    candidates: usize,
    best: Option<(f64, ServerHandle)>,
}

impl Selection<'_> {
    fn compare(
        &mut self,
        handles: &[ServerHandle],
        margin: f64,
        random: &mut SmallRng,
        is_candidate: impl Fn(&Record) -> bool,
    ) {
        let is_sampled = |record: &Record| !record.affinity.is_owned() && is_candidate(record);
        self.compare_sample(handles, margin, SAMPLE_SIZE, random, is_sampled);
    }

    /// Compares the servers that this instance owns. Draws no random number if there are none.
    fn compare_owned(
        &mut self,
        handles: &[ServerHandle],
        random: &mut SmallRng,
        is_candidate: impl Fn(&Record) -> bool,
    ) {
        self.compare_sample(handles, 0.0, MAX_OWNED, random, is_candidate);
    }

    fn compare_sample(
        &mut self,
        handles: &[ServerHandle],
        margin: f64,
        size: usize,
        random: &mut SmallRng,
        is_candidate: impl Fn(&Record) -> bool,
    ) {
        if handles.is_empty() {
            return;
        }
        let mut sampled = 0;
        for index in permutation(handles.len(), random) {
            let handle = &handles[index];
            let Some(record) = self.directory.get(*handle) else {
                continue;
            };
            let is_excluded = record.is_evacuated || self.criteria.tried.contains(handle);
            let zones = self.criteria.zones;
            let is_in_zone = zones.is_none_or(|zones| zones.contains(&record.server.zone));
            if is_excluded || !is_in_zone || !is_candidate(record) {
                continue;
            }
            if self.directory.is_quota_exhausted(record, self.criteria.now) {
                continue;
            }
            self.candidates += 1;
            let load = self.load(record) + margin;
            if self.best.is_none_or(|(least, _)| load < least) {
                self.best = Some((load, *handle));
            }
            sampled += 1;
            if sampled == size {
                return;
            }
        }
    }

    /// Expected requests per slot.
    ///
    /// An instance sees its own requests only. Routers spread callers evenly over a zone's
    /// instances, so that each of the others has about as many requests at the server.
    /// Without this factor, a zone of three instances that lost two of its five servers let
    /// their queues overflow before it used another zone's servers. Servers with owners get
    /// most requests from these.
    fn load(&self, record: &Record) -> f64 {
        let criteria = self.criteria;
        let own = f64::from(record.outstanding) + f64::from(record.flows) * FLOW_WEIGHT;
        let owners = self.directory.owners();
        // The owners' own counts are accurate only with the requests that follow a handshake
        // in progress.
        let openings = match owners.is_active() {
            true => f64::from(record.opening),
            false => 0.0,
        };
        let own = own + openings;
        let total = owners.total_load(own, record.affinity, criteria.zone_instances);
        let assumed_speed = match criteria.now < record.cold_until {
            true => COLD_SPEED,
            false => 1.0,
        };
        let learned_speed = self.directory.speed(record, self.service, criteria.now);
        let speed = learned_speed.unwrap_or(assumed_speed);
        let slots = f64::from(record.server.slots.max(1));
        total / (slots * speed) + record.penalty
    }
}

/// Yields all indexes below `count` once each in random order: it begins at a random index
/// and advances by a step that is coprime to `count`.
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
