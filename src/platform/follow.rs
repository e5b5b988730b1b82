//! Follows a prefix of the platform through outages and stale responses.
//!
//! The follower lists the prefix, then watches it from the listed revision on.
//! When the watch fails, it lists the prefix again after a backoff. It holds the
//! whole prefix as of one revision of the store, the known revision, so that it
//! recognises older data and never sends it to the receiver.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::time;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::error::Error;
use crate::pacing::Backoff;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::Listing;
use crate::platform::client::Client;
use crate::platform::gateway::Probe;

/// An update sent by [`follow()`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The complete prefix; a key without an entry does not exist.
    Reset {
        /// All entries.
        entries: Vec<Entry>,
        /// Revision of the store.
        revision: u64,
        /// The platform responded at this time or later.
        at: Instant,
    },
    /// One key changed.
    Change(Change),
    /// The platform does not respond; sent once per outage.
    Unreachable {
        /// When the platform last responded, or when [`follow()`] was called.
        since: Instant,
    },
    /// The platform responds, and all its data has been sent to the receiver.
    Contact {
        /// The platform responded at this time or later.
        at: Instant,
    },
}

/// Why a round of listing and watching ended.
enum RoundEnd {
    /// The platform failed; another round follows after a backoff.
    Failed,
    /// The receiver was dropped.
    ReceiverDropped,
}

impl From<Error> for RoundEnd {
    fn from(_: Error) -> Self {
        Self::Failed
    }
}

impl<T> From<mpsc::error::SendError<T>> for RoundEnd {
    fn from(_: mpsc::error::SendError<T>) -> Self {
        Self::ReceiverDropped
    }
}

/// Sends the updates of a prefix until the receiver is dropped.
///
/// A key is sent again only with a greater `mod_revision` than before.
pub async fn follow(client: Client, prefix: String, sender: mpsc::Sender<Update>) {
    let options = client.options().clone();
    let mut follower = Follower {
        client,
        prefix,
        sender,
        delivered: BTreeMap::new(),
        known_revision: 0,
        applied: 0,
        last_contact: Instant::now(),
        is_unreachable: false,
        backoff: Backoff::new(options.backoff, options.seed),
        probe_interval: options.probe_interval,
    };
    while let Err(RoundEnd::Failed) = follower.list_and_watch().await {
        let delay = follower.backoff.next_delay();
        tokio::select! {
            () = time::sleep(delay) => {}
            () = follower.sender.closed() => return,
        }
    }
}

struct Follower {
    client: Client,
    prefix: String,
    sender: mpsc::Sender<Update>,
    /// The last entry sent to the receiver, by key.
    delivered: BTreeMap<String, Entry>,
    /// Revision of the store up to which all changes are known.
    known_revision: u64,
    /// Number of changes applied from watches.
    applied: u64,
    last_contact: Instant,
    is_unreachable: bool,
    backoff: Backoff,
    probe_interval: Duration,
}

impl Follower {
    /// Lists the prefix, then watches it until a call fails.
    async fn list_and_watch(&mut self) -> Result<(), RoundEnd> {
        self.list().await?;
        let watch = self.client.watch(&self.prefix, self.known_revision + 1);
        tokio::pin!(watch);
        let mut probes = time::interval(self.probe_interval);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The first tick is immediate, and the listing has just shown the same.
        probes.tick().await;
        let mut lag = WatchLag::default();
        loop {
            tokio::select! {
                batch = watch.next() => match batch {
                    Some(batch) => self.apply(batch?).await?,
                    None => return Err(RoundEnd::Failed),
                },
                _ = probes.tick() => self.probe(&mut lag).await?,
                () = self.sender.closed() => return Err(RoundEnd::ReceiverDropped),
            }
        }
    }

    async fn list(&mut self) -> Result<(), RoundEnd> {
        let sent_at = Instant::now();
        let listing = match self.client.list(&self.prefix).await {
            Ok(listing) if listing.revision >= self.known_revision => listing,
            Ok(_) => return self.reject_stale().await,
            Err(_) => return self.report_unreachable().await,
        };
        self.merge_listing(listing);
        self.last_contact = sent_at;
        self.is_unreachable = false;
        let reset = Update::Reset {
            entries: self.delivered.values().cloned().collect(),
            revision: self.known_revision,
            at: sent_at,
        };
        Ok(self.sender.send(reset).await?)
    }

    /// Replaces the known entries by a listing, except those that are newer than
    /// in the listing.
    fn merge_listing(&mut self, listing: Listing) {
        let mut delivered = BTreeMap::new();
        for entry in listing.entries {
            let entry = match self.delivered.remove(&entry.key) {
                Some(old) if old.mod_revision > entry.mod_revision => {
                    self.client.count_stale();
                    old
                }
                _ => entry,
            };
            delivered.insert(entry.key.clone(), entry);
        }
        self.delivered = delivered;
        self.known_revision = listing.revision;
    }

    /// Rejects a listing that is older than the known revision, so that newer
    /// data is not undone. Such a response doesn't count as contact with the
    /// platform, as it lacks the writes accepted since.
    async fn reject_stale(&mut self) -> Result<(), RoundEnd> {
        self.client.leave_stale_address();
        self.report_unreachable().await
    }

    async fn report_unreachable(&mut self) -> Result<(), RoundEnd> {
        if !self.is_unreachable {
            self.is_unreachable = true;
            let update = Update::Unreachable {
                since: self.last_contact,
            };
            self.sender.send(update).await?;
        }
        Err(RoundEnd::Failed)
    }

    async fn apply(&mut self, batch: Vec<Change>) -> Result<(), RoundEnd> {
        let known_revision = self.known_revision;
        for change in batch {
            let revision = change.mod_revision();
            if revision <= known_revision {
                self.client.count_stale();
                continue;
            }
            self.known_revision = self.known_revision.max(revision);
            match &change {
                Change::Put(entry) => self.delivered.insert(entry.key.clone(), entry.clone()),
                Change::Delete { key, .. } => self.delivered.remove(key),
            };
            self.applied += 1;
            self.sender.send(Update::Change(change)).await?;
        }
        Ok(())
    }

    /// Asks the platform whether the watch has delivered all changes.
    ///
    /// If a device on the path drops the state of the watch's connection, the
    /// watch reports no error and delivers nothing, so that changes by operators
    /// would never arrive. The probe's response shows that changes are missing.
    async fn probe(&mut self, lag: &mut WatchLag) -> Result<(), RoundEnd> {
        let sent_at = Instant::now();
        let Ok(probe) = self.client.probe(&self.prefix).await else {
            return self.report_unreachable().await;
        };
        if self.matches_probe(probe) {
            *lag = WatchLag::default();
            self.last_contact = sent_at;
            self.is_unreachable = false;
            self.backoff.reset();
            return Ok(self.sender.send(Update::Contact { at: sent_at }).await?);
        }
        if lag.is_stuck(self.applied) {
            return Err(RoundEnd::Failed);
        }
        Ok(())
    }

    fn matches_probe(&self, probe: Probe) -> bool {
        let latest_mod_revision = self
            .delivered
            .values()
            .map(|entry| entry.mod_revision)
            .max();
        probe.revision >= self.known_revision
            && probe.latest_mod_revision == latest_mod_revision.unwrap_or(0)
            && probe.count == self.delivered.len() as u64
    }
}

/// Detects a watch that stays behind the probes.
#[derive(Default)]
struct WatchLag {
    applied_at_last_probe: Option<u64>,
}

impl WatchLag {
    /// Whether no change was applied since the previous probe that found the
    /// watch behind. A change that was in transit then has arrived by now.
    fn is_stuck(&mut self, applied: u64) -> bool {
        self.applied_at_last_probe.replace(applied) == Some(applied)
    }
}
