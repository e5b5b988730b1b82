//! Client for a store that serves changes by long polls instead of a stream.
//!
//! [`Dialect`] holds the functions that encode the store's requests and decode
//! its responses. Timeouts, rate limits and counters are those of all calls to
//! the platform.

use std::cmp::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Result;
use crate::platform::Change;
use crate::platform::Client;
use crate::platform::Entry;
use crate::platform::Era;
use crate::platform::EraHeader;
use crate::platform::Lease;
use crate::platform::Revision;
use crate::platform::gateway::DecodeResult;
use crate::platform::transport::Call;
use crate::platform::transport::Kind;
use crate::platform::transport::Payload;

/// A key whose value cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableEntry {
    /// The key.
    pub key: String,
    /// Why the value cannot be decoded.
    pub reason: String,
}

/// One page of the keys under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The decoded entries, ordered by key.
    pub entries: Vec<Entry>,
    /// Keys whose values cannot be decoded.
    pub unreadable: Vec<UnreadableEntry>,
    /// Last key of the page, decoded or not, after which the next page begins;
    /// `None` on the last page.
    pub next: Option<String>,
    /// Revision of the store.
    pub revision: u64,
}

/// The changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The decoded changes, oldest first.
    pub changes: Vec<Change>,
    /// Keys whose new values cannot be decoded.
    pub unreadable: Vec<UnreadableEntry>,
    /// Revision of the store, from which the next poll continues.
    pub revision: u64,
}

/// A POST request with a JSON body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Post {
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: String,
}

/// Encoders of a store's requests and decoders of its responses.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Header of each response, in lower case, with the store's [`crate::platform::Era`],
    /// which increases when the store is restored from an older copy.
    pub era_header: &'static str,
    /// Path and query of a listing, which begins after the key `after` if given.
    pub list_path: fn(prefix: &str, after: Option<&str>) -> String,
    /// Decodes the response to a listing.
    pub decode_page: fn(&[u8]) -> DecodeResult<Page>,
    /// Path and query of a read of one key. A stale response, which may be seconds old,
    /// costs the store less.
    pub get_path: fn(key: &str, allow_stale: bool) -> String,
    /// Decodes the response to a read of one key.
    pub decode_single: fn(&[u8]) -> DecodeResult<Page>,
    /// Path and query of a poll for changes after a revision.
    pub poll_path: fn(prefix: &str, after: u64, wait: Duration) -> String,
    /// Decodes the response to a poll.
    pub decode_batch: fn(&[u8]) -> DecodeResult<Batch>,
    /// Request to grant a lease.
    pub grant_request: fn(ttl: Duration) -> Post,
    /// Decodes the response to a lease grant.
    pub decode_lease: fn(&[u8]) -> DecodeResult<Lease>,
    /// Request to write a key attached to a lease, whatever its current value.
    pub put_request: fn(key: &str, value: &[u8], lease: Lease) -> Post,
    /// Request to renew a lease.
    pub renew_request: fn(Lease) -> Post,
}

/// Client for a store with a [`Dialect`]; cheap to clone.
#[derive(Clone)]
pub struct Reader {
    client: Client,
    dialect: Dialect,
}

impl Reader {
    /// Creates a reader that makes its calls with `client`.
    pub fn new(client: Client, dialect: Dialect) -> Self {
        Self { client, dialect }
    }

    /// The latest era of the store that is known; `None` before the first response.
    pub fn era(&self) -> Option<Era> {
        self.client.transport().era()
    }

    /// Time that a call takes at present.
    pub(crate) fn call_time(&self) -> Duration {
        self.client.transport().call_time()
    }

    /// The client that makes the calls.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Waits until the store is known to have been restored after this era.
    pub(crate) async fn wait_for_restore(&self, era: Era) {
        self.client.wait_for_restore(era).await;
    }

    /// Records an era that another instance has learned of.
    pub(crate) fn record_era(&self, era: Era) {
        self.client.transport().record_era(era);
    }

    /// Reads one page of a prefix, which begins after the key `after` if given.
    ///
    /// # Errors
    ///
    /// Fails if no address responds or the rate limit is exceeded.
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page> {
        let kind = match after {
            Some(_) => Kind::NextPage,
            None => Kind::Read,
        };
        let call = Call {
            step: "list",
            kind,
            path: (self.dialect.list_path)(prefix, after).into(),
            body: None,
            wait: Duration::ZERO,
            era_header: Some(EraHeader::from_static(self.dialect.era_header)),
        };
        let (page, era) = self
            .client
            .transport()
            .call(&call, self.dialect.decode_page)
            .await?;
        page.in_era(&call, era)
    }

    /// Reads one key: a page with its entry, or with the key as unreadable.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Refused`] if the key does not exist; otherwise as for
    /// [`Reader::page`].
    pub async fn get(&self, key: &str) -> Result<Page> {
        let call = self.get_call(key, false);
        let (page, era) = self
            .client
            .transport()
            .call(&call, self.dialect.decode_single)
            .await?;
        page.in_era(&call, era)
    }

    /// Reads one key as it was up to some seconds ago, which costs the store less. The
    /// response may be from before the store was restored.
    ///
    /// # Errors
    ///
    /// As for [`Reader::get`].
    pub async fn get_stale(&self, key: &str) -> Result<Page> {
        let call = self.get_call(key, true);
        let transport = self.client.transport();
        let (page, era) = transport
            .call_stale(&call, self.dialect.decode_single)
            .await?;
        page.in_era(&call, era)
    }

    fn get_call(&self, key: &str, allow_stale: bool) -> Call {
        Call {
            step: "read",
            kind: Kind::Read,
            path: (self.dialect.get_path)(key, allow_stale).into(),
            body: None,
            wait: Duration::ZERO,
            era_header: Some(EraHeader::from_static(self.dialect.era_header)),
        }
    }

    /// The revision before the first one of the latest era that is known.
    pub(crate) fn first_revision(&self) -> Revision {
        let era = self.era().unwrap_or_default();
        Revision::new(era, 0).unwrap_or_default()
    }

    /// Waits for changes under a prefix after a revision, for at most `wait`.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Compacted`] if the store no longer holds all changes since
    /// that revision, or has been restored since; otherwise as for [`Reader::page`].
    pub async fn poll(&self, prefix: &str, after: u64, wait: Duration) -> Result<Batch> {
        let after = Revision(after);
        let call = Call {
            step: "poll",
            kind: Kind::Watch,
            path: (self.dialect.poll_path)(prefix, after.number(), wait).into(),
            body: None,
            wait,
            era_header: Some(EraHeader::from_static(self.dialect.era_header)),
        };
        if let Some(era) = self.era().filter(|era| *era > after.era()) {
            return Err(call.restored(era));
        }
        let (batch, era) = self
            .client
            .transport()
            .call(&call, self.dialect.decode_batch)
            .await?;
        // A restored store may have reached that revision again, with other changes.
        match era.cmp(&after.era()) {
            Ordering::Equal => batch.in_era(&call, era),
            Ordering::Greater => Err(call.restored(era)),
            Ordering::Less => Err(call.outdated(era, "the copy is of a later era")),
        }
    }

    fn post_call(&self, step: &'static str, kind: Kind, post: Post) -> Call {
        Call {
            step,
            kind,
            path: post.path.into(),
            body: Some(Payload::Json(post.body)),
            wait: Duration::ZERO,
            era_header: Some(EraHeader::from_static(self.dialect.era_header)),
        }
    }

    /// Grants a lease. It holds in the returned era only: after a restore, the store may
    /// grant the same lease to another instance.
    ///
    /// # Errors
    ///
    /// After [`crate::Error::Unanswered`] an unused lease may exist; it holds no
    /// key and expires by itself.
    pub async fn grant(&self, ttl: Duration) -> Result<(Lease, Era)> {
        let post = (self.dialect.grant_request)(ttl);
        let call = self.post_call("lease grant", Kind::Lease, post);
        self.client
            .transport()
            .call(&call, self.dialect.decode_lease)
            .await
    }

    /// Writes a key attached to a lease.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Refused`] if the lease has expired. After
    /// [`crate::Error::Unanswered`] the key may have been written, or may still be
    /// written until the lease expires.
    pub async fn put(&self, key: &str, value: &[u8], lease: Lease) -> Result<()> {
        let post = (self.dialect.put_request)(key, value, lease);
        let call = self.post_call("put", Kind::Write, post);
        self.client.transport().call(&call, |_| Ok(())).await?;
        Ok(())
    }

    /// Renews a lease. After the store has been restored, the lease may be another
    /// instance's.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Refused`] if the lease has expired; after any other error
    /// the lease may have been renewed.
    pub async fn renew(&self, lease: Lease) -> Result<()> {
        let post = (self.dialect.renew_request)(lease);
        let call = self.post_call("lease renewal", Kind::Lease, post);
        self.client.transport().call(&call, |_| Ok(())).await?;
        Ok(())
    }
}

impl Page {
    /// Adds the era to the store's revisions.
    fn in_era(mut self, call: &Call, era: Era) -> Result<Self> {
        for entry in &mut self.entries {
            entry.mod_revision = call.in_era(era, entry.mod_revision)?;
        }
        self.revision = call.in_era(era, self.revision)?;
        Ok(self)
    }
}

impl Batch {
    /// Adds the era to the store's revisions.
    fn in_era(mut self, call: &Call, era: Era) -> Result<Self> {
        for change in &mut self.changes {
            call.change_in_era(era, change)?;
        }
        self.revision = call.in_era(era, self.revision)?;
        Ok(self)
    }
}
