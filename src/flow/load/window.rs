//! How many requests an instance may have in progress at another zone's servers.
//!
//! Load pattern: one zone is asked for several times what its servers can process while the
//! others have capacity to spare, or all zones are short at once. Of another zone's load, an
//! instance knows only the response times there. As with a congestion window, the number of
//! requests grows while answers come clearly sooner than from the own zone, by one with each
//! answer until the first reduction and by one with each window of answers after it, and is
//! halved when they come no sooner. Overflow thus goes where capacity is, and two zones do not
//! send to each other.

use std::time::Duration;

use tokio::time::Instant;

use crate::flow::load::capacity::Capacity;
use crate::flow::load::capacity::InProgress;

/// Load of the other zone at which an instance begins, counting the instances of all zones.
const INITIAL_LOAD: f64 = 1.5;

/// Response time relative to the own zone's below which the window grows. Between this and 1
/// it keeps its size, so that it does not oscillate around the point where both are equal.
const GROWTH_RATIO: f64 = 0.75;

/// Response time relative to the own zone's below which an answer is taken for the rejection
/// by a full server, which comes at once.
const REJECTION_RATIO: f64 = 0.25;

/// Part by which an answer that looks like a rejection lowers the response time, so that
/// requests which have become much shorter are learned in time.
const REJECTION_DECAY: f64 = 0.01;

/// Weight of a new sample in a smoothed response time.
const WEIGHT: f64 = 1.0 / 8.0;

/// Shortest time between two reductions: answers to requests of one window say the same.
const MIN_REDUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which the window has its initial size again: the load that it
/// was learned from has passed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Smoothed response time of a zone's servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseTime {
    seconds: Option<f64>,
}

impl ResponseTime {
    /// Adds an answer. Rejections are left out: they made a full zone look fast, so that its
    /// overflow went nowhere else.
    pub(crate) fn sample(&mut self, duration: Duration) {
        let sample = duration.as_secs_f64();
        let before = self.seconds.unwrap_or(sample);
        let change = match sample < before * REJECTION_RATIO {
            true => before * -REJECTION_DECAY,
            false => (sample - before) * WEIGHT,
        };
        self.seconds = Some(before + change);
    }

    /// The response time relative to another one; `None` before samples of both.
    fn relative_to(&self, other: &Self) -> Option<f64> {
        let other = other.seconds.filter(|seconds| *seconds > 0.0)?;
        self.seconds.map(|seconds| seconds / other)
    }
}

/// Limit of the requests in progress at another zone's servers of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    /// `None` for the initial size.
    size: Option<f64>,
    time: ResponseTime,
    answered_at: Option<Instant>,
    reduced_at: Option<Instant>,
}

impl Window {
    /// Whether the other zone may get one more request. `capacity` is that zone's, shared by
    /// the instances of all zones.
    pub(crate) fn has_room(&self, now: Instant, capacity: Capacity, requests: &InProgress) -> bool {
        capacity.slots > 0 && f64::from(requests.count()) < self.size(now, capacity)
    }

    fn size(&self, now: Instant, capacity: Capacity) -> f64 {
        let is_recent = self.answered_at.is_some_and(|at| now < at + MAX_IDLE_TIME);
        let initial = (INITIAL_LOAD * capacity.share()).max(1.0);
        self.size.filter(|_| is_recent).unwrap_or(initial)
    }

    /// Takes in an answer of the other zone; `local` is the own zone's response time.
    pub(crate) fn answered(
        &mut self,
        now: Instant,
        capacity: Capacity,
        response_time: Duration,
        local: &ResponseTime,
    ) {
        let mut sample = ResponseTime::default();
        sample.sample(response_time);
        if sample
            .relative_to(local)
            .is_none_or(|ratio| ratio < REJECTION_RATIO)
        {
            return;
        }
        let size = self.size(now, capacity);
        if self.answered_at.is_none_or(|at| now >= at + MAX_IDLE_TIME) {
            self.time = sample;
            self.reduced_at = None;
        }
        self.time.sample(response_time);
        self.answered_at = Some(now);
        self.size = Some(size);
        match self.time.relative_to(local) {
            Some(ratio) if ratio < GROWTH_RATIO => {
                let largest = f64::from(capacity.slots).max(1.0);
                let growth = match self.reduced_at {
                    None => 1.0,
                    Some(_) => 1.0 / size,
                };
                self.size = Some((size + growth).min(largest));
            }
            Some(ratio) if ratio > 1.0 => self.reduce(now, capacity),
            _ => {}
        }
    }

    /// Halves the window, after slow answers or a request that was not answered.
    pub(crate) fn reduce(&mut self, now: Instant, capacity: Capacity) {
        let is_due = |at: Instant| now >= at + MIN_REDUCTION_INTERVAL;
        if self.reduced_at.is_none_or(is_due) {
            self.reduced_at = Some(now);
            self.size = Some((self.size(now, capacity) / 2.0).max(1.0));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OTHER_ZONE: Capacity = Capacity {
        slots: 60,
        instances: 80,
    };

    fn ms(count: u64) -> Duration {
        Duration::from_millis(count)
    }

    fn steady(now: Instant, count: u32) -> InProgress {
        let mut requests = InProgress::default();
        requests.set(now, count);
        requests
    }

    fn local(duration: Duration) -> ResponseTime {
        let mut time = ResponseTime::default();
        time.sample(duration);
        time
    }

    /// The largest number of requests that the window admits after this many answers, one
    /// each 10 ms.
    fn admitted(window: &mut Window, begin: Instant, answers: u64, remote: u64, here: u64) -> u32 {
        let mut now = begin;
        for number in 0..answers {
            now = begin + ms(10 * number);
            window.answered(now, OTHER_ZONE, ms(remote), &local(ms(here)));
        }
        let admits = |count: &u32| window.has_room(now, OTHER_ZONE, &steady(now, *count));
        (0..100).take_while(admits).count() as u32
    }

    // Guards against another zone that gets more than it has room for from all instances.
    #[tokio::test(start_paused = true)]
    async fn another_zone_takes_openings_up_to_its_limit() {
        let now = Instant::now();
        let window = Window::default();
        assert!(window.has_room(now, OTHER_ZONE, &steady(now, 1)));
        assert!(!window.has_room(now, OTHER_ZONE, &steady(now, 2)));
        let none = Capacity {
            slots: 0,
            ..OTHER_ZONE
        };
        assert!(!window.has_room(now, none, &steady(now, 0)));
    }

    // Guards against a zone at its peak that refuses callers while another one is idle.
    #[tokio::test(start_paused = true)]
    async fn the_window_grows_while_answers_come_sooner_than_here() {
        let now = Instant::now();
        let mut window = Window::default();
        assert_eq!(admitted(&mut window, now, 10, 35, 70), 12);
    }

    // Guards against a window that grows past the capacity again right after a reduction.
    #[tokio::test(start_paused = true)]
    async fn the_window_grows_slowly_after_a_reduction() {
        let now = Instant::now();
        let mut window = Window::default();
        assert_eq!(admitted(&mut window, now, 20, 35, 70), 22);
        let reduced = admitted(&mut window, now + ms(200), 20, 90, 70);
        assert!(reduced <= 11, "{reduced}");
        let later = admitted(&mut window, now + ms(400), 40, 35, 70);
        assert!(later <= reduced + 6, "{reduced}, {later}");
    }

    // Guards against zones that send to each other while all are short.
    #[tokio::test(start_paused = true)]
    async fn the_window_shrinks_when_answers_come_no_sooner() {
        let now = Instant::now();
        let mut window = Window::default();
        assert!(admitted(&mut window, now, 100, 35, 70) > 10);
        let short = admitted(&mut window, now + ms(1_000), 100, 90, 70);
        assert_eq!(short, 1);
        let equal = admitted(&mut window, now + ms(2_000), 100, 68, 70);
        assert_eq!(equal, 1);
    }

    // Guards against rejections that look like an idle zone.
    #[tokio::test(start_paused = true)]
    async fn rejections_do_not_open_the_window() {
        let mut window = Window::default();
        assert_eq!(admitted(&mut window, Instant::now(), 100, 3, 70), 2);
    }

    // Guards against a full zone whose rejections make it look faster than the others.
    #[tokio::test(start_paused = true)]
    async fn rejections_do_not_shorten_the_own_response_time() {
        let mut here = local(ms(70));
        for _ in 0..20 {
            here.sample(ms(3));
            here.sample(ms(70));
        }
        let ratio = local(ms(50)).relative_to(&here).unwrap();
        assert!((0.7..0.8).contains(&ratio), "{ratio}");
    }

    // Guards against a window that is used long after its zone's load has changed.
    #[tokio::test(start_paused = true)]
    async fn an_idle_window_begins_anew() {
        let now = Instant::now();
        let mut window = Window::default();
        assert!(admitted(&mut window, now, 100, 35, 70) > 10);
        let later = now + ms(5_000);
        assert!(!window.has_room(later, OTHER_ZONE, &steady(later, 2)));
    }
}
