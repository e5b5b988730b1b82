//! A driver: holds a route feed open and books pickups.

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

/// Time for one answer.
const DEADLINE: Duration = Duration::from_secs(12);

/// Time between two bookings of one driver.
const BOOK_EVERY: Duration = Duration::from_millis(150);

/// A notification that comes later than this after the one before is a gap.
const GAP: Duration = Duration::from_secs(1);

/// A feed that is silent for this long is broken.
const BROKEN: Duration = Duration::from_secs(8);

/// A booking and how it ended.
pub(crate) struct Booking {
    pub(crate) payload: String,
    pub(crate) outcome: Outcome,
}

/// What a driver saw of its feed.
#[derive(Clone, Default)]
pub(crate) struct Watched {
    pub(crate) server: String,
    pub(crate) notifications: u64,
    pub(crate) missed: u64,
    pub(crate) moves: u64,
    pub(crate) gaps: u64,
    pub(crate) longest: Duration,
}

/// What a driver saw in all.
pub(crate) struct Tally {
    pub(crate) name: &'static str,
    pub(crate) feed: Watched,
    pub(crate) bookings: Vec<Booking>,
}

/// A driver at work.
pub(crate) struct Driver {
    name: &'static str,
    caller: Caller,
    stop: CancellationToken,
    watched: watch::Sender<Watched>,
}

impl Driver {
    /// A driver that works until it is told to stop.
    pub(crate) fn new(name: &'static str, caller: Caller, stop: CancellationToken) -> Self {
        Self {
            name,
            caller,
            stop,
            watched: watch::Sender::default(),
        }
    }

    /// What it sees of its feed while it works.
    pub(crate) fn watched(&self) -> watch::Receiver<Watched> {
        self.watched.subscribe()
    }

    /// Works until it is told to stop.
    pub(crate) async fn work(self) -> Result<Tally, Failure> {
        let opened = self.caller.observe("/route", DEADLINE).await;
        let feed = opened.map_err(|outcome| {
            Failure::Broken(format!("{}: no feed, but {outcome:?}", self.name))
        })?;
        let (fed, bookings) = tokio::join!(self.follow(feed), self.book());
        fed?;
        Ok(Tally {
            name: self.name,
            feed: self.watched.borrow().clone(),
            bookings,
        })
    }

    async fn follow(&self, mut feed: Feed) -> Result<(), Failure> {
        let mut heard = Instant::now();
        while !self.stop.is_cancelled() {
            match feed.next(BROKEN).await {
                Update::Notification { .. } => self.note(&feed, heard.elapsed()),
                other => {
                    let reason = format!("{}: the feed broke: {other:?}", self.name);
                    return Err(Failure::Broken(reason));
                }
            }
            heard = Instant::now();
        }
        Ok(())
    }

    fn note(&self, feed: &Feed, wait: Duration) {
        self.watched.send_modify(|watched| {
            watched.server = feed.server().unwrap_or("?").to_owned();
            watched.notifications += 1;
            watched.missed = feed.missed();
            watched.moves = feed.moves();
            watched.gaps += u64::from(wait > GAP);
            watched.longest = watched.longest.max(wait);
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
            sleep(BOOK_EVERY).await;
        }
        bookings
    }
}
