//! Search for a copy among other instances while the store does not respond.
//!
//! The candidates are the seeds, which may be gone or have restarted without a copy,
//! and the instances that subscribe here, such as those that followed this instance
//! before.
//!
//! A copy whose owner had contact with the store recently is as good as the store's
//! response. An older one may lack a configuration, or list a server that drains by
//! now. An older copy is accepted only after the store has been silent for longer than a
//! working store ever is. The newest copy received by then is used, since no instance
//! that could be asked has newer content. No key goes back to an older state, since each
//! key keeps its newest revision.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::pacing::BackoffBounds;
use crate::platform::Change;
use crate::platform::Entry;
use crate::replica::CopyDecoder;
use crate::replica::CopyLog;
use crate::replica::CopyLogError;
use crate::replica::CopyPart;
use crate::replica::CopyProgress;
use crate::replica::CopyWriter;
use crate::replica::Member;
use crate::replica::Update;
use crate::replica::subscribe;
use crate::replica::subscribe::Subscription;
use crate::replica::subscribe::UpstreamUpdate;

/// Delay after the start until other instances are asked besides the store. The store
/// responds within 4 ms, so a fleet that starts with a working store asks no other
/// instances.
const ASK_OTHERS_AFTER: Duration = Duration::from_millis(100);

/// Delay after the start from which an old copy is accepted: the response time of a
/// slow store, 250 ms, plus the round trip.
const ACCEPT_OLD_AFTER: Duration = Duration::from_millis(300);

/// Pauses before an instance that returned no copy is asked again. The first is half of
/// the time after which a caller repeats its first packet; the longest keeps a seed
/// that is gone for good from filling the log.
const RETRY_PAUSES: BackoffBounds = BackoffBounds {
    first_delay: Duration::from_millis(100),
    max_delay: Duration::from_millis(400),
};

/// A search for a copy.
pub(super) struct CopySearch {
    pub(super) me: Member,
    pub(super) seeds: Vec<SocketAddrV4>,
    /// Age below which a copy is as good as the store's response.
    pub(super) fresh: Duration,
    /// When this instance started to follow.
    pub(super) started_at: Instant,
    /// Addresses of instances with a copy that have subscribed here.
    pub(super) copy_holders: watch::Receiver<Vec<SocketAddrV4>>,
    /// The copy while it comes in.
    pub(super) copy_log: Arc<CopyLog>,
    pub(super) log: Logger,
}

impl CopySearch {
    /// Searches until an acceptable copy is found.
    pub(super) async fn run(mut self) -> UpstreamUpdate {
        time::sleep_until(self.started_at + ASK_OTHERS_AFTER).await;
        let old_from = self.started_at + ACCEPT_OLD_AFTER;
        let mut requested = HashSet::from([self.me.address]);
        let answering = AnsweringPeers::default();
        let request = CopyRequest {
            me: &self.me,
            retry: RETRY_PAUSES,
            copy_log: &self.copy_log,
            early: None,
            max_age: None,
            answering: &answering,
            log: &self.log,
        };
        let mut copies = FuturesUnordered::new();
        let mut newest: Option<UpstreamUpdate> = None;
        loop {
            let copy_holders = self.copy_holders.borrow_and_update().clone();
            for address in self.seeds.iter().copied().chain(copy_holders) {
                if requested.insert(address) {
                    copies.push(request.await_copy(address));
                }
            }
            if Instant::now() >= old_from
                && let Some(update) = newest.take()
            {
                return update;
            }
            tokio::select! {
                Some(update) = copies.next() => {
                    if update.age.is_some_and(|age| age < self.fresh) {
                        return update;
                    }
                    newest = Some(newer(newest.take(), update));
                }
                _ = self.copy_holders.changed() => {}
                () = time::sleep_until(old_from), if newest.is_some() => {}
            }
        }
    }
}

fn newer(current: Option<UpstreamUpdate>, update: UpstreamUpdate) -> UpstreamUpdate {
    match current {
        Some(current) if current.revision >= update.revision => current,
        _ => update,
    }
}

/// Reports entries to the own instance before the copy is complete, so that it can serve
/// callers with what it knows.
pub(super) struct EarlyEntries {
    pub(super) sender: mpsc::Sender<Update>,
    /// Age from which a copy may name withdrawn routes.
    pub(super) fresh: Duration,
}

impl EarlyEntries {
    /// Reports entries of a copy of this age. While the instance is behind, entries are
    /// left out, since it gets all of them with the complete copy.
    pub(super) fn report(&self, entries: &[Entry], age: Duration) {
        if entries.is_empty() || age >= self.fresh {
            return;
        }
        let entries = entries.to_vec();
        // An instance that has ended needs no entries.
        let _ = self.sender.try_send(Update::Part { entries });
    }
}

/// The instances that have accepted a subscription and not sent a copy yet.
#[derive(Debug, Default)]
pub(super) struct AnsweringPeers {
    count: AtomicUsize,
    /// When the last part of a copy arrived from any of them.
    last_part_at: Mutex<Option<Instant>>,
}

impl AnsweringPeers {
    pub(super) fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    pub(super) fn progress(&self, call_time: Duration) -> CopyProgress {
        CopyProgress {
            answering: self.count(),
            last_part_at: *self.lock_last_part(),
            call_time,
        }
    }

    /// Counts an instance until the guard is dropped.
    fn add(&self) -> AnsweringPeer<'_> {
        self.count.fetch_add(1, Ordering::Relaxed);
        AnsweringPeer(&self.count)
    }

    fn record_part(&self) {
        *self.lock_last_part() = Some(Instant::now());
    }

    fn lock_last_part(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_part_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

struct AnsweringPeer<'a>(&'a AtomicUsize);

impl Drop for AnsweringPeer<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How copies are requested from other instances.
pub(super) struct CopyRequest<'a> {
    pub(super) me: &'a Member,
    pub(super) retry: BackoffBounds,
    /// Where a copy is passed on while it comes in.
    pub(super) copy_log: &'a Arc<CopyLog>,
    /// Where its entries are reported while it comes in.
    pub(super) early: Option<&'a EarlyEntries>,
    /// Age from which a copy is of no use; `None` when any is better than none.
    pub(super) max_age: Option<Duration>,
    pub(super) answering: &'a AnsweringPeers,
    pub(super) log: &'a Logger,
}

impl CopyRequest<'_> {
    /// Waits until an instance has a usable copy and returns it.
    pub(super) async fn await_copy(&self, peer: SocketAddrV4) -> UpstreamUpdate {
        let mut pause = self.retry.first_delay;
        loop {
            match self.request_copy(peer).await {
                Ok(update) => return update,
                Err(error) => info!(self.log, "no copy from another instance"; "error" => %error),
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(self.retry.max_delay);
        }
    }

    async fn request_copy(&self, peer: SocketAddrV4) -> crate::Result<UpstreamUpdate> {
        let opened = Subscription::open(peer, self.me, None, Vec::new()).await;
        let (mut subscription, first) = opened?;
        let update = self.receive_copy(&mut subscription, first).await?;
        self.await_fresh(subscription, update).await
    }

    async fn receive_copy(
        &self,
        subscription: &mut Subscription,
        mut update: UpstreamUpdate,
    ) -> crate::Result<UpstreamUpdate> {
        let _answering = self.answering.add();
        let peer = subscription.peer();
        let mut receiver = CopyReceiver::new(self.copy_log, self.early);
        loop {
            if let Some(part) = update.copy_part.take() {
                self.answering.record_part();
                let entries = receiver.add(&part);
                let entries = entries.map_err(|e| subscribe::subscription_error(peer, e))?;
                if let Some(entries) = entries {
                    update.is_full_copy = true;
                    update.revision = part.revision;
                    update.changes = entries.into_iter().map(Change::Put).collect();
                    return subscription.await_contact(update).await;
                }
            }
            if update.is_full_copy {
                return subscription.complete(update).await;
            }
            update = subscription.next_update().await?;
        }
    }

    /// Waits until the sender's contact with the store is recent.
    ///
    /// Load pattern: a store of tens of thousands of keys is read for longer than a copy may
    /// be old, and all who started together have its copy. Their contact is that of the
    /// reading until the first of them has polled the store again. If the others asked
    /// elsewhere, all of them would read the store in the end.
    async fn await_fresh(
        &self,
        mut subscription: Subscription,
        mut update: UpstreamUpdate,
    ) -> crate::Result<UpstreamUpdate> {
        let Some(max_age) = self.max_age else {
            return Ok(update);
        };
        let is_old = |update: &UpstreamUpdate| update.age.is_none_or(|age| age >= max_age);
        if is_old(&update) {
            // Its owner may be cut off from the store. With this copy, routes would be used
            // that have been withdrawn since.
            info!(self.log, "copy of upstream too old"; "peer" => %subscription.peer());
        }
        while is_old(&update) {
            update.extend(subscription.next_update().await?);
        }
        Ok(update)
    }
}

/// Decodes the parts of a copy, and passes them on unless another copy is being passed on.
struct CopyReceiver<'a> {
    log: &'a Arc<CopyLog>,
    early: Option<&'a EarlyEntries>,
    decoder: CopyDecoder,
    writer: Option<CopyWriter>,
}

impl<'a> CopyReceiver<'a> {
    fn new(log: &'a Arc<CopyLog>, early: Option<&'a EarlyEntries>) -> Self {
        Self {
            log,
            early,
            decoder: CopyDecoder::default(),
            writer: None,
        }
    }

    fn add(&mut self, part: &CopyPart) -> Result<Option<Vec<Entry>>, CopyLogError> {
        let entries = self.decoder.add(part)?;
        if part.offset == 0 {
            let contact = Instant::now() - Duration::from_millis(part.age_ms);
            self.writer = self.log.begin(part.id, contact);
        }
        if let Some(writer) = &self.writer {
            writer.append_part(part);
            if let Some(early) = self.early {
                early.report(self.decoder.take_new(), Duration::from_millis(part.age_ms));
            }
        }
        Ok(entries)
    }
}
