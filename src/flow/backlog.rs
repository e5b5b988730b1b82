//! Buffer for packets that arrive before an instance knows any server.
//!
//! Load pattern: all instances lose power, and routers that find none of them ready send
//! to all of them. An instance that has not read the store yet would drop every packet
//! received in the meantime, and callers retransmit a SYN only after 0.2 s and other
//! packets after up to 1.6 s.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Segment;

/// Maximum number of buffered packets; 600 KB if all have the largest size.
const MAX_PACKETS: usize = 512;

/// Age at which a SYN expires. Its caller has sent a retransmission by then, which may
/// have opened the flow at another instance.
const MAX_SYN_AGE: Duration = Duration::from_millis(200);

/// Age at which any other packet expires: the longest retransmission interval of callers.
const MAX_OTHER_AGE: Duration = Duration::from_millis(1_600);

/// A buffered packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingPacket {
    /// When the packet arrived.
    pub at: Instant,
    /// The parsed packet.
    pub segment: Segment,
    /// The raw packet.
    pub packet: Vec<u8>,
}

impl PendingPacket {
    fn is_fresh(&self, now: Instant) -> bool {
        let max_age = if self.segment.opens() {
            MAX_SYN_AGE
        } else {
            MAX_OTHER_AGE
        };
        now < self.at + max_age
    }
}

/// Packets buffered until the instance has read the store, in order of arrival.
#[derive(Debug, Default)]
pub struct Backlog {
    packets: VecDeque<PendingPacket>,
}

impl Backlog {
    /// Buffers a packet; drops the oldest ones if the buffer is full.
    pub fn push(&mut self, pending: PendingPacket) {
        let now = pending.at;
        while let Some(first) = self.packets.front()
            && (self.packets.len() >= MAX_PACKETS || !first.is_fresh(now))
        {
            self.packets.pop_front();
        }
        self.packets.push_back(pending);
    }

    /// Drains the buffer and returns the packets that have not expired.
    pub fn drain(&mut self, now: Instant) -> impl Iterator<Item = PendingPacket> {
        let packets = std::mem::take(&mut self.packets);
        let is_fresh = move |pending: &PendingPacket| pending.is_fresh(now);
        packets.into_iter().filter(is_fresh)
    }

    /// Drops all packets.
    pub fn clear(&mut self) {
        self.packets.clear();
    }

    /// Number of buffered packets.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Whether no packet is buffered.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}
