//! Reading a store that answers long polls instead of keeping a stream open.
//!
//! How such a store spells its calls is a value, [`Dialect`]; timeouts, the
//! allowance and the counts are those of every call to the platform.

use std::sync::Arc;
use std::time::Duration;

use crate::error::Result;
use crate::gateway::Decoded;
use crate::platform::Base;
use crate::platform::Change;
use crate::platform::Counts;
use crate::platform::Entry;
use crate::platform::Options;
use crate::transport::Call;
use crate::transport::Kind;
use crate::transport::Transport;

/// A key whose value cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
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
    pub refused: Vec<Refusal>,
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
    pub refused: Vec<Refusal>,
    /// Revision of the store; the next poll goes on from here.
    pub revision: u64,
}

/// How a store spells its calls.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Path and query of a listing; it begins after a key if one is given.
    pub list: fn(prefix: &str, after: Option<&str>) -> String,
    /// Reads the answer to a listing.
    pub page: fn(&[u8]) -> Decoded<Page>,
    /// Path and query of a poll for changes after a revision.
    pub poll: fn(prefix: &str, after: u64, wait: Duration) -> String,
    /// Reads the answer to a poll.
    pub batch: fn(&[u8]) -> Decoded<Batch>,
}

/// Reader of a store, cheap to clone.
#[derive(Clone)]
pub struct Reader {
    transport: Arc<Transport>,
    dialect: Dialect,
}

impl Reader {
    /// A reader of the store behind these addresses.
    ///
    /// # Errors
    ///
    /// Fails when there is no address or the HTTP client cannot be set up.
    pub fn new(bases: Vec<Base>, options: Options, dialect: Dialect) -> Result<Self> {
        let transport = Arc::new(Transport::new(bases, options)?);
        Ok(Self { transport, dialect })
    }

    /// How many calls were made and how they ended.
    pub fn counts(&self) -> &Counts {
        self.transport.counts()
    }

    pub(crate) fn transport(&self) -> Arc<Transport> {
        Arc::clone(&self.transport)
    }

    pub(crate) fn options(&self) -> &Options {
        self.transport.options()
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
        self.transport.call(&call, self.dialect.page).await
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
        self.transport.call(&call, self.dialect.batch).await
    }
}
