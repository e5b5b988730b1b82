//! Finds out the outcome of a write whose response was lost.
//!
//! The value of a write contains a random identifier, so that reading the key
//! back shows which writer wrote it. A read that does not return this write
//! proves nothing yet: the write may still be in transit, or the read may be
//! stale. The same compare-and-swap is then sent again. Both copies compare with
//! the same revision, so at most one of them can take effect, and the response
//! to the second copy is final either way.
//!
//! One case is not handled: if the lost write created a key and another writer
//! deleted the key before it is read back, the key is created again.

use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::pacing::Backoff;
use crate::platform::Entry;
use crate::platform::Lease;
use crate::platform::SwapOutcome;
use crate::platform::client::Client;

/// Outcome of a write or a deletion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolvedWrite {
    /// The write was applied at this revision.
    Done(u64),
    /// The comparison failed and the write never took effect; the current entry
    /// of the key, if it exists.
    Lost(Option<Entry>),
    /// The response was lost, and the key holds another writer's value or does
    /// not exist: this write never took effect or has been replaced since, and
    /// will not take effect later. A counter in the values, incremented by each
    /// write, distinguishes these cases: if the found value has the same count as
    /// this write, this write never took effect.
    Superseded(Option<Entry>),
    /// Nothing could be read back in time; the write may have taken effect or
    /// may still do so.
    Unknown,
}

/// The arguments of a compare-and-swap, to send it again and to recognise its
/// value.
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

    fn own_revision(&self, found: Option<&Entry>) -> Option<u64> {
        found
            .filter(|entry| entry.value == self.value)
            .map(|entry| entry.mod_revision)
    }

    /// Reads the key back once and sends the write again unless the key holds
    /// its value.
    async fn read_back_or_resend(&self, client: &Client) -> Result<ResolvedWrite> {
        let found = client.get(self.key).await?;
        if let Some(revision) = self.own_revision(found.as_ref()) {
            return Ok(ResolvedWrite::Done(revision));
        }
        let found = match self.send(client).await? {
            SwapOutcome::Done(revision) => return Ok(ResolvedWrite::Done(revision)),
            SwapOutcome::Lost(found) => found,
        };
        Ok(match self.own_revision(found.as_ref()) {
            Some(revision) => ResolvedWrite::Done(revision),
            None => ResolvedWrite::Superseded(found),
        })
    }
}

/// The arguments of a compare-and-delete.
struct Deletion<'a> {
    key: &'a str,
    expected: u64,
}

impl Deletion<'_> {
    async fn send(&self, client: &Client) -> Result<ResolvedWrite> {
        Ok(
            match client.compare_and_delete(self.key, self.expected).await? {
                SwapOutcome::Done(revision) => ResolvedWrite::Done(revision),
                SwapOutcome::Lost(found) => ResolvedWrite::Lost(found),
            },
        )
    }

    async fn resend(&self, client: &Client) -> Result<ResolvedWrite> {
        Ok(match self.send(client).await? {
            ResolvedWrite::Lost(found) => ResolvedWrite::Superseded(found),
            resolved => resolved,
        })
    }
}

/// A write or deletion that was sent and got no response.
enum UnansweredCall<'a> {
    Write(Write<'a>),
    Deletion(Deletion<'a>),
}

impl UnansweredCall<'_> {
    async fn retry(&self, client: &Client) -> Result<ResolvedWrite> {
        match self {
            Self::Write(write) => write.read_back_or_resend(client).await,
            Self::Deletion(deletion) => deletion.resend(client).await,
        }
    }
}

impl Client {
    /// Writes as [`Client::compare_and_swap`] does and, if the response is lost,
    /// finds out the outcome within [`crate::platform::Options::resolve_timeout`].
    ///
    /// The value must differ from every other value ever written to the key.
    ///
    /// # Errors
    ///
    /// After an error nothing was written and nothing will be written later.
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
            Err(Error::Unanswered { .. }) => Ok(self.resolve(&UnansweredCall::Write(write)).await),
            Err(error) => Err(error),
        }
    }

    /// Deletes a key as [`Client::compare_and_delete`] does and, if the response is
    /// lost, finds out the outcome within
    /// [`crate::platform::Options::resolve_timeout`].
    ///
    /// A key that is still at the expected revision may yet be deleted by the
    /// first copy, so the same deletion is sent again. A key at any other revision
    /// cannot be deleted by either copy, as revisions are never reused.
    ///
    /// # Errors
    ///
    /// After an error nothing was deleted and nothing will be deleted later.
    pub async fn compare_and_delete_resolved(
        &self,
        key: &str,
        expected: u64,
    ) -> Result<ResolvedWrite> {
        let deletion = Deletion { key, expected };
        match deletion.send(self).await {
            Err(Error::Unanswered { .. }) => {
                Ok(self.resolve(&UnansweredCall::Deletion(deletion)).await)
            }
            outcome => outcome,
        }
    }

    /// Retries while no outcome is known, up to the time limit.
    async fn resolve(&self, call: &UnansweredCall<'_>) -> ResolvedWrite {
        let options = self.options();
        let deadline = Instant::now() + options.resolve_timeout;
        let mut backoff = Backoff::new(options.backoff, options.seed);
        let retrying = async {
            loop {
                if let Ok(resolved) = call.retry(self).await {
                    return resolved;
                }
                time::sleep(backoff.next_delay()).await;
            }
        };
        time::timeout_at(deadline, retrying)
            .await
            .unwrap_or(ResolvedWrite::Unknown)
    }
}
