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
use crate::flow::StoreContact;
use crate::platform::poll::Batch;
use crate::platform::poll::Page;
use crate::platform::poll::Reader;
use crate::replica::Update;
use crate::replica::follow::FollowEnd;
use crate::replica::follow::Follower;
use crate::replica::register;
use crate::replica::store;

/// Transfer time on this instance's link above which the large value is polled
/// separately. At the fastest rate of change, a poll collects five versions. At this
/// transfer time each, they still take no longer than the pause between two polls.
const MAX_COMBINED_TRANSFER: Duration = Duration::from_millis(60);

/// Bytes that the store sends per byte of a value, which it encodes in base64.
const BASE64_OVERHEAD: f64 = 4.0 / 3.0;

/// How long after a change of the large value further changes are expected.
const CHANGE_WINDOW: Duration = Duration::from_secs(5);

/// State of polling the large value separately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LargeValueState {
    /// Revision up to which the large value is known, if it is later than the synced
    /// revision of the copy.
    synced_revision: u64,
    /// Revision up to which the operators' orders are known, if it is later than that of
    /// the copy.
    orders_revision: u64,
    /// When the value last changed here, or a poll for it last failed.
    changed: Option<Instant>,
}

impl LargeValueState {
    pub(super) fn note_change(&mut self, now: Instant) {
        self.changed = Some(now);
    }

    /// Whether only the newest version should be read.
    fn is_changing(&self, now: Instant) -> bool {
        self.changed.is_some_and(|at| now < at + CHANGE_WINDOW)
    }
}

/// Time for the response to a poll that found no changes, on a link with spare
/// capacity.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

type FollowResult<T> = std::result::Result<T, FollowEnd>;

/// Result of one of several polls.
struct PollResult {
    /// The prefix or key that was polled.
    key: &'static str,
    /// Time up to which the result is known to be complete.
    known_until: Instant,
    /// Whether the poll waited its full time and found no changes.
    is_idle: bool,
    /// `None` when the poll was not sent.
    batch: Option<Result<Batch>>,
}

/// Results of the polls of one round so far, by polled prefix or key.
#[derive(Default)]
struct PollRound {
    revisions: BTreeMap<&'static str, u64>,
    /// The latest failure of each poll that has not succeeded since.
    failures: BTreeMap<&'static str, Error>,
    has_changes: bool,
    is_large_done: bool,
    /// Whether the poll of the large value includes the orders.
    includes_orders: bool,
}

/// Polls of small values while the large value is polled separately.
struct SmallPolls<'a> {
    reader: &'a Reader,
    /// Prefix of the orders, which seldom change.
    orders_prefix: &'static str,
    /// Longest wait of a poll of the servers while the poll of the large value waits as
    /// well.
    servers_wait: Duration,
    /// Longest wait of a poll of the orders during that time.
    orders_wait: Duration,
    /// Longest wait of a poll while the large value is being transferred.
    transfer_wait: Duration,
    /// When the poll of the large value ends if it finds no changes.
    large_ends_at: Instant,
    /// Whether the poll of the large value has ended.
    is_large_done: watch::Receiver<bool>,
}

/// Whether reading the large value takes so long that it is polled separately.
pub(crate) fn is_slow_link(large: usize, bytes_per_second: f64) -> bool {
    let seconds = large as f64 * BASE64_OVERHEAD / bytes_per_second;
    seconds > MAX_COMBINED_TRANSFER.as_secs_f64()
}

impl Follower {
    /// Polls for changes after the synced revision.
    pub(super) async fn poll(&mut self, synced_revision: u64) -> FollowResult<()> {
        let key = self.sources.keys.config_key;
        let large = self
            .shared
            .with_copy(|copy| copy.get(key).map(|entry| entry.value.len()));
        let link = self.sources.me.link_mbps.bytes_per_second();
        if is_slow_link(large.unwrap_or_default(), link) {
            self.poll_separately(synced_revision).await
        } else {
            self.poll_all(synced_revision).await
        }
    }

    /// Polls all keys in one call.
    ///
    /// While the store is unreachable the poll does not wait, so that the first response
    /// after an outage arrives at once.
    async fn poll_all(&mut self, synced_revision: u64) -> FollowResult<()> {
        let wait = self.next_wait();
        let sent_at = Instant::now();
        let all = self.sources.keys.root_prefix;
        let batch = self.sources.reader.poll(all, synced_revision, wait).await?;
        let revision = batch.revision;
        let has_changes = self.apply_batch(batch, revision).await?;
        self.finish_poll(sent_at, wait, has_changes).await
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
    async fn poll_separately(&mut self, synced_revision: u64) -> FollowResult<()> {
        let sent_at = Instant::now();
        let reader = self.sources.reader.clone();
        let keys = self.sources.keys;
        // While nothing changes, one poll covers the large value and the orders.
        let operator_revision =
            synced_revision.max(self.large.synced_revision.min(self.large.orders_revision));
        let reads_newest = self.large.is_changing(sent_at);
        let timing = self.timing();
        let transfer_wait = timing.subscribed_wait / 3;
        let small_wait = self.next_wait();
        // Keys that seldom change are polled seldom: three polls of a third of a second
        // each made 2,400 calls a minute in an idle fleet of 24. All polls end before the
        // next round.
        let wait = match (small_wait.is_zero(), reads_newest) {
            (true, _) => Duration::ZERO,
            (false, true) => transfer_wait,
            (false, false) => timing.background_wait,
        };
        let (large_done, is_large_done) = watch::channel(false);
        let small_polls = SmallPolls {
            reader: &reader,
            orders_prefix: keys.evacuation_prefix,
            servers_wait: small_wait,
            orders_wait: wait,
            transfer_wait: transfer_wait.min(small_wait),
            large_ends_at: sent_at + wait,
            is_large_done,
        };
        let mut polls = FuturesUnordered::new();
        polls.push(
            small_polls
                .poll(keys.server_prefix, synced_revision, Duration::ZERO)
                .boxed(),
        );
        polls.push(poll_members(&reader, synced_revision, wait).boxed());
        let orders_pause = match reads_newest {
            true => Duration::ZERO,
            false => wait + RESPONSE_TIME,
        };
        polls.push(
            small_polls
                .poll(keys.evacuation_prefix, synced_revision, orders_pause)
                .boxed(),
        );
        let large = async {
            let sent_at = Instant::now();
            let batch = match reads_newest {
                true => read_newest(&reader, keys.config_key).await,
                false => {
                    reader
                        .poll(keys.operator_prefix, operator_revision, wait)
                        .await
                }
            };
            PollResult::new(keys.config_key, sent_at, wait, batch)
        };
        polls.push(large.boxed());
        let mut round = PollRound {
            includes_orders: !reads_newest,
            ..PollRound::default()
        };
        // A poll that is never sent advances no revision.
        round.revisions.extend([
            (keys.server_prefix, synced_revision),
            (keys.evacuation_prefix, synced_revision),
        ]);
        while let Some(result) = polls.next().await {
            let next = self
                .apply_result(result, synced_revision, &mut round)
                .await?;
            if round.is_large_done {
                large_done.send_replace(true);
            } else if let Some((prefix, after, pause)) = next {
                polls.push(small_polls.poll(prefix, after, pause).boxed());
            }
        }
        drop(polls);
        if let Some(error) = round.failures.into_values().next() {
            return Err(FollowEnd::Failed(error));
        }
        let lowest_revision = round.revisions.into_values().min();
        self.apply(Vec::new(), lowest_revision.unwrap_or(synced_revision))
            .await?;
        self.finish_poll(sent_at, wait, round.has_changes).await
    }

    /// Applies the result of one poll; returns the prefix to poll again, from which
    /// revision, and after which pause.
    async fn apply_result(
        &mut self,
        result: PollResult,
        synced_revision: u64,
        round: &mut PollRound,
    ) -> FollowResult<Option<(&'static str, u64, Duration)>> {
        let PollResult {
            key,
            known_until,
            is_idle,
            batch,
        } = result;
        let is_servers = key == self.sources.keys.server_prefix;
        let is_repeated = is_servers || key == self.sources.keys.evacuation_prefix;
        let is_large = key == self.sources.keys.config_key;
        round.is_large_done |= is_large;
        let gather_pause = self.timing().gather_pause;
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
                let after = round.revisions.get(key).copied().unwrap_or(synced_revision);
                return Ok(is_repeated.then_some((key, after, gather_pause)));
            }
        };
        let revision = batch.revision;
        if is_large {
            self.large.synced_revision = revision;
        }
        round.failures.remove(key);
        round.revisions.insert(key, revision);
        let orders = self.sources.keys.evacuation_prefix;
        if key == orders || is_large && round.includes_orders {
            self.large.orders_revision = revision.max(self.large.orders_revision);
            round.revisions.insert(orders, self.large.orders_revision);
        }
        round.has_changes |= self.apply_batch(batch, synced_revision).await?;
        if is_servers && round.failures.is_empty() {
            // While the large value is being transferred, the small values are known as of
            // their last poll, which counts as contact. The large value arrives as fast as
            // the link allows: if subscribers left this instance for being slow with it, they
            // would all read it from the store over their own links.
            self.shared.record_contact(known_until);
        }
        let pause = if is_idle {
            Duration::ZERO
        } else {
            gather_pause
        };
        Ok(is_repeated.then_some((key, revision, pause)))
    }

    pub(super) async fn apply_batch(&mut self, batch: Batch, revision: u64) -> FollowResult<bool> {
        for refusal in batch.unreadable {
            self.sender.send(Update::Refused(refusal)).await?;
        }
        let has_changes = !batch.changes.is_empty();
        self.apply(batch.changes, revision).await?;
        Ok(has_changes)
    }

    async fn finish_poll(
        &mut self,
        sent_at: Instant,
        wait: Duration,
        has_changes: bool,
    ) -> FollowResult<()> {
        self.had_changes = has_changes;
        // A poll that found no changes was answered no earlier than the end of its wait.
        let waited = if has_changes { Duration::ZERO } else { wait };
        let until = sent_at + waited.min(sent_at.elapsed());
        // Small values may have been polled again while the large one was transferred.
        let until = self.shared.contact().map_or(until, |at| at.max(until));
        self.record_answer(StoreContact {
            from: sent_at,
            until,
        })
        .await?;
        store::pause_after_poll(&self.timing(), sent_at, wait, has_changes).await;
        Ok(())
    }

    /// How long the next poll may wait.
    ///
    /// The result of a poll that brought changes is only as fresh as its request, so the
    /// next poll is kept short. That keeps an upstream's age below
    /// [`crate::replica::PollTiming::max_age`], although polls without changes wait for half
    /// as long. It also applies without subscribers: an instance that subscribed in the
    /// middle of a longer poll would find the copy too old and leave again.
    fn next_wait(&self) -> Duration {
        let timing = self.timing();
        match self.is_store_silent {
            true => Duration::ZERO,
            false if self.had_changes => timing.subscribed_wait / 3,
            false => timing.subscribed_wait,
        }
    }
}

impl PollResult {
    fn new(key: &'static str, sent_at: Instant, wait: Duration, batch: Result<Batch>) -> Self {
        let is_idle = batch.as_ref().is_ok_and(|batch| batch.changes.is_empty());
        let waited = if is_idle { wait } else { Duration::ZERO };
        Self {
            key,
            known_until: sent_at + waited.min(sent_at.elapsed()),
            // A store that responds at once without a change would be polled in a busy loop.
            is_idle: is_idle && sent_at.elapsed() >= wait / 2 && !wait.is_zero(),
            batch: Some(batch),
        }
    }

    fn unsent(key: &'static str) -> Self {
        Self {
            key,
            known_until: Instant::now(),
            is_idle: false,
            batch: None,
        }
    }
}

impl SmallPolls<'_> {
    /// Polls a prefix after a pause, unless the poll of the large value has ended by
    /// then.
    async fn poll(&self, prefix: &'static str, after: u64, pause: Duration) -> PollResult {
        let mut is_large_done = self.is_large_done.clone();
        let is_unneeded = tokio::select! {
            biased;
            // The sender lives as long as the polls.
            _ = is_large_done.wait_for(|is_large_done| *is_large_done) => true,
            () = time::sleep(pause) => false,
        };
        if is_unneeded {
            return PollResult::unsent(prefix);
        }
        let sent_at = Instant::now();
        let wait = self.wait_at(sent_at, prefix);
        let batch = self.reader.poll(prefix, after, wait).await;
        PollResult::new(prefix, sent_at, wait, batch)
    }

    /// How long a poll may wait: no longer than the poll of the large value, so that the next
    /// round is not delayed.
    fn wait_at(&self, now: Instant, prefix: &str) -> Duration {
        let left = self.large_ends_at.saturating_duration_since(now);
        let longest = match prefix == self.orders_prefix {
            true => self.orders_wait,
            false => self.servers_wait,
        };
        left.min(longest).max(self.transfer_wait)
    }
}

async fn poll_members(reader: &Reader, after: u64, wait: Duration) -> PollResult {
    let sent_at = Instant::now();
    let batch = reader.poll(register::PREFIX, after, wait).await;
    PollResult::new(register::PREFIX, sent_at, wait, batch)
}

/// Reads the newest version and returns it as the result of a poll.
async fn read_newest(reader: &Reader, key: &str) -> Result<Batch> {
    let page: Page = match reader.get(key).await {
        Ok(page) => page,
        // The deletion was written as a change, which a poll returns.
        Err(Error::Refused { .. }) => {
            let first = reader.first_revision();
            return reader.poll(key, first.0, Duration::ZERO).await;
        }
        Err(error) => return Err(error),
    };
    let changes = page.entries.into_iter().map(crate::platform::Change::Put);
    Ok(Batch {
        changes: changes.collect(),
        unreadable: page.unreadable,
        revision: page.revision,
    })
}
