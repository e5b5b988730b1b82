//! Queue for packets that exceed the rate of this instance's own link.
//!
//! Load pattern: routers deliver the sixteen packets of an upload's window within a
//! millisecond. A link of 2 Mbit/s accepts three of them at once and loses the others.
//! The sender retransmits all of them every 200 ms and loses most of them again. Requests
//! of other callers are lost as well, and the servers look unresponsive.
//!
//! Packets are therefore sent no faster than the link carries them. Queued packets are
//! ordered by start-time fair queueing: each flow gets the same share of the link, and a
//! flow without queued packets, such as a SYN or a short request, is sent next.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::FlowKey;
use crate::flow::Segment;

/// Bytes per datagram on the link beside its payload: the UDP, IP and Ethernet headers.
const HEADER_BYTES: usize = 42;

/// Link time of the packets that may be sent ahead. Links buffer more packets than this, and
/// a timer fires before the link has sent them and becomes idle.
const SEND_AHEAD: Duration = Duration::from_millis(5);

/// Share of the link for callers' packets. The remainder is for updates from the store,
/// which uploads must not delay.
const CALLER_SHARE: f64 = 0.9;

/// Maximum link time of the queued packets. Within this time a sender retransmits several
/// times, and after it most requests have missed their deadline.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// Upper bound of the queued bytes on fast links.
const MAX_QUEUE_BYTES: f64 = 4e6;

/// A datagram and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Payload of the datagram.
    pub bytes: Vec<u8>,
    /// Address of the server.
    pub to: SocketAddrV4,
}

/// Result of queueing a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The datagram has been queued.
    Queued,
    /// The datagram has replaced a queued copy of the same data.
    ReplacedQueued,
    /// The queue is full.
    Refused,
}

/// Order of the queue: start tag of the fair queueing, then order of arrival.
type QueuePosition = (u64, u64);

/// Flow and sequence number that identify the data of a retransmission.
type DataKey = (FlowKey, u32);

#[derive(Debug)]
struct QueuedDatagram {
    datagram: Datagram,
    flow_key: FlowKey,
    /// `None` for packets without data, which are never retransmissions of each other.
    data: Option<DataKey>,
}

/// A flow with queued packets.
#[derive(Debug)]
struct FlowQueue {
    /// Finish tag of the flow's last packet, in bytes of virtual time.
    finish_tag: u64,
    queued: usize,
}

/// Rate limiter and fair queue in front of the link.
#[derive(Debug)]
pub struct Egress {
    bytes_per_second: f64,
    /// When the link will have sent all datagrams charged so far.
    link_free_at: Instant,
    /// Virtual time of the fair queueing, in bytes.
    virtual_time: u64,
    arrivals: u64,
    queue: BTreeMap<QueuePosition, QueuedDatagram>,
    position_by_data: HashMap<DataKey, QueuePosition>,
    flow_queues: HashMap<FlowKey, FlowQueue>,
    /// Queued bytes, including headers.
    queued_bytes: usize,
    max_bytes: usize,
}

impl Egress {
    /// Creates an empty queue for a link with this rate.
    pub fn new(bytes_per_second: f64, now: Instant) -> Self {
        let mut egress = Self {
            bytes_per_second: 0.0,
            link_free_at: now,
            virtual_time: 0,
            arrivals: 0,
            queue: BTreeMap::new(),
            position_by_data: HashMap::new(),
            flow_queues: HashMap::new(),
            queued_bytes: 0,
            max_bytes: 0,
        };
        egress.set_rate(bytes_per_second);
        egress
    }

    /// Sets the rate of the link. Queued datagrams stay queued.
    pub fn set_rate(&mut self, bytes_per_second: f64) {
        self.bytes_per_second = bytes_per_second * CALLER_SHARE;
        let max_bytes = self.bytes_per_second * MAX_QUEUE_TIME.as_secs_f64();
        self.max_bytes = max_bytes.min(MAX_QUEUE_BYTES) as usize;
    }

    /// Whether a datagram may be sent at once; if so, it is charged to the link.
    pub fn try_pass(&mut self, now: Instant, bytes: usize) -> bool {
        let passes = self.queue.is_empty() && self.is_free(now);
        if passes {
            self.charge(now, bytes);
        }
        passes
    }

    /// Charges the link for a datagram that is sent in any case.
    pub fn charge(&mut self, now: Instant, bytes: usize) {
        let time = (bytes + HEADER_BYTES) as f64 / self.bytes_per_second;
        self.link_free_at = self.link_free_at.max(now) + Duration::from_secs_f64(time);
    }

    /// Queues a datagram.
    ///
    /// A retransmission of queued data takes the place of the queued packet, because its
    /// other header fields are newer. Only packets with data are refused when the queue is
    /// full; otherwise uploads would keep out new callers.
    pub fn enqueue(&mut self, segment: &Segment, datagram: Datagram) -> Admission {
        let size = datagram.bytes.len() + HEADER_BYTES;
        let data = (segment.len > 0).then_some((segment.flow_key, segment.seq));
        let queued_at = data.and_then(|data| self.position_by_data.get(&data));
        if let Some(queued) = queued_at.and_then(|position| self.queue.get_mut(position)) {
            // A retransmission may have another size.
            let earlier = queued.datagram.bytes.len() + HEADER_BYTES;
            let bytes = self.queued_bytes - earlier + size;
            if size > earlier && bytes > self.max_bytes {
                return Admission::Refused;
            }
            self.queued_bytes = bytes;
            queued.datagram = datagram;
            return Admission::ReplacedQueued;
        }
        if data.is_some() && self.queued_bytes + size > self.max_bytes {
            return Admission::Refused;
        }
        let start = self.assign_start_tag(segment.flow_key, size as u64);
        let position = (start, self.arrivals);
        self.arrivals += 1;
        self.queued_bytes += size;
        if let Some(data) = data {
            self.position_by_data.insert(data, position);
        }
        let queued = QueuedDatagram {
            datagram,
            flow_key: segment.flow_key,
            data,
        };
        self.queue.insert(position, queued);
        Admission::Queued
    }

    /// Start tag of a flow's next packet, in bytes of virtual time.
    fn assign_start_tag(&mut self, flow_key: FlowKey, size: u64) -> u64 {
        let virtual_time = self.virtual_time;
        let flow_queue = self.flow_queues.entry(flow_key).or_insert(FlowQueue {
            finish_tag: virtual_time,
            queued: 0,
        });
        let start = flow_queue.finish_tag.max(virtual_time);
        flow_queue.finish_tag = start + size;
        flow_queue.queued += 1;
        start
    }

    /// Dequeues the next datagram that may be sent now, and charges it to the link.
    pub fn next(&mut self, now: Instant) -> Option<Datagram> {
        if !self.is_free(now) {
            return None;
        }
        let (position, queued) = self.queue.pop_first()?;
        self.virtual_time = position.0;
        if let Some(data) = queued.data {
            self.position_by_data.remove(&data);
        }
        if let Some(flow_queue) = self.flow_queues.get_mut(&queued.flow_key) {
            flow_queue.queued -= 1;
            if flow_queue.queued == 0 {
                self.flow_queues.remove(&queued.flow_key);
            }
        }
        let length = queued.datagram.bytes.len();
        self.queued_bytes -= length + HEADER_BYTES;
        self.charge(now, length);
        Some(queued.datagram)
    }

    /// When [`Egress::next`] returns a datagram again; `None` if the queue is empty.
    pub fn next_due(&self) -> Option<Instant> {
        let is_queued = !self.queue.is_empty();
        is_queued.then(|| self.link_free_at - SEND_AHEAD)
    }

    /// Queued bytes, including headers.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    fn is_free(&self, now: Instant) -> bool {
        self.link_free_at <= now + SEND_AHEAD
    }
}
