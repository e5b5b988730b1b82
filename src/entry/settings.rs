//! Settings of an entry instance, read from JSON with comments.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::entry::checks;
use crate::error::Result;
use crate::flow;
use crate::id;
use crate::platform::BaseUrl;
use crate::platform::rate_limit::Rate;
use crate::replica::Bandwidth;
use crate::settings;
use crate::settings::Log;
use crate::settings::Milliseconds;
use crate::settings::Seconds;
use crate::settings::jsonc::Source;

/// Duration of a graceful stop, if none is configured.
const DEFAULT_GRACE: Duration = Duration::from_secs(6);

/// Longest grace time that a graceful stop makes use of.
const MAX_GRACE: Duration = Duration::from_secs(3_600);

/// Longest lifetime of a flow that is tracked. An older flow is tracked anew at its next
/// packet.
const MAX_FLOW_TTL: Duration = Duration::from_secs(86_400);

/// Addresses of the store and how this instance uses it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Addresses of the store; all of them must lead to the same data.
    pub addresses: Vec<BaseUrl>,
    /// Rate limit of this instance's reads.
    #[serde(default = "default_reads")]
    pub reads_per_second: Rate,
    /// Longest time until a dead connection to the store is detected, in milliseconds.
    /// Operators' changes must take effect 3 to 5 s after the instance can read them.
    #[serde(default = "default_notice_ms")]
    pub notice_ms: u64,
    /// Times in which changes of the store must take effect here, in milliseconds.
    /// The shortest one applies; without any the limit is 3 s.
    #[serde(default)]
    pub bounds_ms: Vec<Milliseconds>,
    /// Time after an outage of the store within which its state must be in use here again,
    /// in milliseconds. Times shorter than 3 s cannot be met.
    #[serde(default = "default_catch_up_ms")]
    pub catch_up_ms: Milliseconds,
    /// Pause between polls in which changes are collected, in milliseconds.
    #[serde(default = "default_gather_ms")]
    pub gather_ms: u64,
    /// Longest time that a starting instance waits for a copy from another instance
    /// before it reads the store as well, in milliseconds. The three head instances of a
    /// zone read the store at once. This time applies to the first instance after them;
    /// each further instance waits half this time longer than the previous one, 1.5 s at
    /// most.
    #[serde(default = "default_copy_wait_ms")]
    pub copy_wait_ms: u64,
}

/// Decisions under load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Balancing {
    /// Instances of a zone that prefer the same server; 0 if all instances share all
    /// servers alike.
    pub owners_per_server: u32,
    /// Whether a server's speed is learned from its answers.
    pub learns_speed: bool,
    /// Whether openings are admitted by the priority of their route while a service is
    /// short of capacity.
    pub admits_by_priority: bool,
}

impl Balancing {
    pub(crate) fn options(&self) -> flow::Balancing {
        flow::Balancing {
            owners_per_server: self.owners_per_server as usize,
            learns_speed: self.learns_speed,
            admits_by_priority: self.admits_by_priority,
        }
    }
}

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// UDP listen address for callers' packets.
    pub packets: SocketAddrV4,
    /// HTTP listen address of the readiness probe for routers.
    pub ready: SocketAddrV4,
    /// HTTP listen address for metrics and status.
    pub metrics: SocketAddrV4,
    /// TCP listen address for other instances' subscriptions.
    pub peers: SocketAddrV4,
    /// Address under which other instances reach `peers`, if that differs because of a
    /// relay or proxy in between.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddrV4>,
    /// Peer addresses of some instances, used to get a copy when the store does not
    /// answer at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// The store.
    pub store: Store,
    /// Longest lifetime of a flow, in seconds.
    #[serde(default = "default_flow_ttl_s")]
    pub flow_ttl_s: Seconds,
    /// Longest duration of a graceful stop, in milliseconds.
    #[serde(default)]
    pub grace_ms: Option<Milliseconds>,
    /// The same in seconds; only one of both may be set.
    #[serde(default)]
    pub grace_s: Option<Seconds>,
    /// Margin, in requests per slot, by which a server of another zone must be less
    /// loaded than the servers of this zone before it gets a new flow.
    #[serde(default = "default_spill")]
    pub spill: f64,
    /// Decisions under load; each of them is off unless it is set.
    #[serde(default)]
    pub balancing: Balancing,
    /// Bandwidth of this instance's network link, in Mbit/s.
    #[serde(default = "default_link")]
    pub link_mbps: Bandwidth,
    /// Largest number of flows in the flow table.
    #[serde(default = "default_max_flows")]
    pub max_flows: u32,
    /// Largest number of log lines per second; lines beyond it are only counted.
    #[serde(default = "default_log_rate")]
    pub log_lines_per_second: Rate,
    /// Log level and format.
    #[serde(default)]
    pub log: Log,
}

/// A hundredth of the read rate that the smallest known store serves.
fn default_reads() -> Rate {
    Rate(20)
}

fn default_notice_ms() -> u64 {
    3_000
}

fn default_catch_up_ms() -> Milliseconds {
    Milliseconds(4_000.0)
}

fn default_gather_ms() -> u64 {
    400
}

/// Slightly more than the 25 to 50 ms after which instances that read the store
/// themselves are ready.
fn default_copy_wait_ms() -> u64 {
    60
}

fn default_flow_ttl_s() -> Seconds {
    Seconds(60.0)
}

/// Chosen from the range 0.75 to 4 under bursts, partitions and server failures. A
/// smaller margin loses flows when a zone is cut off; a larger one lets queues overflow
/// in a zone that lost servers.
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
    /// [`crate::Error::Field`] for the first invalid field.
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        let source = Source::new(file, text)?;
        let settings: Self = source.parse()?;
        match checks::settings(&settings) {
            Some(refusal) => Err(source.refuse(refusal)),
            None => Ok(settings),
        }
    }

    /// Address at which other instances subscribe to this one.
    pub(crate) fn advertised_address(&self) -> SocketAddrV4 {
        self.peers_advertised.unwrap_or(self.peers)
    }

    pub(crate) fn notice(&self) -> Duration {
        Duration::from_millis(self.store.notice_ms)
    }

    /// The shortest time in which changes must take effect, if one is configured.
    pub fn bound(&self) -> Option<Duration> {
        let bounds = self.store.bounds_ms.iter();
        bounds.map(|bound| bound.rounded_down()).min()
    }

    /// Time after an outage of the store within which its state must be in use again.
    pub fn catch_up(&self) -> Duration {
        self.store.catch_up_ms.rounded_down()
    }

    pub(crate) fn copy_wait(&self) -> Duration {
        Duration::from_millis(self.store.copy_wait_ms)
    }

    pub(crate) fn gather(&self) -> Duration {
        Duration::from_millis(self.store.gather_ms)
    }

    /// Longest lifetime of a flow.
    pub fn flow_ttl(&self) -> Duration {
        let flow_ttl = Milliseconds::from(self.flow_ttl_s).rounded_up();
        flow_ttl.min(MAX_FLOW_TTL)
    }

    /// Longest duration of a graceful stop.
    pub fn grace(&self) -> Duration {
        let grace = self.grace_s.map(Milliseconds::from).or(self.grace_ms);
        let grace = grace.map_or(DEFAULT_GRACE, Milliseconds::rounded_down);
        grace.min(MAX_GRACE)
    }
}
