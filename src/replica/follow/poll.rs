//! Polling the store: everything in one call, or in several where a large value
//! would hold up the small ones.
//!
//! A poll brings each version of each key since the last one. Load pattern: a
//! configuration of hundreds of kilobytes changes a dozen times a second, and this
//! instance's link takes a fifth of a second or more for each of them. Then the
//! answers take longer than the changes, the copy grows old without end, and what
//! servers say of themselves stands behind versions that nobody needs. So on such
//! a link the servers are polled by themselves, and the large value is read at its
//! newest once it has begun to change.

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
use crate::flow::StoreContact;
use crate::platform::poll::Batch;
use crate::platform::poll::Page;
use crate::platform::poll::Reader;
use crate::replica::Update;
use crate::replica::follow::End;
use crate::replica::follow::Follower;
use crate::replica::register;
use crate::replica::store;

/// Time on this instance's link beyond which the large value is polled apart. Five
/// versions gather in a poll when they come fastest; at this time each they still
/// take no longer than the pause between two polls.
const MOST_TRANSFER: Duration = Duration::from_millis(60);

/// Bytes that the store sends for a value, as a multiple of the value's.
const SPELLING: f64 = 4.0 / 3.0;

/// How long after a change of the large value further ones are expected.
const CHANGING: Duration = Duration::from_secs(5);

/// The large value, as far as polling it apart needs to know.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Large {
    /// Revision up to which it is known, if later than the copy's horizon.
    horizon: u64,
    /// The same of the operators' orders.
    orders: u64,
    /// When it last changed here, or a poll for it failed.
    changed: Option<Instant>,
}

impl Large {
    pub(super) fn note_change(&mut self, now: Instant) {
        self.changed = Some(now);
    }

    /// Whether only its newest version should be read.
    fn is_changing(&self, now: Instant) -> bool {
        self.changed.is_some_and(|at| now < at + CHANGING)
    }
}

/// Time in which the answer to a poll that waited in vain comes, on a link with room.
const ANSWER: Duration = Duration::from_millis(100);

type Outcome<T> = std::result::Result<T, End>;

/// What one of several polls has brought.
struct Polled {
    /// What was polled: a prefix of small ones, or the large one's key.
    key: &'static str,
    /// Up to when nothing newer is known to have been there.
    known: Instant,
    /// Whether it waited for what did not come.
    is_vain: bool,
    /// `None` when the poll was not sent.
    batch: Option<Result<Batch>>,
}

/// What the polls of one round have brought so far, by what was polled.
#[derive(Default)]
struct Round {
    reached: BTreeMap<&'static str, u64>,
    /// The last failures that nothing came after.
    failures: BTreeMap<&'static str, Error>,
    has_changes: bool,
    is_large_over: bool,
    /// Whether the poll of the large value brings orders as well.
    has_orders: bool,
}

/// How small values are polled beside the large one.
struct Again<'a> {
    reader: &'a Reader,
    /// Prefix of what changes seldom.
    orders: &'static str,
    /// Longest wait of a poll of the servers while the large one waits, too.
    wait: Duration,
    /// The same of a poll of what changes seldom.
    seldom: Duration,
    /// The same while the large one is on its way.
    short: Duration,
    /// When the poll of the large one ends if it waits in vain.
    ends: Instant,
    /// Whether the large one has ended.
    is_over: watch::Receiver<bool>,
}

/// Whether reading the large value takes so long that it is polled apart.
pub(crate) fn is_thin(large: usize, bytes_per_second: f64) -> bool {
    let seconds = large as f64 * SPELLING / bytes_per_second;
    seconds > MOST_TRANSFER.as_secs_f64()
}

impl Follower {
    /// Polls for what has come after the horizon.
    pub(super) async fn poll(&mut self, horizon: u64) -> Outcome<()> {
        let key = self.sources.keys.config_key;
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

    /// While the store is silent the poll does not wait, so that the first
    /// answer after an outage comes at once.
    async fn poll_all(&mut self, horizon: u64) -> Outcome<()> {
        let wait = self.wait();
        let asked = Instant::now();
        let all = self.sources.keys.root_prefix;
        let batch = self.sources.reader.poll(all, horizon, wait).await?;
        let revision = batch.revision;
        let has_changes = self.take_batch(batch, revision).await?;
        self.end_poll(asked, wait, has_changes).await
    }

    /// Polls servers, orders and members beside the large value; what comes first
    /// counts first.
    ///
    /// Orders come with the large one, unless that is read at its newest or does not come
    /// when its poll's wait is over. What is small is polled again for as long as the
    /// large one is on its way. On a
    /// link of 1 Mbit/s that takes 7.5 s for a configuration of 4,250 routes; a server that
    /// drained meanwhile got new flows until it was over.
    async fn poll_apart(&mut self, horizon: u64) -> Outcome<()> {
        let asked = Instant::now();
        let reader = self.sources.reader.clone();
        let keys = self.sources.keys;
        // One poll brings both while nothing changes.
        let both_from = horizon.max(self.large.horizon.min(self.large.orders));
        let newest = self.large.is_changing(asked);
        let pace = self.sources.timing;
        let short = pace.subscribed_wait / 3;
        let small_wait = self.wait();
        // What changes seldom is asked for seldom: three polls a third of a second long
        // made 2,400 calls a minute in a calm fleet of 24. All end before the next round.
        let wait = match (small_wait.is_zero(), newest) {
            (true, _) => Duration::ZERO,
            (false, true) => short,
            (false, false) => pace.background_wait,
        };
        let (over, is_over) = watch::channel(false);
        let again = Again {
            reader: &reader,
            orders: keys.evacuation_prefix,
            wait: small_wait,
            seldom: wait,
            short: short.min(small_wait),
            ends: asked + wait,
            is_over,
        };
        let mut polls = FuturesUnordered::new();
        polls.push(
            again
                .poll(keys.server_prefix, horizon, Duration::ZERO)
                .boxed(),
        );
        polls.push(poll_members(&reader, horizon, wait).boxed());
        let orders_after = match newest {
            true => Duration::ZERO,
            false => wait + ANSWER,
        };
        polls.push(
            again
                .poll(keys.evacuation_prefix, horizon, orders_after)
                .boxed(),
        );
        let large = async {
            let asked = Instant::now();
            let batch = match newest {
                true => read_newest(&reader, keys.config_key).await,
                false => reader.poll(keys.operator_prefix, both_from, wait).await,
            };
            Polled::new(keys.config_key, asked, wait, batch)
        };
        polls.push(large.boxed());
        let mut round = Round {
            has_orders: !newest,
            ..Round::default()
        };
        // A poll that is never sent has reached nothing.
        round.reached.extend([
            (keys.server_prefix, horizon),
            (keys.evacuation_prefix, horizon),
        ]);
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

    /// Takes what one poll has brought; says what is polled again, from where, and
    /// after which pause.
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
        let is_small = key == self.sources.keys.server_prefix;
        let is_repeated = is_small || key == self.sources.keys.evacuation_prefix;
        let is_large = key == self.sources.keys.config_key;
        round.is_large_over |= is_large;
        let gather = self.sources.timing.gather_pause;
        let batch = match batch {
            // The large one was over before this one was sent.
            None => return Ok(None),
            Some(Ok(batch)) => batch,
            Some(Err(error)) => {
                if is_large {
                    // Perhaps there was too much of it.
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
        let orders = self.sources.keys.evacuation_prefix;
        if key == orders || is_large && round.has_orders {
            self.large.orders = revision.max(self.large.orders);
            round.reached.insert(orders, self.large.orders);
        }
        round.has_changes |= self.take_batch(batch, horizon).await?;
        if is_small && round.failures.is_empty() {
            // While the large value is on its way, what is small is known as of its last
            // poll. Of the large one as much has come as the link brings: an instance
            // that is left for being slow with it makes all that follow it read it over
            // links of their own.
            self.shared.touch(known);
        }
        let pause = if is_vain { Duration::ZERO } else { gather };
        Ok(is_repeated.then_some((key, revision, pause)))
    }

    pub(super) async fn take_batch(&mut self, batch: Batch, revision: u64) -> Outcome<bool> {
        for refusal in batch.unreadable {
            self.sender.send(Update::Refused(refusal)).await?;
        }
        let has_changes = !batch.changes.is_empty();
        self.apply(batch.changes, revision).await?;
        Ok(has_changes)
    }

    async fn end_poll(&mut self, asked: Instant, wait: Duration, has_changes: bool) -> Outcome<()> {
        self.had_changes = has_changes;
        // A poll that waited in vain was answered no earlier than its wait's end.
        let waited = if has_changes { Duration::ZERO } else { wait };
        let until = asked + waited.min(asked.elapsed());
        // Small values may have been polled again beside a large one.
        let until = self.shared.contact().map_or(until, |at| at.max(until));
        self.answered(StoreContact { from: asked, until }).await?;
        store::pause(&self.sources.timing, asked, wait, has_changes).await;
        Ok(())
    }

    /// How long the next poll may wait.
    ///
    /// A poll that brought changes is known to be as fresh as its question only,
    /// so that the one after it is kept short: an upstream's age stays below
    /// [`crate::replica::PollTiming::max_age`] although polls without changes wait for
    /// half as long. That holds also while nobody subscribes: whoever begins to in the
    /// middle of a longer poll would find the copy too old and leave again.
    fn wait(&self) -> Duration {
        let pace = self.sources.timing;
        match self.is_silent {
            true => Duration::ZERO,
            false if self.had_changes => pace.subscribed_wait / 3,
            false => pace.subscribed_wait,
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
            // A store that answers at once without a change would be asked without end.
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
    /// Polls what is under a prefix after a pause, unless the large one is over by then.
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

    /// No longer than the large one waits, so that the next round is not held up.
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

/// Reads the newest version, as a poll would have brought it.
async fn read_newest(reader: &Reader, key: &str) -> Result<Batch> {
    let page: Page = match reader.get(key).await {
        Ok(page) => page,
        // Whoever deleted it wrote that as a change, which a poll brings.
        Err(Error::Refused { .. }) => return reader.poll(key, 0, Duration::ZERO).await,
        Err(error) => return Err(error),
    };
    let changes = page.entries.into_iter().map(crate::platform::Change::Put);
    Ok(Batch {
        changes: changes.collect(),
        unreadable: page.unreadable,
        revision: page.revision,
    })
}
