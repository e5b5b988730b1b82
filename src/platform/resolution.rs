//! Finding out what became of a write whose answer was lost.
//!
//! The value of a write carries a random mark, so that reading it back tells
//! whose write it was. A read that does not show ours proves nothing yet: the
//! write may still be on its way, or the read be old. The same compare-and-swap
//! is then sent again. Both copies compare with the same revision, so at most
//! one of them can take effect, and its answer is final either way.
//!
//! One case is given up on: a key that is created by a write whose answer is
//! lost, and deleted by another before this module looks, is created again.

use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::pacing::Backoff;
use crate::platform::Entry;
use crate::platform::Lease;
use crate::platform::SwapOutcome;
use crate::platform::client::Client;

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolvedWrite {
    /// Ours stands, written at this revision.
    Done(u64),
    /// Ours was refused and never took effect; the key holds this, or nothing.
    Lost(Option<Entry>),
    /// The answer was lost and another's value, or nothing, stands: ours never
    /// took effect or was replaced since, and will not come back. Values that
    /// carry a counter, raised by one with each write, tell which: if the found
    /// one has the count that ours had, ours never took effect.
    Superseded(Option<Entry>),
    /// Nothing could be read back in time; ours may stand, or still come to.
    Unknown,
}

/// One write and what it takes to recognise it.
struct Write<'a> {
    key: &'a str,
    expected: Option<u64>,
    value: &'a [u8],
    lease: Option<Lease>,
}

impl Write<'_> {
    async fn send(&self, client: &Client) -> Result<SwapOutcome> {
        client
            .compare_and_swap(self.key, self.expected, self.value, self.lease)
            .await
    }

    fn is_ours(&self, found: Option<&Entry>) -> Option<u64> {
        found
            .filter(|entry| entry.value == self.value)
            .map(|entry| entry.mod_revision)
    }

    /// Reads back once and, unless ours is there, writes once more.
    async fn look(&self, client: &Client) -> Result<ResolvedWrite> {
        let found = client.get(self.key).await?;
        if let Some(revision) = self.is_ours(found.as_ref()) {
            return Ok(ResolvedWrite::Done(revision));
        }
        let found = match self.send(client).await? {
            SwapOutcome::Done(revision) => return Ok(ResolvedWrite::Done(revision)),
            SwapOutcome::Lost(found) => found,
        };
        Ok(match self.is_ours(found.as_ref()) {
            Some(revision) => ResolvedWrite::Done(revision),
            None => ResolvedWrite::Superseded(found),
        })
    }
}

/// One deletion.
struct Erasure<'a> {
    key: &'a str,
    expected: u64,
}

impl Erasure<'_> {
    async fn send(&self, client: &Client) -> Result<ResolvedWrite> {
        Ok(
            match client.compare_and_delete(self.key, self.expected).await? {
                SwapOutcome::Done(revision) => ResolvedWrite::Done(revision),
                SwapOutcome::Lost(found) => ResolvedWrite::Lost(found),
            },
        )
    }

    async fn look(&self, client: &Client) -> Result<ResolvedWrite> {
        Ok(match self.send(client).await? {
            ResolvedWrite::Lost(found) => ResolvedWrite::Superseded(found),
            resolved => resolved,
        })
    }
}

/// What was sent and had no answer.
enum Sent<'a> {
    Write(Write<'a>),
    Erasure(Erasure<'a>),
}

impl Sent<'_> {
    async fn look(&self, client: &Client) -> Result<ResolvedWrite> {
        match self {
            Self::Write(write) => write.look(client).await,
            Self::Erasure(erasure) => erasure.look(client).await,
        }
    }
}

impl Client {
    /// Writes as [`Client::compare_and_swap`] does and, if the answer is lost, finds out what
    /// became of the write, within [`crate::platform::Options::resolve_timeout`].
    ///
    /// The value must differ from every other value ever written to the key.
    ///
    /// # Errors
    ///
    /// After an error nothing was written and nothing will be.
    pub async fn compare_and_swap_resolved(
        &self,
        key: &str,
        expected: Option<u64>,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<ResolvedWrite> {
        let write = Write {
            key,
            expected,
            value,
            lease,
        };
        match write.send(self).await {
            Ok(SwapOutcome::Done(revision)) => Ok(ResolvedWrite::Done(revision)),
            Ok(SwapOutcome::Lost(found)) => Ok(ResolvedWrite::Lost(found)),
            Err(Error::Unanswered { .. }) => Ok(self.resolve(&Sent::Write(write)).await),
            Err(error) => Err(error),
        }
    }

    /// Deletes a key as [`Client::compare_and_delete`] does and, if the answer is lost, finds
    /// out what became of it, within [`crate::platform::Options::resolve_timeout`].
    ///
    /// A key that is found at the expected revision may still be deleted by the
    /// first copy, so the same deletion is sent again. One that is not found
    /// there is safe from both copies, as no revision comes twice.
    ///
    /// # Errors
    ///
    /// After an error nothing was deleted and nothing will be.
    pub async fn compare_and_delete_resolved(
        &self,
        key: &str,
        expected: u64,
    ) -> Result<ResolvedWrite> {
        let erasure = Erasure { key, expected };
        match erasure.send(self).await {
            Err(Error::Unanswered { .. }) => Ok(self.resolve(&Sent::Erasure(erasure)).await),
            outcome => outcome,
        }
    }

    /// Looks again until that succeeds or the time is over.
    async fn resolve(&self, sent: &Sent<'_>) -> ResolvedWrite {
        let options = self.options();
        let until = Instant::now() + options.resolve_timeout;
        let mut backoff = Backoff::new(options.backoff, options.seed);
        let looking = async {
            loop {
                if let Ok(resolved) = sent.look(self).await {
                    return resolved;
                }
                time::sleep(backoff.next_delay()).await;
            }
        };
        time::timeout_at(until, looking)
            .await
            .unwrap_or(ResolvedWrite::Unknown)
    }
}
