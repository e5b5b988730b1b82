//! Reading a store that answers long polls instead of keeping a stream open.
//!
//! How such a store spells its calls is a value, [`Dialect`]; timeouts, the
//! allowance and the counts are those of every call to the platform.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Result;
use crate::platform::Change;
use crate::platform::Client;
use crate::platform::Entry;
use crate::platform::Lease;
use crate::platform::gateway::DecodeResult;
use crate::platform::transport::Call;
use crate::platform::transport::Kind;
use crate::platform::transport::Payload;

/// A key whose value cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableEntry {
    /// The key.
    pub key: String,
    /// Why.
    pub reason: String,
}

/// One page of the keys under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The keys that could be read, in order.
    pub entries: Vec<Entry>,
    /// Keys whose values could not be read.
    pub unreadable: Vec<UnreadableEntry>,
    /// The last key of the page, read or refused; `None` on the last page.
    pub next: Option<String>,
    /// Revision of the store.
    pub revision: u64,
}

/// What has changed since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The changes that could be read, oldest first.
    pub changes: Vec<Change>,
    /// Keys whose new values could not be read.
    pub unreadable: Vec<UnreadableEntry>,
    /// Revision of the store; the next poll goes on from here.
    pub revision: u64,
}

/// A call that posts JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Post {
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: String,
}

/// How a store spells its calls.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Path and query of a listing; it begins after a key if one is given.
    pub list: fn(prefix: &str, after: Option<&str>) -> String,
    /// Reads the answer to a listing.
    pub page: fn(&[u8]) -> DecodeResult<Page>,
    /// Path and query of a read of one key.
    pub item: fn(key: &str) -> String,
    /// Reads the answer to that.
    pub found: fn(&[u8]) -> DecodeResult<Page>,
    /// Path and query of a poll for changes after a revision.
    pub poll: fn(prefix: &str, after: u64, wait: Duration) -> String,
    /// Reads the answer to a poll.
    pub batch: fn(&[u8]) -> DecodeResult<Batch>,
    /// Asks for a lease.
    pub grant: fn(ttl: Duration) -> Post,
    /// Reads the answer to that.
    pub lease: fn(&[u8]) -> DecodeResult<Lease>,
    /// Writes a key that goes with a lease, whatever it held before.
    pub put: fn(key: &str, value: &[u8], lease: Lease) -> Post,
    /// Renews a lease.
    pub renew: fn(Lease) -> Post,
}

/// Reader of a store, cheap to clone.
#[derive(Clone)]
pub struct Reader {
    client: Client,
    dialect: Dialect,
}

impl Reader {
    /// A reader of the client's store.
    pub fn new(client: Client, dialect: Dialect) -> Self {
        Self { client, dialect }
    }

    /// What makes the calls.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads one page of a prefix, after a key if one is given.
    ///
    /// # Errors
    ///
    /// Fails when no address gives an answer, or the allowance is used up.
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page> {
        let call = Call {
            step: "list",
            kind: Kind::Read,
            path: (self.dialect.list)(prefix, after).into(),
            body: None,
            wait: Duration::ZERO,
        };
        self.client.call(&call, self.dialect.page).await
    }

    /// Reads one key: a page with its entry, if it exists and can be read.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Refused`] when it does not exist; otherwise as
    /// [`Reader::page`].
    pub async fn get(&self, key: &str) -> Result<Page> {
        let call = Call {
            step: "read",
            kind: Kind::Read,
            path: (self.dialect.item)(key).into(),
            body: None,
            wait: Duration::ZERO,
        };
        self.client.call(&call, self.dialect.found).await
    }

    /// Waits for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Compacted`] when the store no longer has all of them;
    /// otherwise as [`Reader::page`].
    pub async fn poll(&self, prefix: &str, after: u64, wait: Duration) -> Result<Batch> {
        let call = Call {
            step: "poll",
            kind: Kind::Watch,
            path: (self.dialect.poll)(prefix, after, wait).into(),
            body: None,
            wait,
        };
        self.client.call(&call, self.dialect.batch).await
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// After [`crate::Error::Unanswered`] a lease may exist that nobody knows of;
    /// it holds no key and lapses by itself.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease> {
        let post = (self.dialect.grant)(ttl);
        let call = posted("lease grant", Kind::Lease, post);
        self.client.call(&call, self.dialect.lease).await
    }

    /// Writes a key that goes with a lease.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Refused`] when the lease has lapsed. After
    /// [`crate::Error::Unanswered`] the key may have been written, or may be
    /// later while the lease lasts.
    pub async fn put(&self, key: &str, value: &[u8], lease: Lease) -> Result<()> {
        let post = (self.dialect.put)(key, value, lease);
        let call = posted("put", Kind::Write, post);
        self.client.call(&call, |_| Ok(())).await
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Refused`] when it has lapsed; after any other error it may
    /// have been renewed.
    pub async fn renew(&self, lease: Lease) -> Result<()> {
        let post = (self.dialect.renew)(lease);
        let call = posted("lease renewal", Kind::Lease, post);
        self.client.call(&call, |_| Ok(())).await
    }
}

fn posted(step: &'static str, kind: Kind, post: Post) -> Call {
    Call {
        step,
        kind,
        path: post.path.into(),
        body: Some(Payload::Json(post.body)),
        wait: Duration::ZERO,
    }
}
