//! Answers of an instance's status port; used by the daemon and the operators' tool.
//!
//! | path | answer |
//! |---|---|
//! | `GET /status` | [`Status`] |
//! | `GET /ready` | 200 if the instance accepts callers' datagrams, else 503 |
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
    /// The instance and its incarnation.
    pub holder: id::Holder,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether the instance accepts callers' datagrams.
    pub ready: bool,
    /// Whether the instance is handing its slices over.
    pub leaving: bool,
    /// Milliseconds since the platform last answered; `None` if it never did.
    pub platform_silent_ms: Option<u64>,
    /// Revision in force of each document, by `profiles/NAME` and `services/NAME`.
    pub revisions: BTreeMap<String, id::Revision>,
    /// Keys of refused documents, each with the reason.
    pub refused: BTreeMap<String, String>,
    /// Number of slices whose home is this instance.
    pub homes: u32,
    /// Number of slices whose backup is this instance.
    pub backups: u32,
    /// Number of slices whose home is this instance and that have no backup.
    pub alone: u32,
    /// Number of requests in progress.
    pub in_progress: u64,
    /// Number of feeds that are open or kept as copies.
    pub feeds: u64,
    /// The other known instances.
    pub peers: Vec<Peer>,
    /// Zones that operators have evacuated: their servers get no new work.
    #[serde(default)]
    pub evacuated: BTreeSet<id::Zone>,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// Another instance, as seen by this one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// The instance and its incarnation.
    pub holder: id::Holder,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether a heartbeat was received recently.
    pub live: bool,
    /// Whether the instance is handing its slices over.
    pub leaving: bool,
    /// Milliseconds since the last heartbeat.
    pub silent_ms: u64,
}

/// A backend server, as seen by this instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server.
    pub id: id::Server,
    /// Service of the server.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether the server takes new work.
    pub takes_work: bool,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Requests of this instance in progress at the server.
    pub outstanding: u32,
    /// Feeds of this instance open at the server.
    pub feeds: u32,
}

/// A decision or event of a flow, with its reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// Time since the event, in milliseconds.
    pub age_ms: u64,
    /// The reason code.
    pub reason: String,
    /// The service.
    pub service: String,
    /// The caller.
    pub caller: String,
    /// Identifier of the request, if the event concerns one.
    pub request: Option<String>,
    /// The slice.
    pub slice: Option<u32>,
    /// The slice's epoch at the time of the event.
    pub epoch: Option<u64>,
    /// Revision of the profile in force at the time of the event.
    pub revision: Option<u64>,
    /// The backend server.
    pub server: Option<String>,
    /// Duration of the request, in milliseconds.
    pub elapsed_ms: Option<u64>,
}
