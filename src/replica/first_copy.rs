//! Where an instance that starts gets its first copy, and when it reads the store itself.
//!
//! Load pattern: all instances of a fleet are killed and start again within a third of a
//! second, before a store of thousands of keys. Whoever reads all of it takes a share of
//! the store's link, so the copies of the heads arrive the later, the more instances stop
//! waiting for them. With a wait of fixed length, all instances of a large fleet read
//! everything at once, and none of them completes its copy for many seconds.
//!
//! Three rules bound the load on the store. The wait grows with the number of keys, as
//! the time of a reading does. While an instance above answers, only three further
//! instances of a zone begin to read in the time of one reading, by rank. And an instance
//! asks one source after the other, not all of them, so that those with a copy spend
//! their time and links on sending it once to each.
//!
//! Another load pattern: the fleet restarts on machines that are short of processor time.
//! A store that is read in 5 ms otherwise takes 300 ms and more, and instances that expect
//! 5 ms read it as well while the heads' copies come in, which prolongs all readings. So
//! the expected time is at least that of two calls to the store as the instance observes
//! them, its own reading of the roster and the calls that it makes meanwhile, and an
//! instance goes on waiting while parts of a copy arrive. Neither applies while no
//! source answers: a zone whose heads are gone gets its readers as early as ever.

use std::cmp::Reverse;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use tokio::time;
use tokio::time::Instant;

use crate::replica::Member;
use crate::replica::Roster;
use crate::replica::tree;
use crate::replica::tree::FAN_OUT;
use crate::replica::tree::HEAD_COUNT;

/// Time to read one key among all others: 350 bytes over a link that several readers
/// share, and a part of the time that each page takes.
const READ_TIME_PER_KEY: Duration = Duration::from_micros(50);

/// Assumed time of a reading while the number of keys is not known, as in a zone that
/// starts for the first time.
const UNKNOWN_READ_TIME: Duration = Duration::from_millis(500);

/// Number of times as many instances that begin to read in the time of one reading while
/// no source answers: most likely those above are gone.
const READERS_WITHOUT_ANSWER: f64 = 4.0;

/// Pause before the next source is asked while none has answered. A machine without
/// power does not even refuse a connection.
pub(crate) const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of calls to the store that a source which starts at the same time makes before
/// it sends the first part: its roster and the first page.
const CALLS_BEFORE_FIRST_PART: u32 = 2;

/// Time without a further part after which a copy no longer counts as coming in. Callers
/// retransmit after this time.
const MAX_PART_GAP: Duration = Duration::from_millis(200);

/// Share of the longest wait over which the instances of a zone spread its end: a quarter
/// of 1.5 s leaves 15 ms between two of 24 instances.
const LIMIT_SPREAD: f64 = 0.25;

/// What the sources that were asked for a copy have sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyProgress {
    /// Number of sources that answer and have not sent a whole copy yet.
    pub answering: usize,
    /// When the last part of a copy arrived.
    pub last_part_at: Option<Instant>,
    /// Time that a call of this instance to the store takes at present.
    pub call_time: Duration,
}

/// The plan of an instance that starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstCopyPlan {
    /// Instances to ask for a copy, the best first; empty when this instance reads the
    /// store at once.
    pub sources: Vec<SocketAddrV4>,
    /// How long to wait before the store is read as well, if no source answers.
    pub wait: Duration,
    /// How long to wait while a source answers but has no copy yet, by the calls so far.
    pub patience: Duration,
    /// How long to wait while parts of a copy come in.
    pub limit: Duration,
    /// Pause before the next source is asked although one has answered.
    pub ask_pause: Duration,
    /// Number of instances that should read before this one.
    position: usize,
}

impl FirstCopyPlan {
    /// The plan of the instance `me`; `first_wait` is the wait of the first instance after
    /// the heads.
    pub fn new(me: &Member, roster: &Roster, first_wait: Duration) -> Self {
        Self::with_call_time(me, roster, first_wait, Duration::ZERO)
    }

    /// The plan of an instance whose own reading of the roster took `call_time`.
    pub fn with_call_time(
        me: &Member,
        roster: &Roster,
        first_wait: Duration,
        call_time: Duration,
    ) -> Self {
        let rank = roster.first.iter().position(|m| m.instance == me.instance);
        let read_time = READ_TIME_PER_KEY * roster.keys as u32;
        let position = rank.unwrap_or_else(|| estimated_rank(me, roster));
        let turns = position as f64 / HEAD_COUNT as f64;
        let (wait, patience, limit) = match rank {
            Some(rank) if rank < HEAD_COUNT => {
                let patience = read_time.mul_f64(turns);
                (patience.min(first_wait), patience, patience)
            }
            _ => {
                let copy_wait = copy_wait(me, rank, roster, first_wait);
                let wait = copy_wait + read_time.mul_f64(1.0 + turns / READERS_WITHOUT_ANSWER);
                let expected = match roster.keys {
                    0 => UNKNOWN_READ_TIME,
                    _ => read_time,
                };
                let patience = wait + expected.mul_f64(turns);
                (wait, patience, patience.max(longest_wait(position, roster)))
            }
        };
        let mut plan = Self {
            sources: sources(me, rank, roster),
            wait,
            patience,
            limit,
            ask_pause: ASK_INTERVAL.max(read_time),
            position,
        };
        plan.patience = plan.patience_at(call_time);
        plan
    }

    /// How long to wait while a source answers but has no copy yet, when a call to the
    /// store takes this long.
    fn patience_at(&self, call_time: Duration) -> Duration {
        let turns = self.position as f64 / HEAD_COUNT as f64;
        let first_part = call_time * CALLS_BEFORE_FIRST_PART;
        let observed = self.wait + first_part.mul_f64(turns);
        self.patience.max(observed.min(self.limit))
    }

    /// Waits until this instance should read the store itself.
    pub async fn wait_for_turn(&self, progress: impl Fn() -> CopyProgress) {
        let begin = Instant::now();
        time::sleep(self.wait).await;
        while !self.is_turn(begin.elapsed(), progress()) {
            time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Whether an instance that has waited for this long should read the store.
    fn is_turn(&self, waited: Duration, progress: CopyProgress) -> bool {
        let is_coming_in = progress
            .last_part_at
            .is_some_and(|at| at.elapsed() < MAX_PART_GAP);
        let longest = match (progress.answering, is_coming_in) {
            (0, _) => self.wait,
            (_, false) => self.patience_at(progress.call_time),
            (_, true) => self.limit,
        };
        waited >= longest
    }
}

/// How much later than the heads an instance of this rank should read a store of so many
/// keys, so that few of a zone begin in the time of one reading.
pub(crate) fn turn(rank: usize, keys: usize) -> Duration {
    let turns = rank.saturating_sub(HEAD_COUNT) as f64 / HEAD_COUNT as f64;
    (READ_TIME_PER_KEY * keys as u32).mul_f64(turns)
}

/// How long an instance waits at most because of what it observes. The first ranks end
/// earlier, so that those who wait for the same slow copy don't begin to read together.
fn longest_wait(position: usize, roster: &Roster) -> Duration {
    let share = position as f64 / roster.zone_size.max(1) as f64;
    let spread = LIMIT_SPREAD * (1.0 - share.min(1.0));
    tree::MAX_COPY_WAIT.mul_f64(1.0 - spread)
}

/// A rank for an instance that is not among the first of its zone.
fn estimated_rank(me: &Member, roster: &Roster) -> usize {
    let others = roster.zone_size.saturating_sub(roster.first.len()).max(1);
    let mut hasher = SipHasher13::new();
    me.instance.hash(&mut hasher);
    roster.first.len() + (hasher.finish() % others as u64) as usize
}

fn copy_wait(me: &Member, rank: Option<usize>, roster: &Roster, first_wait: Duration) -> Duration {
    match rank {
        Some(_) => tree::copy_wait(&me.instance, &me.zone, &roster.first, first_wait),
        None => tree::MAX_COPY_WAIT.max(first_wait),
    }
}

/// The instances that feed others while all start: those with the fastest links, as many
/// as the tree needs.
fn feeders(roster: &Roster) -> &[Member] {
    let needed = roster.zone_size.div_ceil(FAN_OUT) + 1;
    let needed = needed.max(HEAD_COUNT).min(roster.first.len());
    let Some(best) = roster.first.first().map(|first| first.link_mbps.class()) else {
        return &[];
    };
    let fast = roster.first.iter();
    let fast = fast
        .take_while(|member| member.link_mbps.class() == best)
        .count();
    let can_feed_all = fast >= HEAD_COUNT && fast * 2 * FAN_OUT >= roster.zone_size;
    let count = if can_feed_all {
        needed.min(fast)
    } else {
        needed
    };
    &roster.first[..count]
}

/// The heads for an instance that feeds others, the feeders for all others; each instance
/// begins with another one. The remaining instances above come last. The first instance
/// of the zone has none.
fn sources(me: &Member, rank: Option<usize>, roster: &Roster) -> Vec<SocketAddrV4> {
    let feeders = feeders(roster);
    let heads = &roster.first[..HEAD_COUNT.min(roster.first.len())];
    let preferred = match rank {
        Some(rank) if rank < HEAD_COUNT => &heads[..rank],
        Some(rank) if rank < feeders.len() => heads,
        _ => feeders,
    };
    let mut sources: Vec<&Member> = preferred.iter().collect();
    sources.sort_by_key(|source| Reverse(affinity(me, source)));
    let above = rank.unwrap_or(roster.first.len());
    for member in &roster.first[..above] {
        if !sources.contains(&member) {
            sources.push(member);
        }
    }
    sources.iter().map(|source| source.address).collect()
}

/// Hash by which each instance orders its sources differently.
fn affinity(me: &Member, source: &Member) -> u64 {
    let mut hasher = SipHasher13::new();
    (&me.instance, &source.instance).hash(&mut hasher);
    hasher.finish()
}
