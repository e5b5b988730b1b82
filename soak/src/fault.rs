//! Faults, drawn by seed.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::link::Harm;
use crate::store::Mode;

/// What happens to whom. Numbers of instances are taken modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An instance gets SIGTERM.
    Stop(u8),
    /// An instance gets SIGKILL.
    Kill(u8),
    /// All instances get SIGKILL.
    KillAll,
    /// An instance stands still.
    Freeze(u8, u64),
    /// An instance gets SIGHUP.
    Reload(u8),
    /// The link between an instance and the store is harmed.
    Link(u8, Harm, u64),
    /// The links of other instances to one are harmed.
    Peers(u8, Harm, u64),
    /// The store misbehaves.
    Store(Mode, u64),
    /// The store is away, and the servers' entries lapse meanwhile.
    Lapse(u64),
    /// The store is silent while configurations change, and drops its history.
    Compact,
    /// The store ends all leases.
    Revoke,
    /// A backend server crashes; its entry lapses, and another starts.
    Crash(u8),
    /// A backend server drains and leaves; another starts.
    Drain(u8),
    /// A route is withdrawn and added again.
    Route,
    /// Several configurations in quick succession.
    Storm(u8),
    /// A zone's servers are to get no new flows for so many milliseconds.
    Evacuate(u8, u64),
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault and when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Since the begin of the faults.
    pub at: Duration,
    /// What happens.
    pub kind: Kind,
}

/// Mean time between two faults, in milliseconds. Most last for seconds, so that
/// several overlap.
const EVERY_MS: u64 = 900;

/// The same in runs that are to check bounds: an instance's promises are suspended
/// for seconds after each of its faults.
const SELDOM_MS: u64 = 2_500;

/// The faults of a seed, in order of time.
///
/// In runs with odd seeds faults are few and the store is let alone: promises with
/// a bound are suspended for seconds after each fault of an instance or the store,
/// and would hardly be checked.
pub fn draw(seed: u64, length: Duration) -> Vec<Fault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let is_calm = seed % 2 == 1;
    let every = if is_calm { SELDOM_MS } else { EVERY_MS };
    let mut at = 0;
    loop {
        at += random.random_range(0..2 * every);
        let begin = Duration::from_millis(at);
        if begin >= length {
            return faults;
        }
        let kind = draw_kind(&mut random, is_calm);
        faults.push(Fault { at: begin, kind });
        // Signals and restarts come in series, too.
        if random.random_range(0..4) == 0 {
            let again = Duration::from_millis(at + random.random_range(50..600));
            faults.push(Fault { at: again, kind });
            at = again.as_millis() as u64;
        }
        if may_hide(kind) && random.random_range(0..2) == 0 {
            let soon = Duration::from_millis(at + random.random_range(50..600));
            let kind = change(&mut random);
            faults.push(Fault { at: soon, kind });
            at = soon.as_millis() as u64;
        }
    }
}

/// Evacuations of a seed, one after the other, in order of time. They are drawn apart, so
/// that the faults of a seed stay what they were.
pub fn draw_evacuations(seed: u64, length: Duration) -> Vec<Fault> {
    let mut random = SmallRng::seed_from_u64(!seed);
    let mut evacuations = Vec::new();
    let mut at = random.random_range(500..4_000);
    loop {
        let ms = random.random_range(500..9_000);
        if Duration::from_millis(at + ms) >= length {
            return evacuations;
        }
        let kind = Kind::Evacuate(random.random_range(0..2), ms);
        let begin = Duration::from_millis(at);
        evacuations.push(Fault { at: begin, kind });
        at += ms + random.random_range(500..4_000);
    }
}

/// Whether others may not hear of a change meanwhile, so that one is worth making.
fn may_hide(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Kill(_) | Kind::Freeze(..) | Kind::Link(..) | Kind::Peers(..)
    )
}

/// A change that must be in force everywhere within a bound.
fn change(random: &mut SmallRng) -> Kind {
    if random.random() {
        Kind::Drain(random.random_range(0..64))
    } else {
        Kind::Route
    }
}

fn draw_kind(random: &mut SmallRng, spares_store: bool) -> Kind {
    loop {
        let kind = kind(random);
        if !(spares_store && harms_store(kind)) {
            return kind;
        }
    }
}

fn harms_store(kind: Kind) -> bool {
    matches!(kind, Kind::Store(..) | Kind::Lapse(_) | Kind::Compact)
}

fn kind(random: &mut SmallRng) -> Kind {
    let who = random.random_range(0..64);
    let ms = random.random_range(500..6_000);
    match random.random_range(0..22) {
        0 | 1 => Kind::Stop(who),
        2 | 3 => Kind::Kill(who),
        4 => Kind::KillAll,
        5 | 6 => Kind::Freeze(who, ms),
        7 => Kind::Reload(who),
        8..=10 => Kind::Link(who, harm(random), ms),
        11 | 12 => Kind::Store(mode(random), ms),
        13 => Kind::Lapse(ms),
        14 => Kind::Compact,
        15 => Kind::Revoke,
        16 => Kind::Crash(who),
        17 => Kind::Drain(who),
        18 => Kind::Route,
        19 => Kind::Storm(random.random_range(2..8)),
        _ => Kind::Peers(who, harm(random), ms),
    }
}

fn harm(random: &mut SmallRng) -> Harm {
    match random.random_range(0..5) {
        0 => Harm::Cut,
        1 => Harm::OneWay,
        2 => Harm::Reset,
        3 => Harm::Delay(random.random_range(20..400)),
        _ => Harm::Forgotten,
    }
}

fn mode(random: &mut SmallRng) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Busy,
        1 => Mode::Silent,
        2 => Mode::Slow(random.random_range(50..400)),
        _ => Mode::Losing,
    }
}
