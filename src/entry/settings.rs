//! Settings of one entry instance, in JSON with comments.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::entry::checks;
use crate::error::Result;
use crate::id;
use crate::platform::BaseUrl;
use crate::platform::rate_limit::Rate;
use crate::replica::Bandwidth;
use crate::settings;
use crate::settings::Log;
use crate::settings::jsonc::Source;

/// The store and this instance's share of it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Its addresses, which are one store.
    pub addresses: Vec<BaseUrl>,
    /// Reads that this instance may make.
    #[serde(default = "default_reads")]
    pub reads_per_second: Rate,
    /// Longest time in which a dead connection may go unnoticed, in
    /// milliseconds. Operators' changes must be in force 3 to 5 s after they
    /// can reach the instance.
    #[serde(default = "default_notice_ms")]
    pub notice_ms: u64,
    /// Times in which changes of the store must be in force here, in
    /// milliseconds; the least counts. 3 s when none is given.
    #[serde(default)]
    pub bounds_ms: Vec<u64>,
    /// Pause in which changes gather, in milliseconds.
    #[serde(default = "default_gather_ms")]
    pub gather_ms: u64,
    /// Longest time that the first instance after the three heads of a zone waits for
    /// another one's copy, when it starts, before it reads the store as well, in
    /// milliseconds; each further one waits half as long more, 1.5 s at most.
    #[serde(default = "default_copy_wait_ms")]
    pub copy_wait_ms: u64,
}

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// UDP address for callers' packets, bound here.
    pub packets: SocketAddrV4,
    /// HTTP address that tells whether to send packets here, bound here.
    pub ready: SocketAddrV4,
    /// HTTP address for metrics and status, bound here.
    pub metrics: SocketAddrV4,
    /// TCP address for other instances' subscriptions, bound here.
    pub peers: SocketAddrV4,
    /// Where others find that address, if a relay stands before this instance.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddrV4>,
    /// Such addresses of some instances, to ask when the store does not answer
    /// at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// The store.
    pub store: Store,
    /// Longest life of a flow, in seconds.
    #[serde(default = "default_flow_ttl_s")]
    pub flow_ttl_s: u64,
    /// Longest planned stop, in milliseconds.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Requests a slot by which a server of another zone must be less loaded
    /// than this zone's to get a new flow.
    #[serde(default = "default_spill")]
    pub spill: f64,
    /// Rate of this instance's link, in Mbit/s.
    #[serde(default = "default_link")]
    pub link_mbps: Bandwidth,
    /// Flows remembered at most.
    #[serde(default = "default_max_flows")]
    pub max_flows: u32,
    /// Log lines a second at most; what is beyond is counted.
    #[serde(default = "default_log_rate")]
    pub log_lines_per_second: Rate,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// A hundredth of what the smallest store known serves.
fn default_reads() -> Rate {
    Rate(20)
}

fn default_notice_ms() -> u64 {
    3_000
}

fn default_gather_ms() -> u64 {
    400
}

/// Instances that read the store are ready 25 to 50 ms after their start.
fn default_copy_wait_ms() -> u64 {
    60
}

fn default_flow_ttl_s() -> u64 {
    60
}

fn default_grace_ms() -> u64 {
    6_000
}

/// Measured from 0.75 to 4 on days with bursts, cut zones and lost servers: less
/// loses flows when a zone is cut off, more lets queues overflow in a zone that
/// lost servers.
fn default_spill() -> f64 {
    2.5
}

fn default_link() -> Bandwidth {
    Bandwidth::DEFAULT
}

fn default_max_flows() -> u32 {
    64_000
}

fn default_log_rate() -> Rate {
    Rate(100)
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or as [`Settings::parse`] does.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(path, &settings::read(path)?)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Field`] for the first field that is refused.
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        let source = Source::new(file, text)?;
        let settings: Self = source.parse()?;
        match checks::settings(&settings) {
            Some(refusal) => Err(source.refuse(refusal)),
            None => Ok(settings),
        }
    }

    /// What other instances are told to subscribe to.
    pub(crate) fn advertised(&self) -> SocketAddrV4 {
        self.peers_advertised.unwrap_or(self.peers)
    }

    pub(crate) fn notice(&self) -> Duration {
        Duration::from_millis(self.store.notice_ms)
    }

    /// The least time in which changes must be in force, if one is given.
    pub(crate) fn bound(&self) -> Option<Duration> {
        let least = self.store.bounds_ms.iter().min();
        least.copied().map(Duration::from_millis)
    }

    pub(crate) fn copy_wait(&self) -> Duration {
        Duration::from_millis(self.store.copy_wait_ms)
    }

    pub(crate) fn gather(&self) -> Duration {
        Duration::from_millis(self.store.gather_ms)
    }

    pub(crate) fn flow_ttl(&self) -> Duration {
        Duration::from_secs(self.flow_ttl_s)
    }

    pub(crate) fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }
}
