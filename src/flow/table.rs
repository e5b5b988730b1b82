//! What an instance remembers of the flows that pass it.

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::num::NonZeroU32;
use std::time::Duration;

use hashbrown::HashTable;
use tokio::time::Instant;

use crate::flow::FlowKey;
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
    /// The answer to the request before that has ended.
    pub(crate) ended: Option<Answer>,
    /// How often the caller has repeated the same bytes.
    pub(crate) repeats: u32,
}

/// One flow, in two lines of a core's cache.
#[derive(Debug)]
#[repr(align(64))]
pub(crate) struct Flow {
    pub(crate) flow_key: FlowKey,
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
    /// How long the answer to the last request took, until it has ended.
    took: Option<NonZeroU32>,
    /// The acknowledgement when that request began.
    ack_asked: u32,
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
            flow_key: segment.flow_key,
            server: opening.tried[0],
            phase: Phase::Opening(Box::new(opening)),
            is_pinned: false,
            first_seq: Some(segment.seq),
            born: now,
            seen: now,
            asked: None,
            took: None,
            ack_asked: 0,
            end: segment.seq.wrapping_add(1),
            ack: 0,
            repeats: 0,
            repeated_end: None,
        }
    }

    /// A flow whose opening packet another instance has passed on.
    pub(crate) fn adopted(segment: &Segment, server: Slot, now: Instant) -> Self {
        Self {
            flow_key: segment.flow_key,
            server,
            phase: Phase::Open,
            is_pinned: false,
            first_seq: None,
            born: now,
            seen: now,
            asked: None,
            took: None,
            ack_asked: segment.ack,
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

    /// Ends the answer to the last request, if it has one.
    pub(crate) fn end_answer(&mut self) -> Option<Answer> {
        let micros = self.took.take()?;
        Some(Answer {
            took: Duration::from_micros(micros.get().into()),
            bytes: self.ack.wrapping_sub(self.ack_asked),
        })
    }

    /// Reads the progress of an open flow from one of its packets.
    pub(crate) fn advance(&mut self, segment: &Segment, now: Instant) -> Progress {
        self.seen = now;
        let mut progress = Progress::default();
        if segment.flags.ack && is_after(segment.ack, self.ack) {
            self.ack = segment.ack;
            progress.has_answered = true;
            progress.took = self.asked.take().map(|asked| now - asked);
            let micros = progress.took.map(|took| took.as_micros() as u32);
            self.took = micros.map_or(self.took, |micros| NonZeroU32::new(micros.max(1)));
        }
        if segment.len == 0 {
            return progress;
        }
        if is_after(segment.end(), self.end) {
            self.end = segment.end();
            self.repeats = 0;
            self.repeated_end = None;
            if self.asked.is_none() {
                progress.ended = self.end_answer();
                self.asked = Some(now);
                self.ack_asked = self.ack;
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

/// An answer that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    /// From the request's first packet to the acknowledgement of its first bytes.
    pub(crate) took: Duration,
    pub(crate) bytes: u32,
}

/// Where a flow lies in the table; stays valid until the flow is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Key(u32);

impl Key {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// The flows seen, up to a limit.
///
/// What a packet costs is waiting for memory. So it is looked up by its ends once,
/// all other steps go by key, and the index holds keys alone, which the cache of
/// one core keeps for 64,000 flows.
#[derive(Debug)]
pub(crate) struct Table {
    /// Keys by the ends of their flows.
    index: HashTable<Key>,
    hasher: RandomState,
    flows: Vec<Option<Flow>>,
    free: Vec<Key>,
    limit: usize,
    /// Where the next search for flows that are over goes on.
    cursor: usize,
}

impl Table {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            index: HashTable::new(),
            hasher: RandomState::new(),
            flows: Vec::new(),
            free: Vec::new(),
            limit,
            cursor: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether another flow fits. A flow that is not remembered is passed on all
    /// the same, by its tag.
    pub(crate) fn has_room(&self) -> bool {
        self.len() < self.limit
    }

    pub(crate) fn find(&self, flow_key: &FlowKey) -> Option<Key> {
        let hash = self.hasher.hash_one(flow_key);
        self.index
            .find(hash, |key| self.has_ends(*key, flow_key))
            .copied()
    }

    fn has_ends(&self, key: Key, flow_key: &FlowKey) -> bool {
        self.get(key).is_some_and(|flow| flow.flow_key == *flow_key)
    }

    pub(crate) fn get(&self, key: Key) -> Option<&Flow> {
        self.flows.get(key.index())?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Flow> {
        self.flows.get_mut(key.index())?.as_mut()
    }

    /// Adds a flow whose ends are not in the table.
    pub(crate) fn insert(&mut self, flow: Flow) -> Key {
        let key = self.free.pop().unwrap_or_else(|| {
            self.flows.push(None);
            Key(self.flows.len() as u32 - 1)
        });
        let hash = self.hasher.hash_one(flow.flow_key);
        self.flows[key.index()] = Some(flow);
        let (flows, hasher) = (&self.flows, &self.hasher);
        let rehash = |key: &Key| {
            flows[key.index()]
                .as_ref()
                .map_or(0, |f| hasher.hash_one(f.flow_key))
        };
        self.index.insert_unique(hash, key, rehash);
        key
    }

    pub(crate) fn remove(&mut self, key: Key) -> Option<Flow> {
        let flow = self.flows.get_mut(key.index())?.take()?;
        let hash = self.hasher.hash_one(flow.flow_key);
        if let Ok(entry) = self.index.find_entry(hash, |other| *other == key) {
            entry.remove();
        }
        self.free.push(key);
        Some(flow)
    }

    /// Looks at the next `count` places and takes out flows that are over; says
    /// also whether that ended a round through the whole table.
    pub(crate) fn expire(
        &mut self,
        now: Instant,
        rules: &Expiry,
        count: usize,
    ) -> (Vec<Flow>, bool) {
        let end = self.flows.len().min(self.cursor + count);
        let is_over = |flow: &Flow| rules.is_over(flow, now);
        let over: Vec<Key> = (self.cursor..end)
            .filter(|index| self.flows[*index].as_ref().is_some_and(is_over))
            .map(|index| Key(index as u32))
            .collect();
        let taken = over
            .into_iter()
            .filter_map(|key| self.remove(key))
            .collect();
        let is_round = end == self.flows.len();
        self.cursor = if is_round { 0 } else { end };
        (taken, is_round)
    }

    /// Places to look at for this part of a round through the whole table.
    pub(crate) fn part(&self, share: f64) -> usize {
        (self.flows.len() as f64 * share).ceil() as usize
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
