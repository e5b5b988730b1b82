//! Mirroring a prefix of a store by long polls, through silence and outages.
//!
//! The mirror lists the prefix, then polls from that revision on. A failed poll
//! is repeated from the same revision, so that nothing is missed; only when the
//! store has dropped that history is the prefix listed again.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::pacing::Backoff;
use crate::platform::Change;
use crate::platform::Entry;
use crate::poll::Batch;
use crate::poll::Reader;
use crate::poll::Refusal;

/// Times of a mirror.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Longest time that a poll waits for a change.
    ///
    /// A connection that something in between has forgotten shows only by the
    /// missing answer, so this bounds how old the mirror can become unnoticed.
    pub wait: Duration,
    /// Pause after changes, in which further ones gather for the next poll.
    ///
    /// Without it, each change of any server costs each instance a call.
    pub gather: Duration,
}

/// What a mirror tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The whole prefix; what is not among the entries does not exist.
    Reset {
        /// All keys.
        entries: Vec<Entry>,
        /// Keys that exist but whose values could not be read.
        refused: Vec<Refusal>,
        /// Revision of the store.
        revision: u64,
    },
    /// One key changed.
    Change(Change),
    /// A key whose new value could not be read.
    Refused(Refusal),
    /// Everything that the store knew has been told.
    Contact,
    /// The store does not answer; told once for each silence.
    Silent {
        /// The first error.
        reason: String,
    },
}

/// Why a round ended.
enum End {
    Failed(Error),
    Abandoned,
}

impl From<Error> for End {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

impl<T> From<mpsc::error::SendError<T>> for End {
    fn from(_: mpsc::error::SendError<T>) -> Self {
        Self::Abandoned
    }
}

struct Mirror {
    reader: Reader,
    prefix: String,
    pace: Pace,
    sender: mpsc::Sender<Update>,
    /// Revision up to which all is told; `None` before the first listing and
    /// after the store has dropped its history.
    horizon: Option<u64>,
    is_silent: bool,
}

/// Mirrors a prefix until the receiver is dropped.
pub async fn mirror(reader: Reader, prefix: String, pace: Pace, sender: mpsc::Sender<Update>) {
    let options = reader.options().clone();
    let mut backoff = Backoff::new(options.backoff, options.seed);
    let mut mirror = Mirror {
        reader,
        prefix,
        pace,
        sender,
        horizon: None,
        is_silent: true,
    };
    loop {
        match mirror.step().await {
            Ok(()) => backoff.reset(),
            Err(End::Abandoned) => return,
            Err(End::Failed(error)) => {
                if mirror.fail(&error).await.is_err() {
                    return;
                }
                time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

impl Mirror {
    async fn step(&mut self) -> Result<(), End> {
        match self.horizon {
            None => self.list().await,
            Some(horizon) => self.poll(horizon).await,
        }
    }

    async fn fail(&mut self, error: &Error) -> Result<(), End> {
        if matches!(error, Error::Compacted { .. }) {
            self.horizon = None;
        }
        if self.is_silent {
            return Ok(());
        }
        self.is_silent = true;
        let reason = error.to_string();
        Ok(self.sender.send(Update::Silent { reason }).await?)
    }

    /// Reads all pages. They are no snapshot, so that polling goes on from the
    /// first page's revision: what changed since then is told again.
    async fn list(&mut self) -> Result<(), End> {
        let mut entries = Vec::new();
        let mut refused = Vec::new();
        let mut horizon = None;
        let mut after = None;
        loop {
            let page = self.reader.page(&self.prefix, after.as_deref()).await?;
            horizon.get_or_insert(page.revision);
            entries.extend(page.entries);
            refused.extend(page.refused);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        let revision = horizon.unwrap_or_default();
        self.horizon = Some(revision);
        let reset = Update::Reset {
            entries,
            refused,
            revision,
        };
        self.sender.send(reset).await?;
        self.tell_contact().await
    }

    /// While the store is silent the poll does not wait, so that the first
    /// answer after an outage comes at once.
    async fn poll(&mut self, horizon: u64) -> Result<(), End> {
        let wait = if self.is_silent {
            Duration::ZERO
        } else {
            self.pace.wait
        };
        let started = Instant::now();
        let batch = self.reader.poll(&self.prefix, horizon, wait).await?;
        let has_changes = !batch.changes.is_empty();
        self.apply(horizon, batch).await?;
        // A store that answers at once without a change would be asked without
        // end.
        if has_changes || started.elapsed() < wait / 2 {
            time::sleep(self.pace.gather).await;
        }
        Ok(())
    }

    async fn apply(&mut self, horizon: u64, batch: Batch) -> Result<(), End> {
        for refusal in batch.refused {
            self.sender.send(Update::Refused(refusal)).await?;
        }
        let mut newest = horizon.max(batch.revision);
        for change in batch.changes {
            newest = newest.max(change.mod_revision());
            self.sender.send(Update::Change(change)).await?;
        }
        self.horizon = Some(newest);
        self.tell_contact().await
    }

    async fn tell_contact(&mut self) -> Result<(), End> {
        self.is_silent = false;
        Ok(self.sender.send(Update::Contact).await?)
    }
}
