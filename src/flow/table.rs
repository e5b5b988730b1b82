//! Table of the flows whose packets an instance has forwarded.

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::num::NonZeroU32;
use std::time::Duration;

use hashbrown::HashTable;
use tokio::time::Instant;

use crate::flow::FlowKey;
use crate::flow::Segment;
use crate::flow::record::ServerHandle;
use crate::flow::segment::is_after;

/// A server that got a SYN.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerHandle,
    pub(crate) sent: Instant,
}

/// A handshake in progress.
#[derive(Debug)]
pub(crate) struct Opening {
    /// Index of the last attempt when the caller last sent the SYN. None of the earlier servers
    /// had answered by then.
    pub(crate) since_copy: usize,
    /// Servers that got the SYN, in order; never empty.
    pub(crate) attempts: Vec<Attempt>,
    /// When the last of them counts as unresponsive.
    pub(crate) due: Instant,
    /// The SYN, to be sent to a further server.
    pub(crate) packet: Vec<u8>,
}

impl Opening {
    pub(crate) fn new(attempt: Attempt, due: Instant, packet: Vec<u8>) -> Self {
        Self {
            since_copy: 0,
            attempts: vec![attempt],
            due,
            packet,
        }
    }

    pub(crate) fn last_attempt(&self) -> Attempt {
        self.attempts[self.attempts.len() - 1]
    }

    /// The servers that got the SYN.
    pub(crate) fn tried(&self) -> Vec<ServerHandle> {
        let attempts = self.attempts.iter();
        attempts.map(|attempt| attempt.server).collect()
    }

    /// Notes that the caller has sent the SYN again.
    pub(crate) fn note_copy(&mut self) {
        self.since_copy = self.attempts.len() - 1;
    }
}

/// Phase of a flow.
#[derive(Debug)]
pub(crate) enum Phase {
    Opening(Box<Opening>),
    Open,
    /// The caller has sent a FIN or a RST.
    Closing,
}

/// Progress of a flow that one packet shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The server has sent new data.
    pub(crate) has_answered: bool,
    /// A request began.
    pub(crate) has_begun: bool,
    /// Duration of the request in progress, if the packet acknowledges the first bytes of
    /// its answer.
    pub(crate) response_time: Option<Duration>,
    /// The completed answer to the previous request.
    pub(crate) ended: Option<Answer>,
    /// How often the caller has retransmitted the same bytes.
    pub(crate) retransmissions: u32,
}

/// One flow, in two CPU cache lines.
#[derive(Debug)]
#[repr(align(64))]
pub(crate) struct Flow {
    pub(crate) flow_key: FlowKey,
    pub(crate) server: ServerHandle,
    pub(crate) phase: Phase,
    /// Whether its opening or request is counted at the server for admission.
    pub(crate) is_in_progress: bool,
    /// Sequence number of the SYN; `None` if another instance received it.
    pub(crate) syn_seq: Option<u32>,
    pub(crate) created_at: Instant,
    pub(crate) last_seen: Instant,
    /// When the request in progress began.
    pub(crate) request_started: Option<Instant>,
    /// Response time of the last request in microseconds, until its answer is complete.
    response_time: Option<NonZeroU32>,
    /// Acknowledgement number when the last request began.
    request_ack: u32,
    /// Sequence number after the last byte sent.
    end: u32,
    /// Greatest acknowledgement number of the caller.
    ack: u32,
    retransmissions: u32,
    retransmitted_end: Option<u32>,
}

impl Flow {
    pub(crate) fn opening(segment: &Segment, opening: Opening, now: Instant) -> Self {
        Self {
            flow_key: segment.flow_key,
            server: opening.last_attempt().server,
            phase: Phase::Opening(Box::new(opening)),
            is_in_progress: false,
            syn_seq: Some(segment.seq),
            created_at: now,
            last_seen: now,
            request_started: None,
            response_time: None,
            request_ack: 0,
            end: segment.seq.wrapping_add(1),
            ack: 0,
            retransmissions: 0,
            retransmitted_end: None,
        }
    }

    /// Creates a flow whose SYN another instance has forwarded.
    pub(crate) fn adopted(segment: &Segment, server: ServerHandle, now: Instant) -> Self {
        Self {
            flow_key: segment.flow_key,
            server,
            phase: Phase::Open,
            is_in_progress: false,
            syn_seq: None,
            created_at: now,
            last_seen: now,
            request_started: None,
            response_time: None,
            request_ack: segment.ack,
            end: segment.seq,
            ack: segment.ack,
            retransmissions: 0,
            retransmitted_end: None,
        }
    }

    pub(crate) fn is_opening(&self) -> bool {
        matches!(self.phase, Phase::Opening(_))
    }

    /// Completes the handshake: the caller has accepted the answer of this server.
    pub(crate) fn open(&mut self, server: ServerHandle, segment: &Segment) {
        self.server = server;
        self.phase = Phase::Open;
        self.ack = segment.ack;
        self.end = segment.seq;
    }

    /// Whether a packet belongs to this flow, and not to a later one with the same endpoints.
    /// Both ends choose the first sequence number of each flow at random.
    pub(crate) fn continues_with(&self, segment: &Segment) -> bool {
        is_near(segment.seq, self.end) && (!segment.flags.ack || is_near(segment.ack, self.ack))
    }

    /// Completes the answer to the last request, if there is one.
    pub(crate) fn end_answer(&mut self) -> Option<Answer> {
        let micros = self.response_time.take()?;
        Some(Answer {
            response_time: Duration::from_micros(micros.get().into()),
            bytes: self.ack.wrapping_sub(self.request_ack),
        })
    }

    /// Updates an open flow from one of its packets, and returns the progress.
    pub(crate) fn advance(&mut self, segment: &Segment, now: Instant) -> Progress {
        self.last_seen = now;
        let mut progress = Progress::default();
        if segment.flags.ack && is_after(segment.ack, self.ack) {
            self.ack = segment.ack;
            progress.has_answered = true;
            progress.response_time = self.request_started.take().map(|at| now - at);
            let micros = progress.response_time.map(|time| time.as_micros() as u32);
            self.response_time =
                micros.map_or(self.response_time, |micros| NonZeroU32::new(micros.max(1)));
        }
        if segment.len == 0 {
            return progress;
        }
        if is_after(segment.end(), self.end) {
            self.end = segment.end();
            self.retransmissions = 0;
            self.retransmitted_end = None;
            if self.request_started.is_none() {
                progress.ended = self.end_answer();
                self.request_started = Some(now);
                self.request_ack = self.ack;
                progress.has_begun = true;
            }
            return progress;
        }
        self.retransmissions = match self.retransmitted_end {
            Some(end) if end == segment.end() => self.retransmissions + 1,
            _ => 1,
        };
        self.retransmitted_end = Some(segment.end());
        progress.retransmissions = self.retransmissions;
        progress
    }
}

/// Bytes by which a packet may be behind the last one of its flow: several times the 16
/// packets that an endpoint has in flight.
const MAX_BYTES_BEHIND: u32 = 1 << 16;

/// Bytes by which a packet may be ahead of the last one of its flow that was seen here. Others
/// may have gone through other instances.
const MAX_BYTES_AHEAD: u32 = 1 << 24;

fn is_near(number: u32, last: u32) -> bool {
    number.wrapping_sub(last) < MAX_BYTES_AHEAD || last.wrapping_sub(number) < MAX_BYTES_BEHIND
}

/// A completed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    /// Time between the request's first packet and the acknowledgement of the answer's first
    /// bytes.
    pub(crate) response_time: Duration,
    pub(crate) bytes: u32,
}

/// Index of a flow in the table; stays valid until the flow is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowHandle(u32);

impl FlowHandle {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// The tracked flows, up to a limit.
///
/// The cost per packet is dominated by memory latency. The endpoints are therefore looked
/// up once per packet, and all other steps use the flow's index. The hash table contains
/// these indexes only, so that it fits into the cache of one core for 64,000 flows.
#[derive(Debug)]
pub(crate) struct Table {
    /// Indexes of the flows, hashed by their endpoints.
    index: HashTable<FlowHandle>,
    hasher: RandomState,
    flows: Vec<Option<Flow>>,
    free_handles: Vec<FlowHandle>,
    limit: usize,
    /// Where the next part of the sweep begins.
    cursor: usize,
}

impl Table {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            index: HashTable::new(),
            hasher: RandomState::new(),
            flows: Vec::new(),
            free_handles: Vec::new(),
            limit,
            cursor: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether another flow fits. Packets of flows that are not tracked are still forwarded
    /// by their tag.
    pub(crate) fn has_room(&self) -> bool {
        self.len() < self.limit
    }

    pub(crate) fn find(&self, flow_key: &FlowKey) -> Option<FlowHandle> {
        let hash = self.hasher.hash_one(flow_key);
        self.index
            .find(hash, |handle| self.has_endpoints(*handle, flow_key))
            .copied()
    }

    fn has_endpoints(&self, handle: FlowHandle, flow_key: &FlowKey) -> bool {
        self.get(handle)
            .is_some_and(|flow| flow.flow_key == *flow_key)
    }

    pub(crate) fn get(&self, handle: FlowHandle) -> Option<&Flow> {
        self.flows.get(handle.index())?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, handle: FlowHandle) -> Option<&mut Flow> {
        self.flows.get_mut(handle.index())?.as_mut()
    }

    /// Adds a flow whose endpoints are not in the table.
    pub(crate) fn insert(&mut self, flow: Flow) -> FlowHandle {
        let handle = self.free_handles.pop().unwrap_or_else(|| {
            self.flows.push(None);
            FlowHandle(self.flows.len() as u32 - 1)
        });
        let hash = self.hasher.hash_one(flow.flow_key);
        self.flows[handle.index()] = Some(flow);
        let (flows, hasher) = (&self.flows, &self.hasher);
        let rehash = |handle: &FlowHandle| {
            flows[handle.index()]
                .as_ref()
                .map_or(0, |f| hasher.hash_one(f.flow_key))
        };
        self.index.insert_unique(hash, handle, rehash);
        handle
    }

    pub(crate) fn remove(&mut self, handle: FlowHandle) -> Option<Flow> {
        let flow = self.flows.get_mut(handle.index())?.take()?;
        let hash = self.hasher.hash_one(flow.flow_key);
        if let Ok(entry) = self.index.find_entry(hash, |other| *other == handle) {
            entry.remove();
        }
        self.free_handles.push(handle);
        Some(flow)
    }

    /// Sweeps the next `count` entries and removes expired flows. Also returns whether the
    /// sweep has reached the end of the table.
    pub(crate) fn expire(
        &mut self,
        now: Instant,
        rules: &ExpiryRules,
        count: usize,
    ) -> (Vec<Flow>, bool) {
        let end = self.flows.len().min(self.cursor + count);
        let is_expired = |flow: &Flow| rules.is_expired(flow, now);
        let expired: Vec<FlowHandle> = (self.cursor..end)
            .filter(|index| self.flows[*index].as_ref().is_some_and(is_expired))
            .map(|index| FlowHandle(index as u32))
            .collect();
        let removed = expired
            .into_iter()
            .filter_map(|handle| self.remove(handle))
            .collect();
        let is_complete = end == self.flows.len();
        self.cursor = if is_complete { 0 } else { end };
        (removed, is_complete)
    }

    /// Number of entries in this share of the table.
    pub(crate) fn sweep_size(&self, share: f64) -> usize {
        (self.flows.len() as f64 * share).ceil() as usize
    }
}

/// Rules for the expiry of flows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpiryRules {
    pub(crate) idle_timeout: Duration,
    pub(crate) max_age: Duration,
}

/// How long a closing flow is tracked for its last retransmissions: longer than the longest
/// retransmission interval of 1.6 s.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an unanswered SYN is tracked; its caller gives up after 1.4 s.
const SYN_TIMEOUT: Duration = Duration::from_secs(2);

impl ExpiryRules {
    fn is_expired(&self, flow: &Flow, now: Instant) -> bool {
        let idle_timeout = match flow.phase {
            Phase::Opening(_) => SYN_TIMEOUT,
            Phase::Open => self.idle_timeout,
            Phase::Closing => CLOSING_TIMEOUT,
        };
        now >= flow.last_seen + idle_timeout || now >= flow.created_at + self.max_age
    }
}
