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

use std::cmp::Reverse;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use siphasher::sip::SipHasher13;

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

/// The plan of an instance that starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstCopyPlan {
    /// Instances to ask for a copy, the best first; empty when this instance reads the
    /// store at once.
    pub sources: Vec<SocketAddrV4>,
    /// How long to wait before the store is read as well, if no source answers.
    pub wait: Duration,
    /// How long to wait while a source answers but has no copy yet.
    pub patience: Duration,
    /// Pause before the next source is asked although one has answered.
    pub ask_pause: Duration,
}

impl FirstCopyPlan {
    /// The plan of the instance `me`; `first_wait` is the wait of the first instance after
    /// the heads.
    pub fn new(me: &Member, roster: &Roster, first_wait: Duration) -> Self {
        let rank = roster.first.iter().position(|m| m.instance == me.instance);
        let read_time = READ_TIME_PER_KEY * roster.keys as u32;
        let turns = rank.unwrap_or_else(|| estimated_rank(me, roster));
        let turns = turns as f64 / HEAD_COUNT as f64;
        let (wait, patience) = match rank {
            Some(rank) if rank < HEAD_COUNT => {
                let patience = read_time.mul_f64(turns);
                (patience.min(first_wait), patience)
            }
            _ => {
                let copy_wait = copy_wait(me, rank, roster, first_wait);
                let wait = copy_wait + read_time.mul_f64(1.0 + turns / READERS_WITHOUT_ANSWER);
                let expected = match roster.keys {
                    0 => UNKNOWN_READ_TIME,
                    _ => read_time,
                };
                (wait, wait + expected.mul_f64(turns))
            }
        };
        Self {
            sources: sources(me, rank, roster),
            wait,
            patience,
            ask_pause: ASK_INTERVAL.max(read_time),
        }
    }
}

/// How much later than the heads an instance of this rank should read a store of so many
/// keys, so that few of a zone begin in the time of one reading.
pub(crate) fn turn(rank: usize, keys: usize) -> Duration {
    let turns = rank.saturating_sub(HEAD_COUNT) as f64 / HEAD_COUNT as f64;
    (READ_TIME_PER_KEY * keys as u32).mul_f64(turns)
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
