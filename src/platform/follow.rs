//! Following a prefix of the platform, through silence and stale answers.
//!
//! The follower lists the prefix, then watches it from that revision on. When
//! the watch breaks it lists again, after a backoff. It knows the whole prefix
//! as of one revision of the store, its horizon, so that whatever is older than
//! that is recognised as old and never handed on.

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

/// What a follower tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The whole prefix; what is not among the entries does not exist.
    Reset {
        /// All keys.
        entries: Vec<Entry>,
        /// Revision of the store.
        revision: u64,
        /// The platform is known to have answered at this time or later.
        at: Instant,
    },
    /// One key changed.
    Change(Change),
    /// The platform no longer answers; told once for each silence.
    Unreachable {
        /// When it is last known to have answered, or when the following began.
        since: Instant,
    },
    /// The platform answers and everything it knows has been handed on.
    Contact {
        /// The platform is known to have answered at this time or later.
        at: Instant,
    },
}

/// Why a round of listing and watching ended.
enum End {
    /// The platform failed; another round follows.
    Failed,
    /// Nobody receives any more.
    Abandoned,
}

impl From<Error> for End {
    fn from(_: Error) -> Self {
        Self::Failed
    }
}

impl<T> From<mpsc::error::SendError<T>> for End {
    fn from(_: mpsc::error::SendError<T>) -> Self {
        Self::Abandoned
    }
}

/// Hands on what happens under a prefix until the receiver is dropped.
///
/// A key is handed on only with a greater `mod_revision` than the last time.
pub async fn follow(client: Client, prefix: String, sender: mpsc::Sender<Update>) {
    let options = client.options().clone();
    let mut follower = Follower {
        client,
        prefix,
        sender,
        known: BTreeMap::new(),
        horizon: 0,
        applied: 0,
        contact: Instant::now(),
        is_silent: false,
        backoff: Backoff::new(options.backoff, options.seed),
        probe_every: options.probe_interval,
    };
    while let Err(End::Failed) = follower.round().await {
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
    /// What was handed on last, by key.
    known: BTreeMap<String, Entry>,
    /// Revision of the store up to which all is known.
    horizon: u64,
    /// Batches applied from watches.
    applied: u64,
    contact: Instant,
    is_silent: bool,
    backoff: Backoff,
    probe_every: Duration,
}

impl Follower {
    /// Lists, then watches until something fails.
    async fn round(&mut self) -> Result<(), End> {
        self.list().await?;
        let watch = self.client.watch(&self.prefix, self.horizon + 1);
        tokio::pin!(watch);
        let mut probes = time::interval(self.probe_every);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The first tick is immediate; the list has just told as much.
        probes.tick().await;
        let mut lag = Lag::default();
        loop {
            tokio::select! {
                batch = watch.next() => match batch {
                    Some(batch) => self.apply(batch?).await?,
                    None => return Err(End::Failed),
                },
                _ = probes.tick() => self.probe(&mut lag).await?,
                () = self.sender.closed() => return Err(End::Abandoned),
            }
        }
    }

    async fn list(&mut self) -> Result<(), End> {
        let asked = Instant::now();
        let listing = match self.client.list(&self.prefix).await {
            Ok(listing) if listing.revision >= self.horizon => listing,
            Ok(_) => return self.refuse_stale().await,
            Err(_) => return self.fall_silent().await,
        };
        self.take_over(listing);
        self.contact = asked;
        self.is_silent = false;
        let reset = Update::Reset {
            entries: self.known.values().cloned().collect(),
            revision: self.horizon,
            at: asked,
        };
        Ok(self.sender.send(reset).await?)
    }

    /// Makes a listing what is known, but for keys of which a newer value is.
    fn take_over(&mut self, listing: Listing) {
        let mut known = BTreeMap::new();
        for entry in listing.entries {
            let entry = match self.known.remove(&entry.key) {
                Some(old) if old.mod_revision > entry.mod_revision => {
                    self.client.count_stale();
                    old
                }
                _ => entry,
            };
            known.insert(entry.key.clone(), entry);
        }
        self.known = known;
        self.horizon = listing.revision;
    }

    /// A store that lags behind what was handed on must not take it back. Its
    /// answers are no contact: what it accepted since is not in them.
    async fn refuse_stale(&mut self) -> Result<(), End> {
        self.client.avoid_stale();
        self.fall_silent().await
    }

    async fn fall_silent(&mut self) -> Result<(), End> {
        if !self.is_silent {
            self.is_silent = true;
            let silent = Update::Unreachable {
                since: self.contact,
            };
            self.sender.send(silent).await?;
        }
        Err(End::Failed)
    }

    async fn apply(&mut self, batch: Vec<Change>) -> Result<(), End> {
        let horizon = self.horizon;
        for change in batch {
            let revision = change.mod_revision();
            if revision <= horizon {
                self.client.count_stale();
                continue;
            }
            self.horizon = self.horizon.max(revision);
            match &change {
                Change::Put(entry) => self.known.insert(entry.key.clone(), entry.clone()),
                Change::Delete { key, .. } => self.known.remove(key),
            };
            self.applied += 1;
            self.sender.send(Update::Change(change)).await?;
        }
        Ok(())
    }

    /// Asks the platform whether the watch has told everything.
    ///
    /// A watch whose connection was forgotten by something in between gives no
    /// error: it just tells nothing, and a change of the operators would never
    /// arrive. The probe's short answer shows that something is missing.
    async fn probe(&mut self, lag: &mut Lag) -> Result<(), End> {
        let asked = Instant::now();
        let Ok(probe) = self.client.probe(&self.prefix).await else {
            return self.fall_silent().await;
        };
        if self.agrees(probe) {
            *lag = Lag::default();
            self.contact = asked;
            self.is_silent = false;
            self.backoff.reset();
            return Ok(self.sender.send(Update::Contact { at: asked }).await?);
        }
        if lag.lasts(self.applied) {
            return Err(End::Failed);
        }
        Ok(())
    }

    fn agrees(&self, probe: Probe) -> bool {
        let newest = self.known.values().map(|entry| entry.mod_revision).max();
        probe.revision >= self.horizon
            && probe.newest == newest.unwrap_or(0)
            && probe.count == self.known.len() as u64
    }
}

/// Whether the watch is behind the probes and stays there.
#[derive(Default)]
struct Lag {
    applied: Option<u64>,
}

impl Lag {
    /// True when nothing came since the last probe that found the watch behind;
    /// a change that is merely on its way has arrived by then.
    fn lasts(&mut self, applied: u64) -> bool {
        self.applied.replace(applied) == Some(applied)
    }
}
