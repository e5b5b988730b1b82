//! Metrics of an entry instance, as OpenMetrics text.
//!
//! All label values come from fixed lists or from the configuration, whose services and
//! priorities share one label beyond [`MAX_OPENING_LABELS`], so that neither callers nor
//! operators can make the output grow without bound.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::entry::load::LoadMetrics;
use crate::flow;
use crate::flow::OpeningOutcome;
use crate::flow::OpeningResult;
use crate::flow::Priority;
use crate::flow::Routes;
use crate::id;
use crate::metric::collector::EraCollector;
use crate::metric::collector::PlatformCollector;
use crate::metric::collector::ViewAgeCollector;
use crate::metric::label::KindLabels;
use crate::metric::label::OpeningLabels;
use crate::metric::label::PriorityLabel;
use crate::metric::label::ServiceLabel;
use crate::platform::transport::Transport;
use crate::replica;

/// Bucket bounds of the handshake histogram, in seconds: from one round trip between
/// caller and instance to the second retransmission of an opening packet.
const HANDSHAKE_BUCKETS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.4];

/// Bucket bounds of the answer histogram, in seconds: from the shortest known request to
/// the longest deadline.
const ANSWER_BUCKETS: [f64; 11] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Number of services and priorities whose openings are counted separately: 256 services
/// with requests of four priorities each.
const MAX_OPENING_LABELS: usize = 1_024;

/// Counters and gauges.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) packets: Family<KindLabels, Counter>,
    pub(crate) dropped: Family<KindLabels, Counter>,
    pub(crate) decisions: Family<KindLabels, Counter>,
    openings: Family<OpeningLabels, Counter>,
    /// Services and priorities whose openings are counted separately.
    opening_labels: Mutex<HashSet<(id::Service, Option<Priority>)>>,
    pub(crate) refused_entries: Counter,
    pub(crate) omitted_lines: Counter,
    pub(crate) handshake: Histogram,
    pub(crate) answer: Histogram,
    pub(crate) servers: Gauge,
    pub(crate) flows: Gauge,
    pub(crate) version: Gauge,
    pub(crate) evacuated: Gauge,
    pub(crate) ready: Gauge,
    pub(crate) load: LoadMetrics,
    /// Bytes queued for this instance's link.
    pub(crate) link_queue: Gauge,
}

impl Metrics {
    pub(crate) fn new(store: Arc<Transport>, replica: Arc<replica::SharedCopy>) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("godwitreel_entry"),
            packets: Family::default(),
            dropped: Family::default(),
            decisions: Family::default(),
            openings: Family::default(),
            opening_labels: Mutex::default(),
            refused_entries: Counter::default(),
            omitted_lines: Counter::default(),
            handshake: Histogram::new(HANDSHAKE_BUCKETS),
            answer: Histogram::new(ANSWER_BUCKETS),
            servers: Gauge::default(),
            flows: Gauge::default(),
            version: Gauge::default(),
            evacuated: Gauge::default(),
            ready: Gauge::default(),
            load: LoadMetrics::default(),
            link_queue: Gauge::default(),
        };
        metrics.register(store, replica);
        metrics
    }

    fn register(&mut self, store: Arc<Transport>, replica: Arc<replica::SharedCopy>) {
        let registry = &mut self.registry;
        registry.register(
            "packets",
            "Packets from callers, by outcome",
            self.packets.clone(),
        );
        registry.register(
            "dropped",
            "Packets dropped, by reason",
            self.dropped.clone(),
        );
        registry.register("decisions", "Decisions, by kind", self.decisions.clone());
        registry.register(
            "openings",
            "New flows, by service, priority of the route's class, and result",
            self.openings.clone(),
        );
        registry.register(
            "refused_entries",
            "Entries of the store that could not be read",
            self.refused_entries.clone(),
        );
        registry.register(
            "omitted_log_lines",
            "Log lines left out to keep the rate",
            self.omitted_lines.clone(),
        );
        registry.register(
            "handshake_seconds",
            "Time from an opening packet to the caller's next one",
            self.handshake.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from a request's first packet to the caller's acknowledgement of the answer",
            self.answer.clone(),
        );
        registry.register("servers", "Backend servers listed", self.servers.clone());
        registry.register("flows", "Flows remembered", self.flows.clone());
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.version.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones whose servers get no new flows, as operators ordered",
            self.evacuated.clone(),
        );
        registry.register(
            "ready",
            "1 if routers may send packets here",
            self.ready.clone(),
        );
        registry.register(
            "link_waiting_bytes",
            "Bytes of callers' packets that wait for this instance's link",
            self.link_queue.clone(),
        );
        self.load.register(registry);
        registry.register_collector(Box::new(EraCollector(Arc::clone(&store))));
        registry.register_collector(Box::new(PlatformCollector(store)));
        registry.register_collector(Box::new(ViewAgeCollector(replica)));
    }

    pub(crate) fn count_packet(&self, outcome: &'static str) {
        self.packets
            .get_or_create(&KindLabels { kind: outcome })
            .inc();
    }

    pub(crate) fn count_drop(&self, reason: &'static str) {
        self.dropped
            .get_or_create(&KindLabels { kind: reason })
            .inc();
    }

    pub(crate) fn count_decision(&self, kind: &'static str) {
        self.decisions.get_or_create(&KindLabels { kind }).inc();
    }

    pub(crate) fn count_openings(&self, outcome: OpeningOutcome, count: u64) {
        self.openings
            .get_or_create(&self.opening_labels(outcome))
            .inc_by(count);
    }

    /// Creates the counters of a configuration's services and priorities with value 0, so
    /// that monitoring can compute a rate from the first refusal on.
    pub(crate) fn create_opening_counters(&self, routes: &Routes) {
        let classes: HashSet<(&id::Service, Option<Priority>)> = routes
            .by_address
            .values()
            .flat_map(|route| {
                let priority = route.class.map(|class| class.priority);
                let services = route.backends.iter().map(|backend| &backend.service);
                services.map(move |service| (service, priority))
            })
            .collect();
        for (service, priority) in classes {
            for result in OpeningResult::ALL {
                self.count_openings(
                    OpeningOutcome {
                        service: service.clone(),
                        priority,
                        result,
                    },
                    0,
                );
            }
        }
    }

    fn opening_labels(&self, outcome: OpeningOutcome) -> OpeningLabels {
        let class = (outcome.service.clone(), outcome.priority);
        let known = self.opening_labels.lock();
        let mut known = known.unwrap_or_else(PoisonError::into_inner);
        let has_room = known.len() < MAX_OPENING_LABELS;
        let service = match known.contains(&class) || (has_room && known.insert(class)) {
            true => ServiceLabel::Named(outcome.service),
            false => ServiceLabel::Other,
        };
        OpeningLabels {
            service,
            priority: PriorityLabel(outcome.priority),
            result: outcome.result.code(),
        }
    }

    pub(crate) fn observe(histogram: &Histogram, duration: Duration) {
        histogram.observe(duration.as_secs_f64());
    }

    /// Creates the counter of each drop reason with value 0, so that monitoring can
    /// compute a rate from the first drop on.
    pub(crate) fn create_drop_counters(&self) {
        for reason in flow::DropReason::ALL {
            let kind = reason.code();
            drop(self.dropped.get_or_create(&KindLabels { kind }));
        }
    }

    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Encoding into a string fails only if a metric fails to encode, and none here does.
        if text::encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}
