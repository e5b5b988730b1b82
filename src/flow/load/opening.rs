//! Counts of openings by service, priority and result.
//!
//! Load pattern: more openings than the servers of a service can process. The counts show
//! operators whose callers are refused, and whether higher priorities are served first.

use std::collections::HashMap;

use crate::flow::Priority;
use crate::id;

/// How an opening ended at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OpeningResult {
    /// It was forwarded to a server.
    Placed,
    /// It was refused with a reset.
    Refused,
    /// It was dropped; its caller retransmits it.
    Dropped,
}

impl OpeningResult {
    /// All results, in order of declaration.
    pub const ALL: [Self; 3] = [Self::Placed, Self::Refused, Self::Dropped];

    /// Name of the result in metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Refused => "refused",
            Self::Dropped => "dropped",
        }
    }
}

/// An opening as it is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpeningOutcome {
    /// Service that the route selected.
    pub service: id::Service,
    /// Priority of the route; `None` if it has no class.
    pub priority: Option<Priority>,
    /// How the opening ended.
    pub result: OpeningResult,
}

/// Counts of openings since they were last taken. The configuration bounds their number.
#[derive(Debug, Default)]
pub(crate) struct OpeningCounts {
    by_outcome: HashMap<OpeningOutcome, u64>,
}

impl OpeningCounts {
    pub(crate) fn count(&mut self, outcome: OpeningOutcome) {
        *self.by_outcome.entry(outcome).or_default() += 1;
    }

    pub(crate) fn take(&mut self) -> Vec<(OpeningOutcome, u64)> {
        self.by_outcome.drain().collect()
    }
}
