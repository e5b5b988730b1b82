//! Converts request outcomes between the data plane and the messages to other instances.

use crate::flow::Incarnation;
use crate::flow::OutcomeCounts;
use crate::flow::Serial;
use crate::flow::ServerOutcomes;
use crate::replica::OutcomeEntry;

/// The message entry of the outcomes that this instance counted at a server.
pub fn outcomes_to_message(outcomes: &ServerOutcomes) -> OutcomeEntry {
    OutcomeEntry {
        serial: outcomes.serial.0,
        incarnation: outcomes.incarnation.map(|incarnation| incarnation.0),
        answers: outcomes.counts.answers as f32,
        premature: outcomes.counts.premature as f32,
        stalls: outcomes.counts.stalls as f32,
        ..OutcomeEntry::default()
    }
}

/// The outcomes at a server that other instances reported.
pub fn outcomes_from_message(entry: &OutcomeEntry) -> ServerOutcomes {
    ServerOutcomes {
        serial: Serial(entry.serial),
        incarnation: entry.incarnation.map(Incarnation),
        counts: OutcomeCounts {
            answers: entry.answers.into(),
            premature: entry.premature.into(),
            stalls: entry.stalls.into(),
        },
    }
}
