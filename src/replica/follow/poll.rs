//! Polls of the store: one call for everything, or several calls where a large value
//! would delay the small ones.
//!
//! A poll returns each version of each key since the last one. Load pattern: a
//! configuration of hundreds of kilobytes changes a dozen times a second, and this
//! instance's link takes a fifth of a second or more for each version. Responses then
//! take longer than the interval between changes, the copy grows ever older, and the
//! states that servers report wait behind obsolete versions. On such a link the servers
//! are therefore polled separately, and once the large value has begun to change, only
//! its newest version is read.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::flow::Contact;
use crate::platform::poll::Batch;
use crate::platform::poll::Page;
use crate::platform::poll::Reader;
use crate::replica::Update;
use crate::replica::follow::End;
use crate::replica::follow::Follower;
use crate::replica::register;
use crate::replica::store;

/// Transfer time on this instance's link above which the large value is polled
/// separately. At the fastest rate of change, a poll collects five versions. At this
/// transfer time each, they still take no longer than the pause between two polls.
const MOST_TRANSFER: Duration = Duration::from_millis(60);

/// Bytes that the store sends per byte of a value, which it encodes in base64.
const SPELLING: f64 = 4.0 / 3.0;

/// How long after a change of the large value further changes are expected.
const CHANGING: Duration = Duration::from_secs(5);

/// State of polling the large value separately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Large {
    /// Revision up to which the large value is known, if it is later than the synced
    /// revision of the copy.
    horizon: u64,
    /// Revision up to which the operators' orders are known, if it is later than that of
    /// the copy.
    orders: u64,
    /// When the value last changed here, or a poll for it last failed.
    changed: Option<Instant>,
}

impl Large {
    pub(super) fn note_change(&mut self, now: Instant) {
        self.changed = Some(now);
    }

    /// Whether only the newest version should be read.
    fn is_changing(&self, now: Instant) -> bool {
        self.changed.is_some_and(|at| now < at + CHANGING)
    }
}

/// Time for the response to a poll that found no changes, on a link with spare
/// capacity.
const ANSWER: Duration = Duration::from_millis(100);

type Outcome<T> = std::result::Result<T, End>;

/// Result of one of several polls.
struct Polled {
    /// The prefix or key that was polled.
    key: &'static str,
    /// Time up to which the result is known to be complete.
    known: Instant,
    /// Whether the poll waited its full time and found no changes.
    is_vain: bool,
    /// `None` when the poll was not sent.
    batch: Option<Result<Batch>>,
}

/// Results of the polls of one round so far, by polled prefix or key.
#[derive(Default)]
struct Round {
    reached: BTreeMap<&'static str, u64>,
    /// The latest failure of each poll that has not succeeded since.
    failures: BTreeMap<&'static str, Error>,
    has_changes: bool,
    is_large_over: bool,
    /// Whether the poll of the large value includes the orders.
    has_orders: bool,
}

/// Polls of small values while the large value is polled separately.
struct Again<'a> {
    reader: &'a Reader,
    /// Prefix of the orders, which seldom change.
    orders: &'static str,
    /// Longest wait of a poll of the servers while the poll of the large value waits as
    /// well.
    wait: Duration,
    /// Longest wait of a poll of the orders during that time.
    seldom: Duration,
    /// Longest wait of a poll while the large value is being transferred.
    short: Duration,
    /// When the poll of the large value ends if it finds no changes.
    ends: Instant,
    /// Whether the poll of the large value has ended.
    is_over: watch::Receiver<bool>,
}

/// Whether reading the large value takes so long that it is polled separately.
pub(crate) fn is_thin(large: usize, bytes_per_second: f64) -> bool {
    let seconds = large as f64 * SPELLING / bytes_per_second;
    seconds > MOST_TRANSFER.as_secs_f64()
}

impl Follower {
    /// Polls for changes after the synced revision.
    pub(super) async fn poll(&mut self, horizon: u64) -> Outcome<()> {
        let key = self.sources.keys.large;
        let large = self
            .shared
            .look(|copy| copy.get(key).map(|entry| entry.value.len()));
        let link = self.sources.me.link_mbps.bytes_per_second();
        if is_thin(large.unwrap_or_default(), link) {
            self.poll_apart(horizon).await
        } else {
            self.poll_all(horizon).await
        }
    }

    /// While the store is unreachable the poll does not wait, so that the first response
    /// after an outage arrives at once.
    async fn poll_all(&mut self, horizon: u64) -> Outcome<()> {
        let wait = self.wait();
        let asked = Instant::now();
        let all = self.sources.keys.all;
        let batch = self.sources.reader.poll(all, horizon, wait).await?;
        let revision = batch.revision;
        let has_changes = self.take_batch(batch, revision).await?;
        self.end_poll(asked, wait, has_changes).await
    }

    /// Polls servers, orders and members in parallel with the large value, and applies
    /// each result as it arrives.
    ///
    /// Orders are included in the poll of the large value. They are polled separately if
    /// only the newest version of that value is read, or if its poll has not returned at
    /// the end of its wait. Small values are polled again for as long as the large value
    /// is being transferred. On a 1 Mbit/s link that takes 7.5 s for a configuration of
    /// 4,250 routes; without further polls, a server that drained meanwhile received new
    /// flows until the end of the transfer.
    async fn poll_apart(&mut self, horizon: u64) -> Outcome<()> {
        let asked = Instant::now();
        let reader = self.sources.reader.clone();
        let keys = self.sources.keys;
        // While nothing changes, one poll covers both.
        let both_from = horizon.max(self.large.horizon.min(self.large.orders));
        let newest = self.large.is_changing(asked);
        let pace = self.sources.pace;
        let short = pace.wait_for_others / 3;
        let small_wait = self.wait();
        // Keys that seldom change are polled seldom: three polls of a third of a second
        // each made 2,400 calls a minute in an idle fleet of 24. All polls end before the
        // next round.
        let wait = match (small_wait.is_zero(), newest) {
            (true, _) => Duration::ZERO,
            (false, true) => short,
            (false, false) => pace.wait,
        };
        let (over, is_over) = watch::channel(false);
        let again = Again {
            reader: &reader,
            orders: keys.orders,
            wait: small_wait,
            seldom: wait,
            short: short.min(small_wait),
            ends: asked + wait,
            is_over,
        };
        let mut polls = FuturesUnordered::new();
        polls.push(again.poll(keys.small, horizon, Duration::ZERO).boxed());
        polls.push(poll_members(&reader, horizon, wait).boxed());
        let orders_after = match newest {
            true => Duration::ZERO,
            false => wait + ANSWER,
        };
        polls.push(again.poll(keys.orders, horizon, orders_after).boxed());
        let large = async {
            let asked = Instant::now();
            let batch = match newest {
                true => read_newest(&reader, keys.large).await,
                false => reader.poll(keys.operators, both_from, wait).await,
            };
            Polled::new(keys.large, asked, wait, batch)
        };
        polls.push(large.boxed());
        let mut round = Round {
            has_orders: !newest,
            ..Round::default()
        };
        // A poll that is never sent advances no revision.
        round
            .reached
            .extend([(keys.small, horizon), (keys.orders, horizon)]);
        while let Some(polled) = polls.next().await {
            let next = self.take_polled(polled, horizon, &mut round).await?;
            if round.is_large_over {
                over.send_replace(true);
            } else if let Some((prefix, after, pause)) = next {
                polls.push(again.poll(prefix, after, pause).boxed());
            }
        }
        drop(polls);
        if let Some(error) = round.failures.into_values().next() {
            return Err(End::Failed(error));
        }
        let reached = round.reached.into_values().min();
        self.apply(Vec::new(), reached.unwrap_or(horizon)).await?;
        self.end_poll(asked, wait, round.has_changes).await
    }

    /// Applies the result of one poll; returns the prefix to poll again, from which
    /// revision, and after which pause.
    async fn take_polled(
        &mut self,
        polled: Polled,
        horizon: u64,
        round: &mut Round,
    ) -> Outcome<Option<(&'static str, u64, Duration)>> {
        let Polled {
            key,
            known,
            is_vain,
            batch,
        } = polled;
        let is_small = key == self.sources.keys.small;
        let is_repeated = is_small || key == self.sources.keys.orders;
        let is_large = key == self.sources.keys.large;
        round.is_large_over |= is_large;
        let gather = self.sources.pace.gather;
        let batch = match batch {
            // The poll of the large value ended before this one was sent.
            None => return Ok(None),
            Some(Ok(batch)) => batch,
            Some(Err(error)) => {
                if is_large {
                    // The cause may be that there were too many versions to transfer.
                    self.large.note_change(Instant::now());
                }
                round.failures.insert(key, error);
                let after = round.reached.get(key).copied().unwrap_or(horizon);
                return Ok(is_repeated.then_some((key, after, gather)));
            }
        };
        let revision = batch.revision;
        if is_large {
            self.large.horizon = revision;
        }
        round.failures.remove(key);
        round.reached.insert(key, revision);
        let orders = self.sources.keys.orders;
        if key == orders || is_large && round.has_orders {
            self.large.orders = revision.max(self.large.orders);
            round.reached.insert(orders, self.large.orders);
        }
        round.has_changes |= self.take_batch(batch, horizon).await?;
        if is_small && round.failures.is_empty() {
            // While the large value is being transferred, the small values are known as of
            // their last poll, which counts as contact. The large value arrives as fast as
            // the link allows: if subscribers left this instance for being slow with it, they
            // would all read it from the store over their own links.
            self.shared.touch(known);
        }
        let pause = if is_vain { Duration::ZERO } else { gather };
        Ok(is_repeated.then_some((key, revision, pause)))
    }

    pub(super) async fn take_batch(&mut self, batch: Batch, revision: u64) -> Outcome<bool> {
        for refusal in batch.refused {
            self.sender.send(Update::Refused(refusal)).await?;
        }
        let has_changes = !batch.changes.is_empty();
        self.apply(batch.changes, revision).await?;
        Ok(has_changes)
    }

    async fn end_poll(&mut self, asked: Instant, wait: Duration, has_changes: bool) -> Outcome<()> {
        self.had_changes = has_changes;
        // A poll that found no changes was answered no earlier than the end of its wait.
        let waited = if has_changes { Duration::ZERO } else { wait };
        let until = asked + waited.min(asked.elapsed());
        // Small values may have been polled again while the large one was transferred.
        let until = self.shared.contact().map_or(until, |at| at.max(until));
        self.answered(Contact { from: asked, until }).await?;
        store::pause(&self.sources.pace, asked, wait, has_changes).await;
        Ok(())
    }

    /// How long the next poll may wait.
    ///
    /// The result of a poll that brought changes is only as fresh as its request, so the
    /// next poll is kept short. That keeps an upstream's age below
    /// [`crate::replica::Pace::most_age`], although polls without changes wait for half
    /// as long. It also applies without subscribers: an instance that subscribed in the
    /// middle of a longer poll would find the copy too old and leave again.
    fn wait(&self) -> Duration {
        let pace = self.sources.pace;
        match self.is_silent {
            true => Duration::ZERO,
            false if self.had_changes => pace.wait_for_others / 3,
            false => pace.wait_for_others,
        }
    }
}

impl Polled {
    fn new(key: &'static str, asked: Instant, wait: Duration, batch: Result<Batch>) -> Self {
        let is_vain = batch.as_ref().is_ok_and(|batch| batch.changes.is_empty());
        let waited = if is_vain { wait } else { Duration::ZERO };
        Self {
            key,
            known: asked + waited.min(asked.elapsed()),
            // A store that responds at once without a change would be polled in a busy loop.
            is_vain: is_vain && asked.elapsed() >= wait / 2 && !wait.is_zero(),
            batch: Some(batch),
        }
    }

    fn unsent(key: &'static str) -> Self {
        Self {
            key,
            known: Instant::now(),
            is_vain: false,
            batch: None,
        }
    }
}

impl Again<'_> {
    /// Polls a prefix after a pause, unless the poll of the large value has ended by
    /// then.
    async fn poll(&self, prefix: &'static str, after: u64, pause: Duration) -> Polled {
        let mut is_over = self.is_over.clone();
        let is_needless = tokio::select! {
            biased;
            // The sender lives as long as the polls.
            _ = is_over.wait_for(|is_over| *is_over) => true,
            () = time::sleep(pause) => false,
        };
        if is_needless {
            return Polled::unsent(prefix);
        }
        let asked = Instant::now();
        let wait = self.wait_from(asked, prefix);
        let batch = self.reader.poll(prefix, after, wait).await;
        Polled::new(prefix, asked, wait, batch)
    }

    /// Waits no longer than the poll of the large value, so that the next round is not
    /// delayed.
    fn wait_from(&self, now: Instant, prefix: &str) -> Duration {
        let left = self.ends.saturating_duration_since(now);
        let longest = match prefix == self.orders {
            true => self.seldom,
            false => self.wait,
        };
        left.min(longest).max(self.short)
    }
}

async fn poll_members(reader: &Reader, after: u64, wait: Duration) -> Polled {
    let asked = Instant::now();
    let batch = reader.poll(register::PREFIX, after, wait).await;
    Polled::new(register::PREFIX, asked, wait, batch)
}

/// Reads the newest version and returns it as the result of a poll.
async fn read_newest(reader: &Reader, key: &str) -> Result<Batch> {
    let page: Page = match reader.item(key).await {
        Ok(page) => page,
        // The deletion was written as a change, which a poll returns.
        Err(Error::Refused { .. }) => return reader.poll(key, 0, Duration::ZERO).await,
        Err(error) => return Err(error),
    };
    let changes = page.entries.into_iter().map(crate::platform::Change::Put);
    Ok(Batch {
        changes: changes.collect(),
        refused: page.refused,
        revision: page.revision,
    })
}
