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

use crate::flow::Pair;
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
    Waits,
    /// It waits in place of an earlier copy of the same data.
    Replaces,
    /// Too much waits already.
    Refused,
}

/// Where a datagram stands: by its start on a link shared fairly, then by arrival.
type Place = (u64, u64);

/// What names the data of a packet that is repeated.
type Data = (Pair, u32);

#[derive(Debug)]
struct Waiting {
    datagram: Datagram,
    pair: Pair,
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
    shares: HashMap<Pair, Share>,
    /// Bytes that wait, with their heads.
    bytes: usize,
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
            bytes: 0,
            most_bytes: most.min(MOST_BYTES) as usize,
        }
    }

    /// Whether a datagram may go out at once; it is counted if so.
    pub fn passes(&mut self, now: Instant, bytes: usize) -> bool {
        let passes = self.waiting.is_empty() && self.is_free(now);
        if passes {
            self.count(now, bytes);
        }
        passes
    }

    /// Counts a datagram that goes out in any case.
    pub fn count(&mut self, now: Instant, bytes: usize) {
        let time = (bytes + OVERHEAD) as f64 / self.bytes_per_second;
        self.free = self.free.max(now) + Duration::from_secs_f64(time);
    }

    /// Lets a datagram wait for its turn.
    ///
    /// A repeat of data that waits is no second datagram: what it says beside its data is
    /// newer, so that it takes the place of the first. Only data is refused
    /// when too much waits, or uploads would shut new callers out.
    pub fn wait(&mut self, segment: &Segment, datagram: Datagram) -> Admission {
        let size = datagram.bytes.len() + OVERHEAD;
        let data = (segment.len > 0).then_some((segment.pair, segment.seq));
        let known = data.and_then(|data| self.places.get(&data));
        if let Some(waiting) = known.and_then(|place| self.waiting.get_mut(place)) {
            // Whoever repeats may have changed the size.
            let earlier = waiting.datagram.bytes.len() + OVERHEAD;
            let bytes = self.bytes - earlier + size;
            if size > earlier && bytes > self.most_bytes {
                return Admission::Refused;
            }
            self.bytes = bytes;
            waiting.datagram = datagram;
            return Admission::Replaces;
        }
        if data.is_some() && self.bytes + size > self.most_bytes {
            return Admission::Refused;
        }
        let start = self.enter(segment.pair, size as u64);
        let place = (start, self.arrivals);
        self.arrivals += 1;
        self.bytes += size;
        if let Some(data) = data {
            self.places.insert(data, place);
        }
        let waiting = Waiting {
            datagram,
            pair: segment.pair,
            data,
        };
        self.waiting.insert(place, waiting);
        Admission::Waits
    }

    /// Where a flow's next packet starts on a link shared fairly.
    fn enter(&mut self, pair: Pair, size: u64) -> u64 {
        let progress = self.progress;
        let share = self.shares.entry(pair).or_insert(Share {
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
        if let Some(share) = self.shares.get_mut(&waiting.pair) {
            share.waiting -= 1;
            if share.waiting == 0 {
                self.shares.remove(&waiting.pair);
            }
        }
        let length = waiting.datagram.bytes.len();
        self.bytes -= length + OVERHEAD;
        self.count(now, length);
        Some(waiting.datagram)
    }

    /// When [`Egress::next`] has something again.
    pub fn next_due(&self) -> Option<Instant> {
        let is_waiting = !self.waiting.is_empty();
        is_waiting.then(|| self.free - AHEAD)
    }

    /// Bytes that wait, with their heads.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn is_free(&self, now: Instant) -> bool {
        self.free <= now + AHEAD
    }
}
