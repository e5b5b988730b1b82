//! The simulation's events and their order.

use std::cmp::Ordering;

use godwitreel::id;
use godwitreel::peer::PeerMessage;
use godwitreel::request::Answer;
use godwitreel::request::Flow;
use godwitreel::request::Kind;

use crate::simulation::server::Job;

pub(super) enum SimulationEvent {
    Arrival,
    RequestAtInstance {
        instance: usize,
        number: u64,
        hops: u32,
    },
    Peer {
        to: usize,
        from: usize,
        body: PeerMessage,
    },
    RequestAtServer {
        server: usize,
        job: Job,
    },
    JobFinished {
        server: usize,
        server_run: u32,
        job: Job,
    },
    AnswerAtInstance {
        instance: usize,
        server: usize,
        attempt: id::Attempt,
        answer: Answer,
    },
    Notify {
        server: usize,
        server_run: u32,
        instance: usize,
        attempt: id::Attempt,
    },
    Receipt {
        instance: usize,
        flow: Flow,
        message: u16,
    },
    Retransmission(u64),
    Call {
        caller: u64,
        kind: Kind,
        issued_at: f64,
        caller_retries: u32,
    },
    Tick,
    Probe,
    SendLoads(usize),
    ReceiveLoads {
        from: usize,
        loads: Vec<(u32, u32)>,
    },
    Sample,
    Fault(usize),
}

pub(super) struct ScheduledEvent {
    pub(super) at: f64,
    pub(super) sequence: u64,
    pub(super) event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}
