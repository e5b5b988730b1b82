//! What an instance remembers of the flows that pass it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Pair;
use crate::flow::Segment;
use crate::flow::directory::Slot;
use crate::flow::segment::is_after;

/// A flow whose caller has not yet answered a server.
#[derive(Debug)]
pub(crate) struct Opening {
    /// Servers that got the opening packet, in order; never empty.
    pub(crate) tried: Vec<Slot>,
    /// When the last of them got it.
    pub(crate) sent: Instant,
    /// When the last of them counts as silent.
    pub(crate) due: Instant,
    /// The packet, to be sent to a further server.
    pub(crate) packet: Vec<u8>,
}

/// How far a flow has come.
#[derive(Debug)]
pub(crate) enum Phase {
    Opening(Box<Opening>),
    Open,
    /// The caller has sent its last byte, or has given up.
    Closing,
}

/// What a packet told about its flow's progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The server has sent something new.
    pub(crate) has_answered: bool,
    /// A request began.
    pub(crate) has_begun: bool,
    /// How long the request in progress took, if its answer's first bytes came.
    pub(crate) took: Option<Duration>,
    /// How often the caller has repeated the same bytes.
    pub(crate) repeats: u32,
}

/// One flow.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) server: Slot,
    pub(crate) phase: Phase,
    /// Several servers got its opening packet, so that a later answer of the
    /// wrong one may have left its tag with the caller.
    pub(crate) is_pinned: bool,
    /// Sequence number of the opening packet; `None` when it passed elsewhere.
    pub(crate) first_seq: Option<u32>,
    pub(crate) born: Instant,
    pub(crate) seen: Instant,
    /// When the request in progress began.
    pub(crate) asked: Option<Instant>,
    /// After the last byte sent.
    end: u32,
    /// The caller's greatest acknowledgement.
    ack: u32,
    repeats: u32,
    repeated_end: Option<u32>,
}

impl Flow {
    pub(crate) fn opening(segment: &Segment, opening: Opening, now: Instant) -> Self {
        Self {
            server: opening.tried[0],
            phase: Phase::Opening(Box::new(opening)),
            is_pinned: false,
            first_seq: Some(segment.seq),
            born: now,
            seen: now,
            asked: None,
            end: segment.seq.wrapping_add(1),
            ack: 0,
            repeats: 0,
            repeated_end: None,
        }
    }

    /// A flow whose opening packet another instance has passed on.
    pub(crate) fn adopted(segment: &Segment, server: Slot, now: Instant) -> Self {
        Self {
            server,
            phase: Phase::Open,
            is_pinned: false,
            first_seq: None,
            born: now,
            seen: now,
            asked: None,
            end: segment.seq,
            ack: segment.ack,
            repeats: 0,
            repeated_end: None,
        }
    }

    /// Ends the opening: the caller has answered this server.
    pub(crate) fn open(&mut self, server: Slot, segment: &Segment) {
        let tries = match &self.phase {
            Phase::Opening(opening) => opening.tried.len(),
            Phase::Open | Phase::Closing => 1,
        };
        self.is_pinned = tries > 1;
        self.server = server;
        self.phase = Phase::Open;
        self.ack = segment.ack;
        self.end = segment.seq;
    }

    /// Reads the progress of an open flow from one of its packets.
    pub(crate) fn advance(&mut self, segment: &Segment, now: Instant) -> Progress {
        self.seen = now;
        let mut progress = Progress::default();
        if segment.flags.ack && is_after(segment.ack, self.ack) {
            self.ack = segment.ack;
            progress.has_answered = true;
            progress.took = self.asked.take().map(|asked| now - asked);
        }
        if segment.len == 0 {
            return progress;
        }
        if is_after(segment.end(), self.end) {
            self.end = segment.end();
            self.repeats = 0;
            self.repeated_end = None;
            if self.asked.is_none() {
                self.asked = Some(now);
                progress.has_begun = true;
            }
            return progress;
        }
        self.repeats = match self.repeated_end {
            Some(end) if end == segment.end() => self.repeats + 1,
            _ => 1,
        };
        self.repeated_end = Some(segment.end());
        progress.repeats = self.repeats;
        progress
    }
}

/// The flows seen, up to a limit.
#[derive(Debug)]
pub(crate) struct Table {
    pub(crate) flows: HashMap<Pair, Flow>,
    limit: usize,
}

impl Table {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            flows: HashMap::new(),
            limit,
        }
    }

    /// Whether another flow fits. A flow that is not remembered is passed on all
    /// the same, by its tag.
    pub(crate) fn has_room(&self) -> bool {
        self.flows.len() < self.limit
    }

    /// Takes out flows that are over.
    pub(crate) fn expire(&mut self, now: Instant, rules: &Expiry) -> Vec<Flow> {
        let over = |_: &Pair, flow: &mut Flow| rules.is_over(flow, now);
        let over = self.flows.extract_if(over);
        over.map(|(_, flow)| flow).collect()
    }
}

/// When flows are forgotten.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expiry {
    pub(crate) idle: Duration,
    pub(crate) age: Duration,
}

/// How long a flow that ends is remembered, for its last repeats: longer than
/// the longest pause between a sender's repeats, 1.6 s.
const CLOSING: Duration = Duration::from_secs(2);

/// How long an opening packet is remembered; its caller gives up after 1.4 s.
const OPENING: Duration = Duration::from_secs(2);

impl Expiry {
    fn is_over(&self, flow: &Flow, now: Instant) -> bool {
        let idle = match flow.phase {
            Phase::Opening(_) => OPENING,
            Phase::Open => self.idle,
            Phase::Closing => CLOSING,
        };
        now >= flow.seen + idle || now >= flow.born + self.age
    }
}
