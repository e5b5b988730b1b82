//! Choice of a backend server for new work.
//!
//! Local servers come first; other zones' servers are used when the local ones
//! are short. The weights and the order of preference are measured in
//! `docs/MEASUREMENTS.md`.

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

/// Load above which bounded-load hashing skips a server, against the mean.
const BOUND: f64 = 1.25;

/// Share of the trusted servers under which confirmed ones are too few to be the
/// only ones used, in percent.
const LEAST_CONFIRMED_PERCENT: usize = 50;

/// How long after its last proof ran out a server is taken to be gone, so that one
/// lost health answer moves no feeds.
const GONE_AFTER: Duration = Duration::from_millis(1_500);

/// Feeds above a server's share that are never worth a move.
const LEAST_SURPLUS: f64 = 8.0;

/// A server with more feeds than the profile's weight lets it keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Surplus {
    /// The server.
    pub server: id::Server,
    /// The part of its feeds that should go elsewhere.
    pub share: f64,
}

/// Whether a server has died or was replaced, so that its feeds are silent for good.
pub fn is_gone(service: &Service, server: &Server, now: Instant) -> bool {
    let confirmed = server.state().confirmed_until;
    let over = confirmed.is_none_or(|until| now >= until + GONE_AFTER);
    over && !accepts_pinned_work(service, server, now)
}

/// Servers whose feeds are uneven enough to move some.
///
/// A weight of `w` lets a server keep `(100 - w) / w` of its fair share on top of
/// it: a ninth at 90, as much again at 50, nine times as much at 10, anything at
/// 0. Feeds beyond that are moved until the server is back at that limit.
pub fn surplus(service: &Service, now: Instant) -> Vec<Surplus> {
    let profile = &service.profile;
    let weight = f64::from(profile.balance_weight);
    // Rendezvous ignores load, so that it would only send the feeds back.
    if profile.balance_weight == 0 || profile.policy == Policy::Rendezvous {
        return Vec::new();
    }
    let spare = (100.0 - weight) / weight;
    let trust = on_trust(service, now);
    let mut loads = Vec::new();
    for server in &service.servers {
        let state = server.state();
        if is_known(&state, trust, now) && !state.is_closed() && !state.is_in_cooldown(now) {
            let size = f64::from(server.slots) * state.warmth(now, profile);
            loads.push((server, f64::from(state.feed_load()), size));
        }
    }
    let total: f64 = loads.iter().map(|(_, feeds, _)| feeds).sum();
    let sizes: f64 = loads.iter().map(|(_, _, size)| size).sum();
    let uneven = loads.into_iter().filter_map(|(server, feeds, size)| {
        let limit = total / sizes * size * (1.0 + spare);
        let over = feeds - limit;
        (over >= LEAST_SURPLUS).then(|| Surplus {
            server: server.id.clone(),
            share: over / feeds,
        })
    });
    uneven.collect()
}

/// What the work will occupy at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A slot for a short while.
    Request,
    /// A connection for a long while.
    Feed,
}

/// A server that could take the work, with its load per weight.
struct Candidate<'a> {
    server: &'a Arc<Server>,
    load: f64,
    local: bool,
}

/// Whether trusted servers may be used beside confirmed ones.
///
/// Health endpoints that fail together would take the whole service down with
/// them. An address that another service took over falls silent by itself, not
/// with most of the others, and is never trusted once its health answer says so.
pub fn on_trust(service: &Service, now: Instant) -> bool {
    let (mut trusted, mut confirmed) = (0, 0);
    for server in &service.servers {
        let state = server.state();
        if state.is_trusted(now) && !state.is_leaving() {
            trusted += 1;
            confirmed += usize::from(state.is_confirmed(now));
        }
    }
    confirmed * 100 < trusted * LEAST_CONFIRMED_PERCENT
}

/// Whether the address is known to run the service, as well as can be known now.
fn is_known(state: &State, trust: bool, now: Instant) -> bool {
    state.is_confirmed(now) || (trust && state.is_trusted(now))
}

/// Whether work that belongs at this very server may be sent there.
pub fn accepts_pinned_work(service: &Service, server: &Server, now: Instant) -> bool {
    let trust = on_trust(service, now);
    is_known(&server.state(), trust, now)
}

/// The server for a new piece of work, or none if all are full or away.
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
        Policy::BoundedLoad => bounded(&pool, flow),
        Policy::TwoChoices => two_choices(&pool, rng),
        Policy::LeastLoaded => least(&pool, rng),
    };
    choice.map(|place| Arc::clone(pool[place].server))
}

fn candidates<'a>(
    service: &'a Service,
    work: WorkKind,
    zone: &id::Zone,
    tried: &[id::Server],
    now: Instant,
) -> Vec<Candidate<'a>> {
    let profile = &service.profile;
    let trust = on_trust(service, now);
    let usable = |server: &&Arc<Server>| !tried.contains(&server.id);
    service
        .servers
        .iter()
        .filter(usable)
        .filter_map(|server| {
            let state = server.state();
            if !is_known(&state, trust, now) || state.is_closed() || state.is_in_cooldown(now) {
                return None;
            }
            let load = weigh(server, &state, work, now, profile)?;
            Some(Candidate {
                server,
                load,
                local: server.zone == *zone,
            })
        })
        .collect()
}

/// Load per slot and warmth, or none if the server has no room for such work.
fn weigh(
    server: &Server,
    state: &State,
    work: WorkKind,
    now: Instant,
    profile: &Profile,
) -> Option<f64> {
    let warmth = state.warmth(now, profile);
    let full = f64::from(server.slots) * f64::from(1 + profile.queue_per_slot);
    let room = work == WorkKind::Feed || f64::from(state.load()) < (full * warmth).max(1.0);
    let load = match work {
        // A request is over long before the next heartbeat: ranking by what peers
        // told sends everyone to the server that was idle a second ago.
        WorkKind::Request => state.outstanding,
        WorkKind::Feed => state.feed_load(),
    };
    room.then(|| f64::from(load) / (f64::from(server.slots) * warmth))
}

/// Keeps local servers alone unless they are used above the spill share.
fn prefer_local<'a>(mut pool: Vec<Candidate<'a>>, profile: &Profile) -> Vec<Candidate<'a>> {
    let local = pool.iter().filter(|candidate| candidate.local);
    let (count, load) = local.fold((0u32, 0.0), |(count, load), candidate| {
        (count + 1, load + candidate.load)
    });
    if count == 0 {
        return pool;
    }
    let used = load / f64::from(count);
    if used < f64::from(profile.spill_percent) / 100.0 {
        pool.retain(|candidate| candidate.local);
    }
    pool
}

fn score(server: &Server, flow: &Flow) -> u64 {
    let mut hasher = SipHasher13::new();
    server.id.as_str().hash(&mut hasher);
    flow.service.as_str().hash(&mut hasher);
    flow.caller.0.hash(&mut hasher);
    hasher.finish()
}

fn rendezvous(
    pool: &[Candidate<'_>],
    flow: &Flow,
    keep: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    (0..pool.len())
        .filter(|&place| keep(&pool[place]))
        .max_by_key(|&place| score(pool[place].server, flow))
}

fn bounded(pool: &[Candidate<'_>], flow: &Flow) -> Option<usize> {
    let total: f64 = pool.iter().map(|candidate| candidate.load).sum();
    let bound = (total / pool.len().max(1) as f64 * BOUND).max(1.0);
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

fn least(pool: &[Candidate<'_>], rng: &mut SmallRng) -> Option<usize> {
    let start = if pool.is_empty() {
        0
    } else {
        rng.random_range(0..pool.len())
    };
    (0..pool.len())
        .map(|step| (start + step) % pool.len())
        .min_by(|&a, &b| pool[a].load.total_cmp(&pool[b].load))
}
