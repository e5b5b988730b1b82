//! What an instance tells over HTTP; shared by the daemon and the tool.
//!
//! | path | answer |
//! |---|---|
//! | `GET /status` | [`Status`] |
//! | `GET /ready` | 200 if it takes callers' datagrams, else 503 |
//! | `GET /metrics` | Prometheus text (OpenMetrics) |
//! | `GET /explain?service=S&caller=A` | list of [`Trace`], newest first |
//! | `GET /burn` | the burn counts |

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// State of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Which instance, in which of its lives.
    pub holder: id::Holder,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether it takes callers' datagrams.
    pub ready: bool,
    /// Whether it is handing its slices over.
    pub leaving: bool,
    /// Milliseconds since the platform last answered; none if it never did.
    pub platform_silent_ms: Option<u64>,
    /// Revision in force of each document, by `profiles/NAME` and `services/NAME`.
    pub revisions: BTreeMap<String, id::Revision>,
    /// Documents that were refused, with the reason.
    pub refused: BTreeMap<String, String>,
    /// Slices that it is home of.
    pub homes: u32,
    /// Slices that it is backup of.
    pub backups: u32,
    /// Slices that it is home of without a backup.
    pub alone: u32,
    /// Requests in progress.
    pub in_progress: u64,
    /// Feeds open or kept as copies.
    pub feeds: u64,
    /// The other instances that it knows.
    pub peers: Vec<Peer>,
    /// Zones whose servers get no new work, as operators ordered.
    #[serde(default)]
    pub evacuated: BTreeSet<id::Zone>,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// Another instance as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Which instance.
    pub holder: id::Holder,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether it was heard recently.
    pub live: bool,
    /// Whether it is handing its slices over.
    pub leaving: bool,
    /// Milliseconds since it was last heard.
    pub silent_ms: u64,
}

/// A backend server as this instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub id: id::Server,
    /// Its service.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests of this instance in progress there.
    pub outstanding: u32,
    /// Feeds of this instance open there.
    pub feeds: u32,
}

/// One thing that was done for a flow, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// Milliseconds ago.
    pub age_ms: u64,
    /// The reason code.
    pub reason: String,
    /// The service.
    pub service: String,
    /// The caller.
    pub caller: String,
    /// The request's identity, if one was concerned.
    pub request: Option<String>,
    /// The slice.
    pub slice: Option<u32>,
    /// The slice's epoch when it happened.
    pub epoch: Option<u64>,
    /// Revision of the profile in force.
    pub revision: Option<u64>,
    /// The backend server.
    pub server: Option<String>,
    /// How long it took, in milliseconds.
    pub elapsed_ms: Option<u64>,
}
