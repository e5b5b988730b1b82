//! Converts request outcomes between the data plane and the messages to other instances.

use crate::flow::Counts;
use crate::flow::Incarnation;
use crate::flow::Serial;
use crate::flow::Testimony;
use crate::replica::Remark;

/// The message entry of the outcomes that this instance counted at a server.
pub fn remark(outcomes: &Testimony) -> Remark {
    Remark {
        serial: outcomes.serial.0,
        incarnation: outcomes.incarnation.map(|incarnation| incarnation.0),
        answers: outcomes.counts.answers as f32,
        hollow: outcomes.counts.hollow as f32,
        stalls: outcomes.counts.stalls as f32,
        ..Remark::default()
    }
}

/// The outcomes at a server that other instances reported.
pub fn testimony(entry: &Remark) -> Testimony {
    Testimony {
        serial: Serial(entry.serial),
        incarnation: entry.incarnation.map(Incarnation),
        counts: Counts {
            answers: entry.answers.into(),
            hollow: entry.hollow.into(),
            stalls: entry.stalls.into(),
        },
    }
}
