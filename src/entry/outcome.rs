//! Counts of how requests end, between the decisions about flows and the messages to
//! other instances.

use crate::flow::Incarnation;
use crate::flow::OutcomeCounts;
use crate::flow::Serial;
use crate::flow::ServerOutcomes;
use crate::replica::OutcomeEntry;

/// What an instance counted, as it is told to the others.
pub fn outcomes_to_message(told: &ServerOutcomes) -> OutcomeEntry {
    OutcomeEntry {
        serial: told.serial.0,
        incarnation: told.incarnation.map(|life| life.0),
        answers: told.counts.answers as f32,
        premature: told.counts.premature as f32,
        stalls: told.counts.stalls as f32,
        ..OutcomeEntry::default()
    }
}

/// What others told, as the decisions take it.
pub fn outcomes_from_message(remark: &OutcomeEntry) -> ServerOutcomes {
    ServerOutcomes {
        serial: Serial(remark.serial),
        incarnation: remark.incarnation.map(Incarnation),
        counts: OutcomeCounts {
            answers: remark.answers.into(),
            premature: remark.premature.into(),
            stalls: remark.stalls.into(),
        },
    }
}
