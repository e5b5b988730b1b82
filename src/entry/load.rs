//! Metrics and status of the services to which admission control applies.
//!
//! The labels come from the configuration, and their number is limited.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde::Deserialize;
use serde::Serialize;

use crate::flow;
use crate::id;

/// Maximum number of services with metrics of their own.
const MAX_SERVICES: usize = 256;

/// Load of one service, as the instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: id::Service,
    /// Requests in progress per slot of the zone's usable servers, in percent.
    pub load_percent: u32,
    /// Slots of these servers.
    pub slots: u32,
    /// Openings that wait for capacity.
    pub waiting: usize,
    /// Openings refused for want of capacity since the start.
    pub refused: u64,
}

impl ServiceLoad {
    pub(crate) fn new(load: &flow::ServiceLoad) -> Self {
        Self {
            service: load.service.clone(),
            load_percent: (load.load * 100.0).round() as u32,
            slots: load.slots,
            waiting: load.waiting,
            refused: load.counts.iter().map(|(_, counts)| counts.refused).sum(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OpeningLabels {
    service: String,
    priority: u8,
    result: &'static str,
}

/// Metrics of admission control.
#[derive(Default)]
pub(crate) struct LoadMetrics {
    waiting: Gauge,
    load: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    openings: Family<OpeningLabels, Counter>,
}

impl LoadMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "waiting_openings",
            "Openings that wait for capacity",
            self.waiting.clone(),
        );
        registry.register(
            "service_load",
            "Requests in progress per slot of the zone's usable servers",
            self.load.clone(),
        );
        registry.register(
            "admission",
            "Openings by service, priority and result of the admission control",
            self.openings.clone(),
        );
    }

    /// Takes in the state of the data plane.
    pub(crate) fn update(&self, waiting: usize, loads: &[flow::ServiceLoad]) {
        self.waiting.set(waiting as i64);
        self.load.clear();
        for load in loads.iter().take(MAX_SERVICES) {
            let service = load.service.to_string();
            let labels = ServiceLabels {
                service: service.clone(),
            };
            self.load.get_or_create(&labels).set(load.load);
            for (priority, counts) in &load.counts {
                for (result, total) in [
                    ("admitted", counts.admitted),
                    ("waited", counts.waited),
                    ("refused", counts.refused),
                ] {
                    let labels = OpeningLabels {
                        service: service.clone(),
                        priority: priority.0,
                        result,
                    };
                    let counter = self.openings.get_or_create(&labels);
                    counter.inner().store(total, Ordering::Relaxed);
                }
            }
        }
    }
}
