//! Packets that come before an instance knows any server.
//!
//! Load pattern: all instances lose their power, and routers that find none of them
//! ready send to all. An instance without its first copy of the store would drop
//! what comes in the meantime, and callers repeat an opening packet 0.2 s later and
//! others up to 1.6 s later.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Segment;

/// Packets kept at most; 600 KB of the largest.
const MOST: usize = 512;

/// Age at which an opening packet is given up. Its caller has sent a copy by then,
/// which may have opened the flow elsewhere.
const OPENING_AGE: Duration = Duration::from_millis(200);

/// Age at which another packet is given up: the longest pause of a caller's repeats.
const LATER_AGE: Duration = Duration::from_millis(1_600);

/// A packet that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingPacket {
    /// When it came.
    pub at: Instant,
    /// What it says.
    pub segment: Segment,
    /// Its bytes.
    pub packet: Vec<u8>,
}

impl PendingPacket {
    fn is_worth_keeping(&self, now: Instant) -> bool {
        let most = if self.segment.opens() {
            OPENING_AGE
        } else {
            LATER_AGE
        };
        now < self.at + most
    }
}

/// Packets that wait for the first copy, in the order in which they came.
#[derive(Debug, Default)]
pub struct Backlog {
    packets: VecDeque<PendingPacket>,
}

impl Backlog {
    /// Keeps a packet; the oldest one makes room.
    pub fn push(&mut self, early: PendingPacket) {
        let now = early.at;
        while let Some(first) = self.packets.front()
            && (self.packets.len() >= MOST || !first.is_worth_keeping(now))
        {
            self.packets.pop_front();
        }
        self.packets.push_back(early);
    }

    /// Takes out what its callers have not given up or repeated yet.
    pub fn drain(&mut self, now: Instant) -> impl Iterator<Item = PendingPacket> {
        let packets = std::mem::take(&mut self.packets);
        let worth = move |early: &PendingPacket| early.is_worth_keeping(now);
        packets.into_iter().filter(worth)
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.packets.clear();
    }

    /// Packets that wait.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}
