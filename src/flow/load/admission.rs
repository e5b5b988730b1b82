//! Which openings are admitted while a service is short of capacity.
//!
//! Load pattern: the requests of all priorities together exceed what the servers can
//! process for seconds. Servers then reject requests of all priorities alike, and callers
//! use up their retries within milliseconds. Openings of the highest priority are always
//! admitted; lower ones only while the load leaves room for the higher ones, and at a
//! small guaranteed rate.

use std::cmp::Ordering;

use rand::RngExt;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::flow::load::capacity::Capacity;
use crate::flow::load::capacity::InProgress;

/// Load from which on no opening of a lower priority is admitted: one request in progress
/// and two queued per slot. Short peaks wait at the servers, and slots do not idle while
/// counts scatter.
const MAX_LOAD: f64 = 3.0;

/// Load whose allowance the requests in progress may not exceed. All callers may return at
/// once, before the mean shows it; at 3, the servers' queues then rejected higher priorities.
const MAX_BURST_LOAD: f64 = 2.0;

/// Load from which on some openings are not admitted. If all were admitted up to the
/// maximum, all instances would open and close at the same moments.
const FULL_ADMISSION_LOAD: f64 = 2.0;

/// Part of a service's capacity that each lower priority gets whatever the load.
const FLOOR_SHARE: f64 = 0.1;

/// Load up to which one opening is admitted.
///
/// Each opening draws its threshold once. Openings that are checked again while they are
/// queued would otherwise draw until they are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Threshold(f64);

impl Threshold {
    pub(crate) fn draw(random: &mut SmallRng) -> Self {
        Self(random.random_range(FULL_ADMISSION_LOAD..MAX_LOAD))
    }

    pub(crate) fn total_cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }

    /// Whether an opening of a lower priority is admitted to this zone's servers.
    pub(crate) fn admits(self, capacity: Capacity, requests: &InProgress, now: Instant) -> bool {
        let count = f64::from(requests.count()) + 1.0;
        count <= capacity.allowance(MAX_BURST_LOAD) && capacity.load(requests.mean(now)) < self.0
    }
}

/// Guaranteed rate of one lower priority: a bucket with one token, so that a time without
/// openings does not allow a burst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Floor {
    tokens: f64,
    updated: Option<Instant>,
}

impl Floor {
    /// Takes a token, if there is one. `share_rate` is the number of requests per second
    /// that the service processes for this instance. The first call finds a token.
    pub(crate) fn take(&mut self, now: Instant, share_rate: f64) -> bool {
        let elapsed = self.updated.map(|at| now.saturating_duration_since(at));
        let filled = elapsed.map_or(1.0, |time| time.as_secs_f64() * share_rate * FLOOR_SHARE);
        self.tokens = (self.tokens + filled).min(1.0);
        self.updated = Some(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens = 0.0;
        }
        has_token
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use rand::SeedableRng;

    use super::*;

    const ZONE: Capacity = Capacity {
        slots: 60,
        instances: 20,
    };

    fn ms(count: u64) -> Duration {
        Duration::from_millis(count)
    }

    fn steady(now: Instant, count: u32) -> InProgress {
        let mut requests = InProgress::default();
        requests.set(now, count);
        requests
    }

    fn admitted_of_1000(load_count: u32) -> usize {
        let now = Instant::now();
        let requests = steady(now, load_count);
        let mut random = SmallRng::seed_from_u64(5);
        let thresholds = (0..1_000).map(|_| Threshold::draw(&mut random));
        let later = now + ms(5_000);
        thresholds
            .filter(|threshold| threshold.admits(ZONE, &requests, later))
            .count()
    }

    // Guards against instances that open and close in lockstep: the share of admitted
    // openings falls from all to none between 2 and 3 requests per slot.
    #[tokio::test(start_paused = true)]
    async fn the_admitted_share_falls_with_the_load() {
        assert_eq!(admitted_of_1000(6), 1_000);
        let some = admitted_of_1000(7);
        assert!((600..730).contains(&some), "{some}");
        assert_eq!(admitted_of_1000(9), 0);
    }

    // Guards against a burst that fills the servers' queues before the mean shows it.
    #[tokio::test(start_paused = true)]
    async fn a_burst_is_limited_to_the_allowance() {
        let now = Instant::now();
        let mut requests = InProgress::default();
        let threshold = Threshold(MAX_LOAD);
        let mut admitted = 0;
        while threshold.admits(ZONE, &requests, now) {
            requests.begin(now);
            admitted += 1;
        }
        assert_eq!(admitted, 10);
    }

    // Guards against a priority that starves, and against a pause that allows a burst.
    #[tokio::test(start_paused = true)]
    async fn the_floor_is_a_tenth_of_the_capacity() {
        let now = Instant::now();
        let mut floor = Floor::default();
        let taken = (0..10_000).filter(|at| floor.take(now + ms(*at), 100.0));
        let taken = taken.count();
        assert!((95..=101).contains(&taken), "{taken}");
        let later = now + ms(60_000);
        let burst = (0..5).filter(|_| floor.take(later, 100.0)).count();
        assert_eq!(burst, 1);
    }
}
