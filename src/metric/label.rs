//! Labels of the metrics. Each has a bounded set of values.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;

use crate::flow::Priority;
use crate::id;

/// Label of all services past [`super::MAX_SERVICES`]; no service can have this name.
const OTHER: &str = "(other)";

/// Direction of a message between entry instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Sent to a peer.
    Sent,
    /// Received from a peer.
    Received,
}

impl EncodeLabelValue for Direction {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        let label = match self {
            Self::Sent => "sent",
            Self::Received => "received",
        };
        label.encode(encoder)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ServiceLabel {
    None,
    Named(id::Service),
    Other,
}

impl EncodeLabelValue for ServiceLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        let label = match self {
            Self::None => "",
            Self::Named(service) => service.as_str(),
            Self::Other => OTHER,
        };
        label.encode(encoder)
    }
}

/// Priority of a route's class; [`None`] if the route has no class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PriorityLabel(pub(crate) Option<Priority>);

impl EncodeLabelValue for PriorityLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        match self.0 {
            Some(Priority(rank)) => u64::from(rank).encode(encoder),
            None => "none".encode(encoder),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OpeningLabels {
    pub(crate) service: ServiceLabel,
    pub(crate) priority: PriorityLabel,
    pub(crate) result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EventLabels {
    pub(crate) reason: &'static str,
    pub(crate) service: ServiceLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PeerLabels {
    pub(crate) kind: &'static str,
    pub(crate) direction: Direction,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) service: ServiceLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabels {
    pub(crate) kind: &'static str,
}
