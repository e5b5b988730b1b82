//! Metrics of the daemon, as OpenMetrics text.
//!
//! Every label has a bounded set of values: reasons, kinds and directions are fixed
//! lists, and the services past [`MAX_SERVICES`] share one label, so that neither
//! callers nor operators can make the text grow without bound. Counters are atomic.
//! The one lock here, around the services seen, is a leaf: no other lock is taken
//! while it is held.

pub(crate) mod collector;
pub(crate) mod label;

use std::collections::HashSet;
use std::fmt;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::action::TraceEvent;
use crate::id;
use crate::metric::collector::PlatformCollector;
use crate::metric::label::EventLabels;
use crate::metric::label::KindLabels;
use crate::metric::label::PeerLabels;
use crate::metric::label::ServiceLabel;
use crate::metric::label::ServiceLabels;
use crate::platform::Client;
use crate::reason::Reason;

pub use crate::metric::label::Direction;

/// Maximum number of services that get a label of their own.
pub const MAX_SERVICES: usize = 256;

/// Media type of the text that [`Metrics::encode`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Kinds of messages that can be withheld from a peer.
const WITHHELD_KINDS: [&str; 3] = ["heartbeat", "pull", "push"];

/// Suffix that the encoder appends to the name of every counter.
pub(crate) const COUNTER_SUFFIX: &str = "_total";

/// Name and meaning of a metric.
pub(crate) type Description = (&'static str, &'static str);

const EVENTS: Description = (
    "godwitreel_events_total",
    "What was done or refused, by reason code and service",
);
const PEER_MESSAGES: Description = (
    "godwitreel_peer_messages_total",
    "Messages between entry instances, by kind and direction",
);
const PEER_BYTES: Description = (
    "godwitreel_peer_bytes_total",
    "Bytes of messages between entry instances, by kind and direction",
);
const PEER_WITHHELD: Description = (
    "godwitreel_peer_withheld_total",
    "Messages to peers that were cut or put off to keep the byte budget, by kind",
);
pub(crate) const PLATFORM_CALLS: Description = (
    "godwitreel_platform_calls_total",
    "Calls sent to the platform, by kind",
);
pub(crate) const PLATFORM_FAILURES: Description = (
    "godwitreel_platform_failures_total",
    "Calls to the platform that failed, by kind of failure",
);
const HOME_SLICES: Description = (
    "godwitreel_home_slices",
    "Slices that this instance is home of",
);
const BACKUP_SLICES: Description = (
    "godwitreel_backup_slices",
    "Slices that this instance is backup of",
);
const ALONE_SLICES: Description = (
    "godwitreel_alone_slices",
    "Slices that this instance is home of without a backup",
);
const IN_PROGRESS_REQUESTS: Description = (
    "godwitreel_in_progress_requests",
    "Requests in progress at this instance",
);
const OPEN_FEEDS: Description = (
    "godwitreel_open_feeds",
    "Feeds open at this instance or kept as copies",
);
const PARKED_REQUESTS: Description = (
    "godwitreel_parked_requests",
    "Requests that wait for their slice to get a home",
);
const READY: Description = (
    "godwitreel_ready",
    "1 if this instance takes callers' datagrams, else 0",
);
const REQUEST_DURATION: Description = (
    "godwitreel_request_duration_seconds",
    "Time from forwarding a request to its server's answer, by service",
);

/// Every metric: the name under which it is scraped, and its meaning.
pub const NAMES: &[(&str, &str)] = &[
    EVENTS,
    PEER_MESSAGES,
    PEER_BYTES,
    PEER_WITHHELD,
    PLATFORM_CALLS,
    PLATFORM_FAILURES,
    HOME_SLICES,
    BACKUP_SLICES,
    ALONE_SLICES,
    IN_PROGRESS_REQUESTS,
    OPEN_FEEDS,
    PARKED_REQUESTS,
    READY,
    REQUEST_DURATION,
];

/// Values of all gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GaugeValues {
    /// Slices that this instance is home of.
    pub homes: u32,
    /// Slices that this instance is backup of.
    pub backups: u32,
    /// Slices that this instance is home of without a backup.
    pub alone: u32,
    /// Requests in progress.
    pub in_progress: u64,
    /// Feeds open or kept as copies.
    pub feeds: u64,
    /// Requests that wait for their slice to get a home.
    pub parked: u64,
    /// Whether this instance takes callers' datagrams.
    pub ready: bool,
}

#[derive(Debug, Default)]
struct Gauges {
    homes: Gauge,
    backups: Gauge,
    alone: Gauge,
    in_progress: Gauge,
    feeds: Gauge,
    parked: Gauge,
    ready: Gauge,
}

/// All metrics of one daemon, shared through an `Arc`.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    events: Family<EventLabels, Counter>,
    peer_messages: Family<PeerLabels, Counter>,
    peer_bytes: Family<PeerLabels, Counter>,
    peer_withheld: Family<KindLabels, Counter>,
    durations: Family<ServiceLabels, Histogram>,
    gauges: Gauges,
    services: RwLock<HashSet<id::Service>>,
}

impl Metrics {
    /// All metrics at 0. The platform metrics read the call counts of `platform`.
    pub fn new(platform: Client) -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            events: Family::default(),
            peer_messages: Family::default(),
            peer_bytes: Family::default(),
            peer_withheld: Family::default(),
            durations: Family::new_with_constructor(|| Histogram::new(BUCKETS)),
            gauges: Gauges::default(),
            services: RwLock::default(),
        };
        metrics.register();
        metrics
            .registry
            .register_collector(Box::new(PlatformCollector(platform.transport())));
        metrics.create_counters();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        register(registry, EVENTS, self.events.clone());
        register(registry, PEER_MESSAGES, self.peer_messages.clone());
        register(registry, PEER_BYTES, self.peer_bytes.clone());
        register(registry, PEER_WITHHELD, self.peer_withheld.clone());
        register(registry, HOME_SLICES, self.gauges.homes.clone());
        register(registry, BACKUP_SLICES, self.gauges.backups.clone());
        register(registry, ALONE_SLICES, self.gauges.alone.clone());
        register(
            registry,
            IN_PROGRESS_REQUESTS,
            self.gauges.in_progress.clone(),
        );
        register(registry, OPEN_FEEDS, self.gauges.feeds.clone());
        register(registry, PARKED_REQUESTS, self.gauges.parked.clone());
        register(registry, READY, self.gauges.ready.clone());
        register(registry, REQUEST_DURATION, self.durations.clone());
    }

    /// Creates the counters of every reason and of every kind of withheld message at 0.
    /// No rate can be computed from a counter whose first scraped value is already 1.
    fn create_counters(&self) {
        for reason in Reason::ALL {
            let labels = EventLabels {
                reason: reason.code(),
                service: ServiceLabel::None,
            };
            drop(self.events.get_or_create(&labels));
        }
        for kind in WITHHELD_KINDS {
            drop(self.peer_withheld.get_or_create(&KindLabels { kind }));
        }
    }

    /// Counts an event and, for an answered request, observes its duration.
    pub fn count_event(&self, event: &TraceEvent) {
        let service = self.service_label(event.flow.as_ref().map(|flow| &flow.service));
        if let (Reason::Answered, Some(elapsed)) = (event.reason, event.elapsed) {
            self.observe_duration(service.clone(), elapsed);
        }
        let labels = EventLabels {
            reason: event.reason.code(),
            service,
        };
        self.events.get_or_create(&labels).inc();
    }

    /// Counts a message to or from a peer; `kind` is [`crate::peer::PeerMessage::kind`].
    pub fn peer_message(&self, kind: &'static str, direction: Direction, bytes: usize) {
        let labels = PeerLabels { kind, direction };
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.peer_messages.get_or_create(&labels).inc();
        self.peer_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts a message to a peer that was shortened or postponed.
    pub fn peer_withheld(&self, kind: &'static str) {
        let labels = KindLabels { kind };
        self.peer_withheld.get_or_create(&labels).inc();
    }

    /// Sets all gauges.
    pub fn set(&self, values: &GaugeValues) {
        let gauges = &self.gauges;
        gauges.homes.set(values.homes.into());
        gauges.backups.set(values.backups.into());
        gauges.alone.set(values.alone.into());
        gauges.in_progress.set(to_i64(values.in_progress));
        gauges.feeds.set(to_i64(values.feeds));
        gauges.parked.set(to_i64(values.parked));
        gauges.ready.set(values.ready.into());
    }

    /// The metrics as OpenMetrics text.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            // Writing to a string does not fail; truncated text would lack the end marker.
            Err(fmt::Error) => String::new(),
        }
    }

    fn observe_duration(&self, service: ServiceLabel, elapsed: Duration) {
        let labels = ServiceLabels { service };
        self.durations
            .get_or_create(&labels)
            .observe(elapsed.as_secs_f64());
    }

    fn service_label(&self, service: Option<&id::Service>) -> ServiceLabel {
        let Some(service) = service else {
            return ServiceLabel::None;
        };
        if self.is_known(service) || self.add_service(service) {
            ServiceLabel::Named(service.clone())
        } else {
            ServiceLabel::Other
        }
    }

    fn is_known(&self, service: &id::Service) -> bool {
        let services = self.services.read();
        services
            .unwrap_or_else(PoisonError::into_inner)
            .contains(service)
    }

    fn add_service(&self, service: &id::Service) -> bool {
        let services = self.services.write();
        let mut services = services.unwrap_or_else(PoisonError::into_inner);
        if services.len() >= MAX_SERVICES {
            return services.contains(service);
        }
        services.insert(service.clone());
        true
    }
}

/// Registers a metric under its name less the suffixes that the encoder appends.
fn register(registry: &mut Registry, (name, meaning): Description, metric: impl Metric) {
    let name = name.strip_suffix(COUNTER_SUFFIX).unwrap_or(name);
    match split_unit(name) {
        (stem, Some(unit)) => registry.register_with_unit(stem, meaning, unit, metric),
        (stem, None) => registry.register(stem, meaning, metric),
    }
}

fn split_unit(name: &str) -> (&str, Option<Unit>) {
    [Unit::Bytes, Unit::Seconds]
        .into_iter()
        .find_map(|unit| {
            let stem = name.strip_suffix(unit.as_str())?.strip_suffix('_')?;
            Some((stem, Some(unit)))
        })
        .unwrap_or((name, None))
}

fn to_i64(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
