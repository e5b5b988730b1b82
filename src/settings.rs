//! The daemon's settings and the operators' documents as files.
//!
//! Files are JSON with comments. Every field is checked before anything starts,
//! so that a daemon either runs with what was written or says which field of
//! which line it refuses.

pub(crate) mod checks;
pub(crate) mod jsonc;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::document;
use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::platform::BaseUrl;
use crate::platform::rate_limit::Rate;
use crate::settings::jsonc::Source;

pub use crate::key::Key;

/// Largest settings or document file, in bytes.
const MAX_FILE: u64 = 1 << 20;

/// Bounds of what an instance holds in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Flows in the flow table.
    pub max_flows: u32,
    /// Packets kept back until it is known who decides for them.
    pub max_parked: u32,
    /// Largest datagram, in bytes.
    pub max_datagram: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_flows: 500_000,
            max_parked: 10_000,
            max_datagram: 1_400,
        }
    }
}

/// How backend servers' health is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Probe {
    /// Time between two probes of a server, in milliseconds.
    pub interval_ms: u64,
    /// Time for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// How long an answer confirms which service the server runs, in milliseconds.
    pub confirm_for_ms: u64,
}

impl Default for Probe {
    fn default() -> Self {
        Self {
            interval_ms: 500,
            timeout_ms: 400,
            confirm_for_ms: 1_500,
        }
    }
}

impl Probe {
    /// Time between two probes of a server.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms)
    }

    /// Time for the answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// How long an answer confirms which service the server runs.
    pub fn confirm_for(&self) -> Duration {
        Duration::from_millis(self.confirm_for_ms)
    }
}

/// Severity from which on a record is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// The process cannot go on.
    Critical,
    /// Something failed.
    Error,
    /// Something looks wrong.
    Warning,
    /// What an operator wants to know.
    #[default]
    Info,
    /// What a developer wants to know.
    Debug,
    /// Everything.
    Trace,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a terminal.
    Text,
}

/// What is logged, and how.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Level of all modules that are not named below.
    pub level: Level,
    /// Form of the records.
    pub format: Format,
    /// Level by module, as in `godwitreel::platform`; the longest match counts.
    pub modules: BTreeMap<String, Level>,
}

/// Settings of one `godwitreeld`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Name of this entry instance.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// UDP address for messages between instances, bound here.
    pub peer: id::Endpoint,
    /// Where other instances send to, if not to `peer`.
    #[serde(default)]
    pub peer_advertise: Option<id::Endpoint>,
    /// HTTP address for status and metrics, bound here.
    pub status: id::Endpoint,
    /// Addresses of the platform's service, which are one store.
    pub platform: Vec<BaseUrl>,
    /// UDP address bound for a service, where the fabric delivers its packets;
    /// a service that is not named is bound at its public address.
    #[serde(default)]
    pub listeners: BTreeMap<id::Service, id::Endpoint>,
    /// Peers to ask for the configuration when the platform is down at the start.
    #[serde(default)]
    pub seeds: Vec<id::Endpoint>,
    /// Makes the hash of flows to slices unpredictable; the same at all instances.
    #[serde(default)]
    pub hash_key: u64,
    /// IP address bound for sockets toward backend servers.
    #[serde(default = "default_backend_bind")]
    pub backend_bind: IpAddr,
    /// Workers in the pool.
    #[serde(default = "default_workers")]
    pub workers: u32,
    /// Slices of the flow space; the same at all instances, a power of two.
    #[serde(default = "default_slices")]
    pub slices: u32,
    /// One or two keys for the peers' MAC: the first signs, all verify.
    pub keys: Vec<Key>,
    /// Time between two heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Silence after which a peer is suspected, in milliseconds.
    #[serde(default = "default_suspect_after_ms")]
    pub suspect_after_ms: u64,
    /// Time without the platform after which a home and its backup stop
    /// non-idempotent work, in seconds.
    #[serde(default = "default_isolation_limit_s")]
    pub isolation_limit_s: u64,
    /// Unbroken contact with the platform before a slice is taken from a home
    /// and a backup that are both gone, in seconds.
    #[serde(default = "default_outsider_wait_s")]
    pub outsider_wait_s: u64,
    /// Longest planned stop, in seconds.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: u64,
    /// Bounds of memory.
    #[serde(default)]
    pub limits: Limits,
    /// Health checks.
    #[serde(default)]
    pub probe: Probe,
    /// Bytes of control traffic to one peer.
    #[serde(default = "default_peer_bytes")]
    pub peer_bytes_per_second: Rate,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

fn default_backend_bind() -> IpAddr {
    Ipv4Addr::UNSPECIFIED.into()
}

fn default_workers() -> u32 {
    2
}

fn default_slices() -> u32 {
    1_024
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

fn default_suspect_after_ms() -> u64 {
    3_000
}

fn default_isolation_limit_s() -> u64 {
    1_800
}

fn default_outsider_wait_s() -> u64 {
    1_980
}

fn default_stop_grace_s() -> u64 {
    30
}

fn default_peer_bytes() -> Rate {
    Rate(2_048)
}

impl Daemon {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or as [`Daemon::parse`] does.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(path, &read(path)?)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`Error::Field`] for the first field that is refused.
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        let source = Source::new(file, text)?;
        let daemon: Self = source.parse()?;
        match checks::daemon(&daemon) {
            Some(refusal) => Err(source.refuse(refusal)),
            None => Ok(daemon),
        }
    }

    /// Where other instances send their messages to.
    pub fn advertised(&self) -> id::Endpoint {
        self.peer_advertise.unwrap_or(self.peer)
    }

    /// Time between two heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Silence after which a peer is suspected.
    pub fn suspect_after(&self) -> Duration {
        Duration::from_millis(self.suspect_after_ms)
    }

    /// Time without the platform before non-idempotent work stops.
    pub fn isolation_limit(&self) -> Duration {
        Duration::from_secs(self.isolation_limit_s)
    }

    /// Contact with the platform before an outsider takes a slice.
    pub fn outsider_wait(&self) -> Duration {
        Duration::from_secs(self.outsider_wait_s)
    }

    /// Longest planned stop.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs(self.stop_grace_s)
    }
}

/// Checks the text of a profile file.
///
/// # Errors
///
/// [`Error::Field`] for the first field that is refused.
pub fn profile(file: &Path, text: &str) -> Result<document::Profile> {
    let source = Source::new(file, text)?;
    let profile: document::Profile = source.parse()?;
    match profile.conflict() {
        Some(conflict) => Err(source.refuse(conflict.into())),
        None => Ok(profile),
    }
}

/// Checks the text of a service file.
///
/// # Errors
///
/// [`Error::Field`] for the first field that is refused.
pub fn service(file: &Path, text: &str) -> Result<document::Service> {
    let source = Source::new(file, text)?;
    let service: document::Service = source.parse()?;
    match checks::service(&service) {
        Some(refusal) => Err(source.refuse(refusal)),
        None => Ok(service),
    }
}

/// Reads the text of a file that has no checks beyond its fields' own.
///
/// # Errors
///
/// [`Error::Field`] for the first field that is refused.
pub fn parse<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T> {
    Source::new(file, text)?.parse()
}

/// Reads a settings or document file.
///
/// # Errors
///
/// Fails when the file cannot be read, is no text or longer than a megabyte.
pub fn read(path: &Path) -> Result<String> {
    let failed = |source| Error::Io {
        step: "read file",
        peer: path.display().to_string(),
        source,
    };
    let length = std::fs::metadata(path).map_err(failed)?.len();
    if length > MAX_FILE {
        return Err(failed(std::io::ErrorKind::FileTooLarge.into()));
    }
    std::fs::read_to_string(path).map_err(failed)
}
