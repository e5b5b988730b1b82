//! What an instance believes, as its status address tells it.

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::platform::poll::UnreadableEntry;

/// What an instance believes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether routers are to send packets here.
    pub is_ready: bool,
    /// Version of the configuration, 0 before the first.
    pub version: u64,
    /// Flows remembered.
    pub flows: usize,
    /// Time since everything that the store knew was known here, in milliseconds.
    pub contact_age_ms: Option<u64>,
    /// The instance that changes come from; `None` for the store itself.
    pub upstream: Option<id::Instance>,
    /// Zones whose servers get no new flows, as operators ordered.
    #[serde(default)]
    pub evacuated: Vec<EvacuatedZone>,
    /// The backend servers, those that are gone included.
    pub servers: Vec<Server>,
    /// Entries of the store that cannot be read at present, 32 at most.
    #[serde(default)]
    pub refused: Vec<UnreadableEntry>,
}

/// A zone that operators have evacuated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: id::Zone,
    /// Time since the order is known here, in milliseconds.
    pub known_ms: u64,
}

/// What an instance believes about a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The server.
    pub server: id::Server,
    /// The service it runs.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// When it started, in Unix milliseconds, as it says itself.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Whether its entry cannot be read, so that it gets no new flows.
    #[serde(default)]
    pub is_unreadable: bool,
    /// Whether it said that it leaves.
    pub is_draining: bool,
    /// Whether its zone is evacuated.
    #[serde(default)]
    pub is_evacuated: bool,
    /// Time since its entry went missing, in milliseconds.
    pub missing_ms: Option<u64>,
    /// Whether new flows avoid it, since callers heard nothing from it.
    pub is_suspected: bool,
    /// Silences in a row.
    pub misses: u32,
    /// Share of requests that seem to end badly there, in percent: those that fail
    /// at once and those that are never answered.
    #[serde(default)]
    pub bad_percent: u32,
    /// Time since it last answered a caller of this instance, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Requests of this instance in progress there.
    pub outstanding: u32,
    /// Open flows of this instance.
    pub flows: u32,
}

impl Server {
    /// Its state in one word: what keeps new flows away, if anything does.
    pub fn state(&self) -> &'static str {
        match self {
            Self {
                missing_ms: Some(_),
                ..
            } => "missing",
            Self {
                is_unreadable: true,
                ..
            } => "unreadable",
            Self {
                is_draining: true, ..
            } => "draining",
            Self {
                is_evacuated: true, ..
            } => "evacuated",
            Self {
                is_suspected: true, ..
            } => "suspected",
            _ => "ready",
        }
    }
}
