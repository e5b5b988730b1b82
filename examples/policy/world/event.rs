//! What happens, and in which order.

use std::cmp::Ordering;

use godwitreel::id;
use godwitreel::peer::PeerMessage;
use godwitreel::request::Answer;
use godwitreel::request::Flow;
use godwitreel::request::Kind;

use crate::world::server::Job;

pub(super) enum What {
    Arrival,
    ToHome {
        home: usize,
        number: u64,
        hops: u32,
    },
    Peer {
        to: usize,
        from: usize,
        body: PeerMessage,
    },
    ToServer {
        server: usize,
        job: Job,
    },
    Done {
        server: usize,
        life: u32,
        job: Job,
    },
    FromServer {
        home: usize,
        server: usize,
        attempt: id::Attempt,
        answer: Answer,
    },
    Notify {
        server: usize,
        life: u32,
        home: usize,
        attempt: id::Attempt,
    },
    Receipt {
        home: usize,
        flow: Flow,
        message: u16,
    },
    Repeat(u64),
    Return {
        caller: u64,
        kind: Kind,
        wanted: f64,
        comebacks: u32,
    },
    Tick,
    Probe,
    Beat(usize),
    Loads {
        from: usize,
        loads: Vec<(u32, u32)>,
    },
    Sample,
    Fault(usize),
}

pub(super) struct Due {
    pub(super) at: f64,
    pub(super) order: u64,
    pub(super) what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.order.cmp(&other.order))
    }
}
