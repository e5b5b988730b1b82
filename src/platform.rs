//! Client for the platform's key-value service.
//!
//! All calls to the platform go through [`Client`], so that timeouts, failover,
//! the allowance of calls and the counts of their outcomes stand in one place.
//!
//! A read is tried at each address once. A write goes to another address only
//! when no connection could be made: once its bytes may have left, an answer
//! that stays away is [`Error::Unanswered`] and the caller has to find out, for
//! which there is [`Client::compare_and_swap_resolved`].

mod call;
mod client;
mod follow;
pub mod gateway;
pub mod poll;
pub mod rate_limit;
mod resolution;
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

/// Base address of the platform's service: `http://IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BaseUrl(String);

impl FromStr for BaseUrl {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let refuse = || Error::Decode {
            step: "platform address",
            peer: text.to_owned(),
            reason: "want http://IP:PORT".to_owned(),
        };
        let address = text.strip_prefix("http://").ok_or_else(refuse)?;
        let address = address.strip_suffix('/').unwrap_or(address);
        let socket: std::net::SocketAddr = address.parse().map_err(|_| refuse())?;
        if socket.port() == 0 || socket.ip().is_unspecified() {
            return Err(refuse());
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

/// Identity of a lease.
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

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// What is stored.
    pub value: Bytes,
    /// Revision of the store at which this value was written.
    pub mod_revision: u64,
}

/// All keys of a prefix at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The keys, in order.
    pub entries: Vec<Entry>,
    /// Revision of the store; a watch goes on from the next one.
    pub revision: u64,
}

/// One change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, or the lease that held it has lapsed.
    Delete {
        /// The key.
        key: String,
        /// Revision of the store at which it went.
        mod_revision: u64,
    },
}

impl Change {
    /// Revision of the store that the change made.
    pub fn mod_revision(&self) -> u64 {
        match self {
            Self::Put(entry) => entry.mod_revision,
            Self::Delete { mod_revision, .. } => *mod_revision,
        }
    }
}

/// Outcome of a compare-and-swap that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// Written, at this revision.
    Done(u64),
    /// Not written: the key holds this, or nothing.
    Lost(Option<Entry>),
}

/// How calls are made.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time for one try at one address, connecting included.
    pub call_timeout: Duration,
    /// Time for connecting; shorter than the call's, so that a write to an
    /// address that is gone can still go to the next one.
    pub connect_timeout: Duration,
    /// Time for finding out what became of an unanswered write.
    pub resolve_timeout: Duration,
    /// Delays between tries.
    pub backoff: pacing::BackoffBounds,
    /// Time between the probes of [`follow()`].
    pub probe_interval: Duration,
    /// Allowance of reads, watches included.
    pub read_rate: Rate,
    /// Allowance of writes, calls for leases included.
    pub write_rate: Rate,
    /// Seed of the jitter; differs between instances.
    pub seed: u64,
}

impl Default for Options {
    /// A ninth of what the platform serves, so that nine instances fit.
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

/// Calls by kind and failures by kind, since the start.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads sent.
    pub reads: AtomicU64,
    /// Writes sent.
    pub writes: AtomicU64,
    /// Calls for leases sent.
    pub leases: AtomicU64,
    /// Watches opened.
    pub watches: AtomicU64,
    /// Tries that found no connection.
    pub unreachable: AtomicU64,
    /// Tries that got no answer, or none that can be read.
    pub unanswered: AtomicU64,
    /// Calls that the platform refused.
    pub refused: AtomicU64,
    /// Calls that the local allowance refused.
    pub rate_limited: AtomicU64,
    /// Answers older than what was known already.
    pub stale: AtomicU64,
}
