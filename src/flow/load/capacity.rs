//! How much of a service's capacity in a zone is in use, as one instance can tell.
//!
//! Load pattern: callers of several priorities send more requests than the servers can
//! process, for seconds. An instance sees its own requests only; routers spread callers
//! evenly over the instances of a zone, so that each of the others has about as many.
//! With a share of a few slots per instance, the own count is small and varies by its
//! square root, so that single counts are compared with an allowance and only their mean
//! with the limit itself.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the mean number of requests in progress: several requests long, so that
/// it averages their scatter, and short compared with an overload of seconds.
const SMOOTHING: Duration = Duration::from_millis(250);

/// Standard deviations of a count that are allowed above its mean. A Poisson count exceeds
/// two of them once in forty times.
const ALLOWED_DEVIATIONS: f64 = 2.0;

/// Response time of a service before the first answer; known services need 15 to 55 ms.
const INITIAL_RESPONSE_TIME: Duration = Duration::from_millis(40);

/// Requests of this instance in progress at some servers: their number and its mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InProgress {
    count: u32,
    mean: f64,
    updated: Option<Instant>,
}

impl InProgress {
    /// Number of requests in progress.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Mean number of requests in progress, smoothed over [`SMOOTHING`].
    pub(crate) fn mean(&self, now: Instant) -> f64 {
        let count = f64::from(self.count);
        let elapsed = self
            .updated
            .map(|at| now.saturating_duration_since(at))
            .unwrap_or_default();
        let remaining = (-elapsed.div_duration_f64(SMOOTHING)).exp();
        count + (self.mean - count) * remaining
    }

    /// Sets the number of requests.
    pub(crate) fn set(&mut self, now: Instant, count: u32) {
        self.mean = self.mean(now);
        self.updated = Some(now);
        self.count = count;
    }

    /// Counts a request that has begun.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.set(now, self.count.saturating_add(1));
    }

    /// Counts a request that has ended.
    pub(crate) fn end(&mut self, now: Instant) {
        self.set(now, self.count.saturating_sub(1));
    }
}

/// The slots of a service's usable servers in one zone, and the instances that share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// Sum of the servers' slots.
    pub(crate) slots: u32,
    /// Number of instances whose requests the slots process.
    pub(crate) instances: usize,
}

impl Capacity {
    /// Slots per instance.
    pub(crate) fn share(&self) -> f64 {
        f64::from(self.slots) / self.instances.max(1) as f64
    }

    /// Requests per slot if each instance has this number in progress; infinite without
    /// slots.
    pub(crate) fn load(&self, in_progress: f64) -> f64 {
        match self.slots {
            0 if in_progress == 0.0 => 0.0,
            0 => f64::INFINITY,
            _ => in_progress / self.share(),
        }
    }

    /// Number of requests that one instance may have in progress at a load of `limit`.
    pub(crate) fn allowance(&self, limit: f64) -> f64 {
        let expected = limit * self.share();
        expected + ALLOWED_DEVIATIONS * expected.sqrt()
    }

    /// Requests per second that the slots process for one instance.
    ///
    /// A response time contains the wait in the server's queue. At a load above 1, as many
    /// requests as the load says share that time per slot, so that the wait cancels out.
    pub(crate) fn share_rate(&self, response_time: Option<Duration>, load: f64) -> f64 {
        let response_time = response_time.unwrap_or(INITIAL_RESPONSE_TIME);
        let seconds = response_time.as_secs_f64().max(0.001);
        let queued = if load.is_finite() { load.max(1.0) } else { 1.0 };
        self.share() * queued / seconds
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(count: u64) -> Duration {
        Duration::from_millis(count)
    }

    // Guards against a mean that follows single counts, or that ignores how long each lasted.
    #[tokio::test(start_paused = true)]
    async fn the_mean_weighs_each_count_by_its_time() {
        let now = Instant::now();
        let mut requests = InProgress::default();
        for at in (0..2_000).step_by(100) {
            requests.set(now + ms(at), 8);
            requests.set(now + ms(at + 25), 0);
        }
        let mean = requests.mean(now + ms(2_000));
        assert!((1.4..2.6).contains(&mean), "{mean}");
        assert!(requests.mean(now + ms(4_000)) < 0.01);
    }

    // Guards against a burst that looks like an overload at once.
    #[tokio::test(start_paused = true)]
    async fn a_burst_of_30_ms_moves_the_mean_by_a_ninth() {
        let now = Instant::now();
        let mut requests = InProgress::default();
        (0..9).for_each(|_| requests.begin(now));
        let mean = requests.mean(now + ms(30));
        assert!((0.9..1.1).contains(&mean), "{mean}");
        (0..20).for_each(|_| requests.end(now + ms(30)));
        assert_eq!(requests.count(), 0);
    }

    // Guards against a clock value older than the last one, as buffered packets carry it.
    #[tokio::test(start_paused = true)]
    async fn an_earlier_time_leaves_the_mean_as_it_is() {
        let now = Instant::now() + ms(100);
        let mut requests = InProgress::default();
        requests.set(now, 4);
        assert_eq!(requests.mean(now - ms(50)), 0.0);
    }

    // Guards against limits that close at ordinary scatter with a share of three slots.
    #[test]
    fn a_small_share_has_an_allowance() {
        let capacity = Capacity {
            slots: 60,
            instances: 20,
        };
        assert_eq!(capacity.load(6.0), 2.0);
        let allowance = capacity.allowance(2.0);
        assert!((10.8..11.0).contains(&allowance), "{allowance}");
    }

    // Guards against a division by zero, and a floor of nothing, for a zone without servers.
    #[test]
    fn a_zone_without_servers_has_no_capacity() {
        let capacity = Capacity {
            slots: 0,
            instances: 0,
        };
        assert_eq!(capacity.load(1.0), f64::INFINITY);
        assert_eq!(capacity.load(0.0), 0.0);
        assert_eq!(capacity.allowance(2.0), 0.0);
        assert_eq!(capacity.share_rate(None, f64::INFINITY), 0.0);
    }

    // Guards against an estimated capacity that shrinks because requests wait at the servers.
    #[test]
    fn the_rate_does_not_depend_on_the_wait_at_the_servers() {
        let capacity = Capacity {
            slots: 60,
            instances: 20,
        };
        let idle = capacity.share_rate(Some(ms(30)), 0.2);
        let queued = capacity.share_rate(Some(ms(60)), 2.0);
        assert!((99.0..101.0).contains(&idle), "{idle}");
        assert!((99.0..101.0).contains(&queued), "{queued}");
    }
}
