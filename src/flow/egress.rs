//! Packets that wait for this instance's own link.
//!
//! Load pattern: through the routers the sixteen packets of an upload's window arrive
//! within a millisecond. A link of 2 Mbit/s takes three of them at once and loses the
//! others; their sender repeats all of them every 200 ms, and loses most again. Others'
//! requests are lost with them, and the servers look silent.
//!
//! So packets go out no faster than the link carries them. What waits is ordered by
//! start-time fair queueing: each flow gets the same share, and whoever has nothing
//! waiting, an opening packet or a short request, is next.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::FlowKey;
use crate::flow::Segment;

/// What a datagram takes on a link beside its bytes: the heads of UDP, IP and Ethernet.
const OVERHEAD: usize = 42;

/// Time on the link of what may go out at once. Links hold more than this, and a timer
/// fires early enough for the next.
const AHEAD: Duration = Duration::from_millis(5);

/// Part of the link that callers' packets may take; the rest is for the copy of the
/// store, which must not grow old behind uploads.
const SHARE: f64 = 0.9;

/// Longest time on the link of what waits: a sender repeats its packets several times
/// within it, and most requests are late after it.
const MOST_WAIT: Duration = Duration::from_secs(1);

/// Bytes that wait at most, on wide links.
const MOST_BYTES: f64 = 4e6;

/// A datagram and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// The server's address.
    pub to: SocketAddrV4,
}

/// What becomes of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits for its turn.
    Queued,
    /// It waits in place of an earlier copy of the same data.
    ReplacedQueued,
    /// Too much waits already.
    Refused,
}

/// Where a datagram stands: by its start on a link shared fairly, then by arrival.
type Place = (u64, u64);

/// What names the data of a packet that is repeated.
type Data = (FlowKey, u32);

#[derive(Debug)]
struct Waiting {
    datagram: Datagram,
    flow_key: FlowKey,
    /// `None` for packets without data, of which each says something else.
    data: Option<Data>,
}

/// A flow with packets that wait.
#[derive(Debug)]
struct Share {
    /// Where the last of them ends on a link shared fairly, in bytes.
    end: u64,
    waiting: usize,
}

/// The queue in front of the link.
#[derive(Debug)]
pub struct Egress {
    bytes_per_second: f64,
    /// When the link will have carried all that went out.
    free: Instant,
    /// Progress of the link shared fairly, in bytes.
    progress: u64,
    arrivals: u64,
    waiting: BTreeMap<Place, Waiting>,
    places: HashMap<Data, Place>,
    shares: HashMap<FlowKey, Share>,
    /// Bytes that wait, with their heads.
    queued_bytes: usize,
    most_bytes: usize,
}

impl Egress {
    /// An empty queue in front of a link of this rate.
    pub fn new(bytes_per_second: f64, now: Instant) -> Self {
        let bytes_per_second = bytes_per_second * SHARE;
        let most = bytes_per_second * MOST_WAIT.as_secs_f64();
        Self {
            bytes_per_second,
            free: now,
            progress: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            shares: HashMap::new(),
            queued_bytes: 0,
            most_bytes: most.min(MOST_BYTES) as usize,
        }
    }

    /// Whether a datagram may go out at once; it is counted if so.
    pub fn try_pass(&mut self, now: Instant, bytes: usize) -> bool {
        let passes = self.waiting.is_empty() && self.is_free(now);
        if passes {
            self.charge(now, bytes);
        }
        passes
    }

    /// Counts a datagram that goes out in any case.
    pub fn charge(&mut self, now: Instant, bytes: usize) {
        let time = (bytes + OVERHEAD) as f64 / self.bytes_per_second;
        self.free = self.free.max(now) + Duration::from_secs_f64(time);
    }

    /// Lets a datagram wait for its turn.
    ///
    /// A repeat of data that waits is no second datagram: what it says beside its data is
    /// newer, so that it takes the place of the first. Only data is refused
    /// when too much waits, or uploads would shut new callers out.
    pub fn enqueue(&mut self, segment: &Segment, datagram: Datagram) -> Admission {
        let size = datagram.bytes.len() + OVERHEAD;
        let data = (segment.len > 0).then_some((segment.flow_key, segment.seq));
        let known = data.and_then(|data| self.places.get(&data));
        if let Some(waiting) = known.and_then(|place| self.waiting.get_mut(place)) {
            // Whoever repeats may have changed the size.
            let earlier = waiting.datagram.bytes.len() + OVERHEAD;
            let bytes = self.queued_bytes - earlier + size;
            if size > earlier && bytes > self.most_bytes {
                return Admission::Refused;
            }
            self.queued_bytes = bytes;
            waiting.datagram = datagram;
            return Admission::ReplacedQueued;
        }
        if data.is_some() && self.queued_bytes + size > self.most_bytes {
            return Admission::Refused;
        }
        let start = self.enter(segment.flow_key, size as u64);
        let place = (start, self.arrivals);
        self.arrivals += 1;
        self.queued_bytes += size;
        if let Some(data) = data {
            self.places.insert(data, place);
        }
        let waiting = Waiting {
            datagram,
            flow_key: segment.flow_key,
            data,
        };
        self.waiting.insert(place, waiting);
        Admission::Queued
    }

    /// Where a flow's next packet starts on a link shared fairly.
    fn enter(&mut self, flow_key: FlowKey, size: u64) -> u64 {
        let progress = self.progress;
        let share = self.shares.entry(flow_key).or_insert(Share {
            end: progress,
            waiting: 0,
        });
        let start = share.end.max(progress);
        share.end = start + size;
        share.waiting += 1;
        start
    }

    /// The next datagram that may go out; it is counted.
    pub fn next(&mut self, now: Instant) -> Option<Datagram> {
        if !self.is_free(now) {
            return None;
        }
        let (place, waiting) = self.waiting.pop_first()?;
        self.progress = place.0;
        if let Some(data) = waiting.data {
            self.places.remove(&data);
        }
        if let Some(share) = self.shares.get_mut(&waiting.flow_key) {
            share.waiting -= 1;
            if share.waiting == 0 {
                self.shares.remove(&waiting.flow_key);
            }
        }
        let length = waiting.datagram.bytes.len();
        self.queued_bytes -= length + OVERHEAD;
        self.charge(now, length);
        Some(waiting.datagram)
    }

    /// When [`Egress::next`] has something again.
    pub fn next_due(&self) -> Option<Instant> {
        let is_waiting = !self.waiting.is_empty();
        is_waiting.then(|| self.free - AHEAD)
    }

    /// Bytes that wait, with their heads.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    fn is_free(&self, now: Instant) -> bool {
        self.free <= now + AHEAD
    }
}
