//! Selection of a backend server for new work.
//!
//! Servers of the local zone are preferred; those of other zones are used when the
//! load of the local ones reaches the spill share. Measurements behind the weights and
//! the order of preference are in `docs/MEASUREMENTS.md`.

use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::document::Policy;
use crate::document::Profile;
use crate::id;
use crate::request::Flow;
use crate::server::Server;
use crate::server::State;
use crate::snapshot::Service;

/// Load, relative to the mean, from which bounded-load hashing skips a server.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// Share of the trusted servers that must be confirmed, in percent. Below it, trusted
/// servers that are not confirmed are used too.
const MIN_CONFIRMED_PERCENT: usize = 50;

/// How long after its confirmation expired a server counts as gone, so that a single
/// lost health response moves no feeds.
const GONE_AFTER: Duration = Duration::from_millis(1_500);

/// Smallest number of feeds above a server's limit for which feeds are moved.
const MIN_SURPLUS: f64 = 8.0;

/// A server with more feeds than the profile's balance weight allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Surplus {
    /// The server.
    pub server: id::Server,
    /// Share of the server's feeds that should move to other servers, from 0 to 1.
    pub share: f64,
}

/// Whether a server has died or was replaced, so that its feeds get no more notifications.
pub fn is_gone(service: &Service, server: &Server, now: Instant) -> bool {
    let confirmed = server.state().confirmed_until;
    let has_expired = confirmed.is_none_or(|until| now >= until + GONE_AFTER);
    has_expired && !accepts_pinned_work(service, server, now)
}

/// Servers that have so many feeds more than others that some should move.
///
/// With a balance weight of `w`, a server may exceed its fair share by `(100 - w) / w`
/// of that share: by a ninth at 90, by the share itself at 50, by nine times the share
/// at 10, and without limit at 0. Feeds above this limit are moved.
pub fn surplus(service: &Service, now: Instant) -> Vec<Surplus> {
    let profile = &service.profile;
    let weight = f64::from(profile.balance_weight);
    // Rendezvous hashing ignores load and would choose the same servers again.
    if profile.balance_weight == 0 || profile.policy == Policy::Rendezvous {
        return Vec::new();
    }
    let tolerance = (100.0 - weight) / weight;
    let use_trusted = may_use_trusted(service, now);
    let mut loads = Vec::new();
    for server in &service.servers {
        let state = server.state();
        if is_assumed_to_run_service(&state, use_trusted, now)
            && !state.is_closed_to_new_work()
            && !state.is_in_cooldown(now)
        {
            let capacity = f64::from(server.slots) * state.warmth(now, profile);
            loads.push((server, f64::from(state.feed_load()), capacity));
        }
    }
    let total: f64 = loads.iter().map(|(_, feeds, _)| feeds).sum();
    let total_capacity: f64 = loads.iter().map(|(_, _, capacity)| capacity).sum();
    let overloaded = loads.into_iter().filter_map(|(server, feeds, capacity)| {
        let limit = total / total_capacity * capacity * (1.0 + tolerance);
        let excess = feeds - limit;
        (excess >= MIN_SURPLUS).then(|| Surplus {
            server: server.id.clone(),
            share: excess / feeds,
        })
    });
    overloaded.collect()
}

/// Kind of work, by the resource that it occupies at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A slot for a short time.
    Request,
    /// A connection for a long time.
    Feed,
}

/// A server that could take the work, with its load relative to its capacity.
struct Candidate<'a> {
    server: &'a Arc<Server>,
    load: f64,
    is_local: bool,
}

/// Whether trusted servers may be used in addition to confirmed ones.
///
/// Without them, health endpoints that all fail at once would take the whole service
/// down. An address that another service took over usually loses its confirmation
/// alone and not together with most of the others, and it is no longer trusted once
/// its health response names the other service.
pub fn may_use_trusted(service: &Service, now: Instant) -> bool {
    let (mut trusted, mut confirmed) = (0, 0);
    for server in &service.servers {
        let state = server.state();
        if state.is_trusted(now) && !state.is_leaving() {
            trusted += 1;
            confirmed += usize::from(state.is_confirmed(now));
        }
    }
    confirmed * 100 < trusted * MIN_CONFIRMED_PERCENT
}

/// Whether the address is assumed to run the service: it is confirmed, or trusted
/// while trusted servers may be used.
fn is_assumed_to_run_service(state: &State, use_trusted: bool, now: Instant) -> bool {
    state.is_confirmed(now) || (use_trusted && state.is_trusted(now))
}

/// Whether work that only this server can handle may be sent to it.
pub fn accepts_pinned_work(service: &Service, server: &Server, now: Instant) -> bool {
    let use_trusted = may_use_trusted(service, now);
    is_assumed_to_run_service(&server.state(), use_trusted, now)
}

/// Chooses the server for new work; none if all are full or unavailable.
pub fn choose(
    service: &Service,
    flow: &Flow,
    work: WorkKind,
    zone: &id::Zone,
    tried: &[id::Server],
    now: Instant,
    rng: &mut SmallRng,
) -> Option<Arc<Server>> {
    let profile = &service.profile;
    let candidates = candidates(service, work, zone, tried, now);
    let pool = prefer_local(candidates, profile);
    let choice = match profile.policy {
        Policy::Rendezvous => rendezvous(&pool, flow, |_| true),
        Policy::BoundedLoad => bounded_load(&pool, flow),
        Policy::TwoChoices => two_choices(&pool, rng),
        Policy::LeastLoaded => least_loaded(&pool, rng),
    };
    choice.map(|index| Arc::clone(pool[index].server))
}

fn candidates<'a>(
    service: &'a Service,
    work: WorkKind,
    zone: &id::Zone,
    tried: &[id::Server],
    now: Instant,
) -> Vec<Candidate<'a>> {
    let profile = &service.profile;
    let use_trusted = may_use_trusted(service, now);
    let is_untried = |server: &&Arc<Server>| !tried.contains(&server.id);
    service
        .servers
        .iter()
        .filter(is_untried)
        .filter_map(|server| {
            let state = server.state();
            if !is_assumed_to_run_service(&state, use_trusted, now)
                || state.is_closed_to_new_work()
                || state.is_in_cooldown(now)
            {
                return None;
            }
            let load = relative_load(server, &state, work, now, profile)?;
            Some(Candidate {
                server,
                load,
                is_local: server.zone == *zone,
            })
        })
        .collect()
}

/// Load relative to the slots and the warmth, or none if the server has no capacity for
/// the work.
fn relative_load(
    server: &Server,
    state: &State,
    work: WorkKind,
    now: Instant,
    profile: &Profile,
) -> Option<f64> {
    let warmth = state.warmth(now, profile);
    let max_load = f64::from(server.slots) * f64::from(1 + profile.queue_per_slot);
    let has_capacity =
        work == WorkKind::Feed || f64::from(state.load()) < (max_load * warmth).max(1.0);
    let load = match work {
        // A request ends long before the next heartbeat. With the loads reported by the
        // peers, all instances would choose the server that was idle a second ago.
        WorkKind::Request => state.outstanding,
        WorkKind::Feed => state.feed_load(),
    };
    has_capacity.then(|| f64::from(load) / (f64::from(server.slots) * warmth))
}

/// Keeps only the local servers while their mean load is below the spill share.
fn prefer_local<'a>(mut pool: Vec<Candidate<'a>>, profile: &Profile) -> Vec<Candidate<'a>> {
    let local = pool.iter().filter(|candidate| candidate.is_local);
    let (count, load) = local.fold((0u32, 0.0), |(count, load), candidate| {
        (count + 1, load + candidate.load)
    });
    if count == 0 {
        return pool;
    }
    let mean_load = load / f64::from(count);
    if mean_load < f64::from(profile.spill_percent) / 100.0 {
        pool.retain(|candidate| candidate.is_local);
    }
    pool
}

fn rendezvous_score(server: &Server, flow: &Flow) -> u64 {
    let mut hasher = SipHasher13::new();
    server.id.as_str().hash(&mut hasher);
    flow.service.as_str().hash(&mut hasher);
    flow.caller.0.hash(&mut hasher);
    hasher.finish()
}

fn rendezvous(
    pool: &[Candidate<'_>],
    flow: &Flow,
    is_eligible: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    (0..pool.len())
        .filter(|&index| is_eligible(&pool[index]))
        .max_by_key(|&index| rendezvous_score(pool[index].server, flow))
}

fn bounded_load(pool: &[Candidate<'_>], flow: &Flow) -> Option<usize> {
    let total: f64 = pool.iter().map(|candidate| candidate.load).sum();
    let bound = (total / pool.len().max(1) as f64 * BOUNDED_LOAD_FACTOR).max(1.0);
    rendezvous(pool, flow, |candidate| candidate.load < bound)
        .or_else(|| rendezvous(pool, flow, |_| true))
}

fn two_choices(pool: &[Candidate<'_>], rng: &mut SmallRng) -> Option<usize> {
    let count = pool.len();
    if count < 2 {
        return (count == 1).then_some(0);
    }
    let first = rng.random_range(0..count);
    let second = (first + rng.random_range(1..count)) % count;
    Some(if pool[second].load < pool[first].load {
        second
    } else {
        first
    })
}

fn least_loaded(pool: &[Candidate<'_>], rng: &mut SmallRng) -> Option<usize> {
    let start = if pool.is_empty() {
        0
    } else {
        rng.random_range(0..pool.len())
    };
    (0..pool.len())
        .map(|step| (start + step) % pool.len())
        .min_by(|&a, &b| pool[a].load.total_cmp(&pool[b].load))
}
