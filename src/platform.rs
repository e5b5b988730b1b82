//! Client for the platform's key-value service.
//!
//! All calls to the platform go through [`Client`], which handles timeouts,
//! failover, rate limits and the counters of outcomes.
//!
//! A read is tried at each address once. A write is sent to another address
//! only if no connection could be made. Once its bytes may have left this
//! process, a missing response is [`Error::Unanswered`], and the caller has to
//! find out whether the write took effect; [`Client::compare_and_swap_resolved`]
//! does that.

mod call;
mod call_time;
mod client;
mod follow;
pub mod gateway;
pub mod poll;
pub mod rate_limit;
mod resolution;
mod revision;
pub(crate) mod transport;
mod watch;

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::pacing;
use crate::platform::rate_limit::Rate;

pub use crate::platform::client::Client;
pub use crate::platform::follow::Update;
pub use crate::platform::follow::follow;
pub use crate::platform::resolution::ResolvedWrite;
pub use crate::platform::revision::Era;
pub use crate::platform::revision::EraHeader;
pub use crate::platform::revision::Revision;

/// Base address of the platform's service: `http://IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BaseUrl(String);

impl FromStr for BaseUrl {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::Decode {
            step: "platform address",
            peer: text.to_owned(),
            reason: "want http://IP:PORT".to_owned(),
        };
        let address = text.strip_prefix("http://").ok_or_else(invalid)?;
        let address = address.strip_suffix('/').unwrap_or(address);
        let socket: std::net::SocketAddr = address.parse().map_err(|_| invalid())?;
        if socket.port() == 0 || socket.ip().is_unspecified() {
            return Err(invalid());
        }
        Ok(Self(format!("http://{socket}")))
    }
}

impl TryFrom<String> for BaseUrl {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<BaseUrl> for String {
    fn from(base: BaseUrl) -> Self {
        base.0
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub u64);

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Lease {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| Error::Number {
            kind: "lease",
            value: text.to_owned(),
        })
    }
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The stored value.
    pub value: Bytes,
    /// Revision of the store at which this value was written, with its era as in
    /// [`Revision`].
    pub mod_revision: u64,
}

/// All keys of a prefix as of one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The entries, ordered by key.
    pub entries: Vec<Entry>,
    /// Revision of the store; a watch continues from the next revision.
    pub revision: u64,
}

/// One change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, or the lease it was attached to has expired.
    Delete {
        /// The key.
        key: String,
        /// Revision of the store at which the key was deleted.
        mod_revision: u64,
    },
}

impl Change {
    /// Revision of the store at which the change was made.
    pub fn mod_revision(&self) -> u64 {
        match self {
            Self::Put(entry) => entry.mod_revision,
            Self::Delete { mod_revision, .. } => *mod_revision,
        }
    }

    fn mod_revision_mut(&mut self) -> &mut u64 {
        match self {
            Self::Put(entry) => &mut entry.mod_revision,
            Self::Delete { mod_revision, .. } => mod_revision,
        }
    }
}

/// Outcome of a compare-and-swap for which a response arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The write was applied at this revision.
    Done(u64),
    /// The write was not applied; the current entry of the key, if it exists.
    Lost(Option<Entry>),
}

/// Timeouts, delays and rate limits of calls to the platform.
#[derive(Clone, Debug)]
pub struct Options {
    /// Timeout of one attempt at one address, including the connection setup.
    pub call_timeout: Duration,
    /// Timeout of the connection setup. It is shorter than `call_timeout`, so
    /// that a write to an unreachable address can still go to the next address.
    pub connect_timeout: Duration,
    /// Time limit for finding out the outcome of an unanswered write.
    pub resolve_timeout: Duration,
    /// Delays between attempts.
    pub backoff: pacing::BackoffBounds,
    /// Interval of the probes of [`follow()`].
    pub probe_interval: Duration,
    /// Rate limit of reads and watches.
    pub read_rate: Rate,
    /// Rate limit of writes and lease calls.
    pub write_rate: Rate,
    /// Seed of the backoff jitter; should differ between instances.
    pub seed: u64,
}

impl Default for Options {
    /// The rate limits are a ninth of what the platform serves, so that nine
    /// instances can share it.
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
            resolve_timeout: Duration::from_secs(5),
            backoff: pacing::BackoffBounds {
                first_delay: Duration::from_millis(100),
                max_delay: Duration::from_secs(5),
            },
            probe_interval: Duration::from_secs(2),
            read_rate: Rate(200),
            write_rate: Rate(40),
            seed: 0,
        }
    }
}

/// Counters of calls and failures by kind since the client was created.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads sent.
    pub reads: AtomicU64,
    /// Writes sent.
    pub writes: AtomicU64,
    /// Lease calls sent.
    pub leases: AtomicU64,
    /// Watches opened.
    pub watches: AtomicU64,
    /// Attempts that could not connect.
    pub unreachable: AtomicU64,
    /// Attempts without a response, or with one that cannot be decoded.
    pub unanswered: AtomicU64,
    /// Calls that the platform rejected.
    pub refused: AtomicU64,
    /// Calls that the local rate limit rejected.
    pub rate_limited: AtomicU64,
    /// Responses older than data that was already known.
    pub stale: AtomicU64,
}
