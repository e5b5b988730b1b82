//! Simultaneous start of a whole fleet.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use godwitreel::pacing::hedge;
use godwitreel::replica::Bandwidth;
use godwitreel::replica::Member;
use godwitreel::replica::candidates;
use godwitreel::replica::copy_wait;
use tokio::time;
use tokio::time::Instant;

/// Instances in each of the six zones.
const INSTANCES_PER_ZONE: usize = 59;
const ZONES: usize = 6;
/// Bytes that the store sends for a complete listing, and for one member.
const LISTING_BYTES: f64 = 700_000.0;
const MEMBER_BYTES: f64 = 280.0;
/// Bytes that the store sends per millisecond.
const STORE_BYTES_PER_MS: f64 = 125_000.0;
/// Wait of the first instance after the heads, in milliseconds.
const FIRST_WAIT_MS: u64 = 60;
/// Period within which all machines regain power, in milliseconds.
const POWER_SPREAD_MS: usize = 300;
/// Time that a head takes to send its copy to one instance of its zone, in
/// milliseconds.
const COPY_MS: u64 = 3;

fn zone(number: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        instance: format!("entry-{number}-{index}").parse().unwrap(),
        zone: format!("zone-{number}").parse().unwrap(),
        address: format!("10.{number}.0.{index}:9000").parse().unwrap(),
        link_mbps: Bandwidth(if index < 3 { 200.0 } else { 20.0 }),
    };
    (0..INSTANCES_PER_ZONE).map(member).collect()
}

/// An instance that starts, reads the list of members, waits, and reads the store.
struct StartingInstance {
    zone: usize,
    is_head: bool,
    start: u64,
    wait: u64,
    /// Remaining bytes of the list of members, and of the listing that follows it.
    members: f64,
    listing: f64,
    /// When the list of members was complete.
    members_known_at: Option<u64>,
}

impl StartingInstance {
    fn is_reading(&self, at: u64) -> bool {
        let has_waited = self
            .members_known_at
            .is_some_and(|known_at| at >= known_at + self.wait);
        at >= self.start && self.listing > 0.0 && (self.members_known_at.is_none() || has_waited)
    }

    fn read(&mut self, at: u64, bytes: f64) {
        if self.members_known_at.is_some() {
            self.listing -= bytes;
            return;
        }
        self.members -= bytes;
        if self.members <= 0.0 {
            self.members_known_at = Some(at);
        }
    }
}

/// All instances; each reads `listed` members and then waits as given for a copy.
fn fleet(listed: usize, wait: impl Fn(&Member, &[Member]) -> u64) -> Vec<StartingInstance> {
    let mut fleet = Vec::new();
    for number in 0..ZONES {
        let members = zone(number);
        for (index, member) in members.iter().enumerate() {
            let above = candidates(&member.instance, &member.zone, &members);
            let is_head = above.len() < 3;
            fleet.push(StartingInstance {
                zone: number,
                is_head,
                start: ((number * INSTANCES_PER_ZONE + index) * 7_919 % POWER_SPREAD_MS) as u64,
                wait: if is_head { 0 } else { wait(member, &members) },
                members: listed as f64 * MEMBER_BYTES,
                listing: LISTING_BYTES,
                members_known_at: None,
            });
        }
    }
    fleet
}

/// Lets those heads of a zone that have the listing send it to the waiting instances.
fn send_copies(fleet: &mut [StartingInstance], zone: usize, credit: &mut u64) {
    let heads = fleet
        .iter()
        .filter(|instance| instance.zone == zone && instance.is_head);
    *credit += heads.filter(|head| head.listing <= 0.0).count() as u64;
    while *credit >= COPY_MS {
        *credit -= COPY_MS;
        let waits = |instance: &&mut StartingInstance| {
            instance.zone == zone
                && !instance.is_head
                && instance.members_known_at.is_some()
                && instance.listing > 0.0
        };
        if let Some(instance) = fleet.iter_mut().find(waits) {
            instance.listing = 0.0;
        }
    }
}

/// Time in milliseconds from its start until the slowest instance has its copy.
fn slowest(mut fleet: Vec<StartingInstance>) -> u64 {
    let mut credits = [0_u64; ZONES];
    let mut slowest = 0;
    for at in 0..5_000 {
        let reading = fleet
            .iter()
            .filter(|instance| instance.is_reading(at))
            .count();
        let share = STORE_BYTES_PER_MS / reading.max(1) as f64;
        for instance in fleet.iter_mut().filter(|instance| instance.is_reading(at)) {
            instance.read(at, share);
        }
        for (zone, credit) in credits.iter_mut().enumerate() {
            send_copies(&mut fleet, zone, credit);
        }
        let waiting = fleet.iter().filter(|instance| instance.listing > 0.0);
        let longest = waiting
            .map(|instance| (at + 1).saturating_sub(instance.start))
            .max();
        match longest {
            Some(longest) => slowest = slowest.max(longest),
            None => break,
        }
    }
    slowest
}

// All 354 instances of six zones regain power together. With one fixed wait they all
// read the store at once, its link is full for a second, and the heads' listings are
// delayed as well, while callers wait. With waits that grow by rank, the heads finish
// first.
#[test]
fn heads_are_not_held_up_by_those_that_wait_for_them() {
    let first = Duration::from_millis(FIRST_WAIT_MS);
    let by_rank = |member: &Member, members: &[Member]| {
        let wait = copy_wait(&member.instance, &member.zone, members, first);
        wait.as_millis() as u64
    };
    let all = INSTANCES_PER_ZONE * ZONES;
    let fixed_wait = slowest(fleet(all, |_, _| FIRST_WAIT_MS));
    let ranked = slowest(fleet(all, by_rank));
    let own_zone = slowest(fleet(INSTANCES_PER_ZONE, by_rank));
    assert!(fixed_wait > 500, "with one wait for all: {fixed_wait} ms");
    assert!(ranked < 500, "by rank: {ranked} ms");
    assert!(own_zone < 300, "with a list of the own zone: {own_zone} ms");
}

// The heads and all copies are gone. Every starting instance, including the last one of
// a large zone, reads the store after a bounded wait.
#[test]
fn nobody_waits_for_long_where_all_are_gone() {
    let first = Duration::from_millis(FIRST_WAIT_MS);
    let members = zone(1);
    let wait = |member: &Member| copy_wait(&member.instance, &member.zone, &members, first);
    let waits: Vec<Duration> = members.iter().map(wait).collect();
    let longest = waits.iter().max().copied().unwrap_or_default();
    assert!(longest <= Duration::from_millis(1_500), "{longest:?}");
    assert!(waits.iter().all(|wait| *wait >= first));
}

// Guards against an instance that starts before those with a copy and then waits for a
// connection whose SYN packet was lost while its peer had no power.
#[tokio::test(start_paused = true)]
async fn a_connection_stands_soon_after_its_peer_has_power() {
    let begin = Instant::now();
    let power = begin + Duration::from_millis(220);
    let connect = || async move {
        if Instant::now() < power {
            std::future::pending::<()>().await;
        }
        time::sleep(Duration::from_millis(1)).await;
    };
    hedge(Duration::from_millis(50), connect).await;
    assert!(
        begin.elapsed() < Duration::from_millis(275),
        "{:?}",
        begin.elapsed()
    );
}

// Guards against additional connections to a peer that responds, even by refusing.
#[tokio::test(start_paused = true)]
async fn a_peer_that_answers_is_asked_once() {
    let tries = AtomicUsize::new(0);
    let refuse = || async {
        tries.fetch_add(1, Ordering::Relaxed);
        Err::<(), _>("refused")
    };
    let result = hedge(Duration::from_millis(50), refuse).await;
    assert_eq!(result, Err("refused"));
    assert_eq!(tries.load(Ordering::Relaxed), 1);
}
