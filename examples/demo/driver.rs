//! A driver: keeps a route feed open and books pickups.

use std::time::Duration;

use coap_lite::RequestType;
use standin::caller::Caller;
use standin::caller::Feed;
use standin::caller::Outcome;
use standin::caller::Update;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::failure::Failure;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(12);

/// Pause between two bookings of a driver.
const BOOKING_PAUSE: Duration = Duration::from_millis(150);

/// Time between two notifications above which the pause counts as a gap.
const GAP_THRESHOLD: Duration = Duration::from_secs(1);

/// Time without a notification after which the feed counts as broken.
const FEED_TIMEOUT: Duration = Duration::from_secs(8);

/// A booking and its outcome.
pub(crate) struct Booking {
    pub(crate) payload: String,
    pub(crate) outcome: Outcome,
}

/// What a driver observed of its feed.
#[derive(Clone, Default)]
pub(crate) struct FeedStats {
    pub(crate) server: String,
    pub(crate) notifications: u64,
    pub(crate) missed: u64,
    pub(crate) moves: u64,
    pub(crate) gaps: u64,
    pub(crate) longest_wait: Duration,
}

/// The results of a driver: its feed and its bookings.
pub(crate) struct DriverReport {
    pub(crate) name: &'static str,
    pub(crate) feed: FeedStats,
    pub(crate) bookings: Vec<Booking>,
}

/// A running driver.
pub(crate) struct Driver {
    name: &'static str,
    caller: Caller,
    stop: CancellationToken,
    feed_stats: watch::Sender<FeedStats>,
}

impl Driver {
    /// Creates a driver that runs until `stop` is cancelled.
    pub(crate) fn new(name: &'static str, caller: Caller, stop: CancellationToken) -> Self {
        Self {
            name,
            caller,
            stop,
            feed_stats: watch::Sender::default(),
        }
    }

    /// The statistics of its feed, updated while the driver runs.
    pub(crate) fn feed_stats(&self) -> watch::Receiver<FeedStats> {
        self.feed_stats.subscribe()
    }

    /// Follows the feed and books pickups until `stop` is cancelled.
    pub(crate) async fn run(self) -> Result<DriverReport, Failure> {
        let opened = self.caller.observe("/route", DEADLINE).await;
        let feed = opened.map_err(|outcome| {
            Failure::Violation(format!("{}: cannot open the feed: {outcome:?}", self.name))
        })?;
        let (followed, bookings) = tokio::join!(self.follow(feed), self.book());
        followed?;
        Ok(DriverReport {
            name: self.name,
            feed: self.feed_stats.borrow().clone(),
            bookings,
        })
    }

    async fn follow(&self, mut feed: Feed) -> Result<(), Failure> {
        let mut last_notification = Instant::now();
        while !self.stop.is_cancelled() {
            match feed.next(FEED_TIMEOUT).await {
                Update::Notification { .. } => {
                    self.record_notification(&feed, last_notification.elapsed())
                }
                other => {
                    let reason = format!("{}: the feed failed: {other:?}", self.name);
                    return Err(Failure::Violation(reason));
                }
            }
            last_notification = Instant::now();
        }
        Ok(())
    }

    fn record_notification(&self, feed: &Feed, wait: Duration) {
        self.feed_stats.send_modify(|feed_stats| {
            feed_stats.server = feed.server().unwrap_or("?").to_owned();
            feed_stats.notifications += 1;
            feed_stats.missed = feed.missed();
            feed_stats.moves = feed.moves();
            feed_stats.gaps += u64::from(wait > GAP_THRESHOLD);
            feed_stats.longest_wait = feed_stats.longest_wait.max(wait);
        });
    }

    async fn book(&self) -> Vec<Booking> {
        let mut bookings = Vec::new();
        while !self.stop.is_cancelled() {
            let payload = format!("{}-{}", self.name, bookings.len());
            let outcome = self
                .caller
                .request(RequestType::Post, "/pickup", payload.as_bytes(), DEADLINE)
                .await;
            bookings.push(Booking { payload, outcome });
            sleep(BOOKING_PAUSE).await;
        }
        bookings
    }
}
