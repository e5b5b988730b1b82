//! Faults and operator changes, drawn at random from a seed.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::link::LinkFault;
use crate::overload::Burst;
use crate::store::Mode;

/// A fault or change and its target. Indexes of instances, servers and links are taken
/// modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An instance gets SIGTERM.
    Stop(u8),
    /// An instance gets SIGKILL.
    Kill(u8),
    /// All instances get SIGKILL.
    KillAll,
    /// An instance is stopped (SIGSTOP) for so many milliseconds.
    Freeze(u8, u64),
    /// An instance gets SIGHUP.
    Reload(u8),
    /// The link between an instance and the store is faulty for so many milliseconds.
    Link(u8, LinkFault, u64),
    /// The link from the other instances to one is faulty for so many milliseconds.
    Peers(u8, LinkFault, u64),
    /// The store is faulty for so many milliseconds.
    Store(Mode, u64),
    /// The store does not answer for so many milliseconds, and the servers' entries are
    /// deleted meanwhile.
    Lapse(u64),
    /// The store does not answer while the configuration changes, and drops its history.
    Compact,
    /// The store revokes all leases.
    Revoke,
    /// The store does not answer for a while and comes back from an older copy.
    Restore(Restore),
    /// A backend server crashes; its entry is deleted later, and another server starts.
    Crash(u8),
    /// A backend server drains and stops; another one starts.
    Drain(u8),
    /// A route is withdrawn and added again.
    Route,
    /// Several configurations are written in quick succession.
    Storm(u8),
    /// An availability zone is evacuated for so many milliseconds: its servers must get
    /// no new flows.
    Evacuate(u8, u64),
    /// More openings arrive than the servers of the shared service can process.
    Burst(Burst),
}

/// Times of a restore of the store, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restore {
    /// Age of the copy when the store goes away.
    pub age: u64,
    /// How long the store does not answer.
    pub away: u64,
    /// Time from its return until operators and servers write again what they had written.
    pub again: u64,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault and its start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Time since the start of fault injection.
    pub at: Duration,
    /// The fault and its target.
    pub kind: Kind,
}

/// Mean time between two faults, in milliseconds. Most faults last for seconds, so
/// several of them overlap.
const MEAN_INTERVAL_MS: u64 = 900;

/// Mean time between two faults in calm runs, in milliseconds. It leaves time to check
/// the guarantees with a bound, which are suspended for an instance for seconds after
/// each of its faults.
const CALM_MEAN_INTERVAL_MS: u64 = 2_500;

/// Draws the faults of a run, ordered by time.
///
/// With an odd seed the run is calm: it has fewer faults, and none that make the store
/// unavailable or drop its history. Guarantees with a bound are suspended for seconds
/// after each fault of an instance or of the store, so they are hardly checked in the
/// other runs.
pub fn draw(seed: u64, length: Duration) -> Vec<Fault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let is_calm = seed % 2 == 1;
    let mean_interval = if is_calm {
        CALM_MEAN_INTERVAL_MS
    } else {
        MEAN_INTERVAL_MS
    };
    let mut at = 0;
    loop {
        at += random.random_range(0..2 * mean_interval);
        let begin = Duration::from_millis(at);
        if begin >= length {
            return faults;
        }
        let kind = draw_kind(&mut random, is_calm);
        faults.push(Fault { at: begin, kind });
        // Repeats some faults, so that signals and restarts also come in series.
        if random.random_range(0..4) == 0 {
            let repeated_at = Duration::from_millis(at + random.random_range(50..600));
            faults.push(Fault {
                at: repeated_at,
                kind,
            });
            at = repeated_at.as_millis() as u64;
        }
        if may_delay_updates(kind) && random.random_range(0..2) == 0 {
            let update_at = Duration::from_millis(at + random.random_range(50..600));
            let kind = draw_update(&mut random);
            faults.push(Fault {
                at: update_at,
                kind,
            });
            at = update_at.as_millis() as u64;
        }
    }
}

/// Draws the evacuations of a run, which do not overlap, ordered by time. They have a
/// random generator of their own, so that they do not change the faults of a seed.
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

/// Draws the restores of a run, which do not overlap, ordered by time. They have a random
/// generator of their own, so that they do not change the faults of a seed.
pub fn draw_restores(seed: u64, length: Duration) -> Vec<Fault> {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut restores = Vec::new();
    let mut at = random.random_range(200..3_000);
    loop {
        let restore = Restore {
            age: random.random_range(50..4_000),
            away: random.random_range(50..2_500),
            again: random.random_range(0..1_500),
        };
        let length_ms = restore.age + restore.away + restore.again;
        if Duration::from_millis(at + length_ms) >= length {
            return restores;
        }
        restores.push(Fault {
            at: Duration::from_millis(at),
            kind: Kind::Restore(restore),
        });
        at += length_ms + random.random_range(200..6_000);
    }
}

/// Draws the bursts of a run, which do not overlap, ordered by time. They have a random
/// generator of their own, so that they do not change the faults of a seed.
pub fn draw_bursts(seed: u64, length: Duration) -> Vec<Fault> {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(16));
    let mut bursts = Vec::new();
    let mut at = random.random_range(500..3_000);
    loop {
        let burst = Burst {
            percent: random.random_range(150..350),
            high_percent: random.random_range(10..40),
            ms: random.random_range(2_500..5_000),
        };
        if Duration::from_millis(at + burst.ms) >= length {
            return bursts;
        }
        bursts.push(Fault {
            at: Duration::from_millis(at),
            kind: Kind::Burst(burst),
        });
        at += burst.ms + random.random_range(1_000..8_000);
    }
}

/// Whether some instances may miss updates during this fault, so that an update is
/// worth checking.
fn may_delay_updates(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Kill(_) | Kind::Freeze(..) | Kind::Link(..) | Kind::Peers(..)
    )
}

/// Draws a change that all instances must apply within a bound.
fn draw_update(random: &mut SmallRng) -> Kind {
    if random.random() {
        Kind::Drain(random.random_range(0..64))
    } else {
        Kind::Route
    }
}

fn draw_kind(random: &mut SmallRng, spares_store: bool) -> Kind {
    loop {
        let kind = draw_any_kind(random);
        if !(spares_store && disturbs_store(kind)) {
            return kind;
        }
    }
}

fn disturbs_store(kind: Kind) -> bool {
    matches!(kind, Kind::Store(..) | Kind::Lapse(_) | Kind::Compact)
}

fn draw_any_kind(random: &mut SmallRng) -> Kind {
    let target = random.random_range(0..64);
    let ms = random.random_range(500..6_000);
    match random.random_range(0..22) {
        0 | 1 => Kind::Stop(target),
        2 | 3 => Kind::Kill(target),
        4 => Kind::KillAll,
        5 | 6 => Kind::Freeze(target, ms),
        7 => Kind::Reload(target),
        8..=10 => Kind::Link(target, draw_link_fault(random), ms),
        11 | 12 => Kind::Store(draw_store_mode(random), ms),
        13 => Kind::Lapse(ms),
        14 => Kind::Compact,
        15 => Kind::Revoke,
        16 => Kind::Crash(target),
        17 => Kind::Drain(target),
        18 => Kind::Route,
        19 => Kind::Storm(random.random_range(2..8)),
        _ => Kind::Peers(target, draw_link_fault(random), ms),
    }
}

fn draw_link_fault(random: &mut SmallRng) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::Cut,
        1 => LinkFault::OneWay,
        2 => LinkFault::Reset,
        3 => LinkFault::Delay(random.random_range(20..400)),
        _ => LinkFault::Forgotten,
    }
}

fn draw_store_mode(random: &mut SmallRng) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Busy,
        1 => Mode::Silent,
        2 => Mode::Slow(random.random_range(50..400)),
        _ => Mode::Losing,
    }
}
