//! Openings that wait for capacity.
//!
//! Load pattern: more openings arrive than are admitted, for a tenth of a second or for
//! seconds. A caller that is refused retries within milliseconds and soon has no attempts
//! left, while many requests end within the next 100 ms. An opening therefore waits for a
//! short time, those of higher priorities first, and is then placed or refused.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::FlowKey;
use crate::flow::Priority;
use crate::flow::Segment;
use crate::flow::load::admission::Threshold;
use crate::id;

/// Longest wait of an opening. A caller retransmits its SYN after 200 ms.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Part of its response time objective that an opening waits at most.
const OBJECTIVE_SHARE: u32 = 4;

/// Bounds of the number of openings of one service that wait.
const MIN_LEN: usize = 4;
const MAX_LEN: usize = 512;

/// Minimum time between two timers of the queue.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time by which a timer may be late without exceeding the longest wait.
const TIMER_SLACK: Duration = Duration::from_millis(5);

/// Age from which on no reset is sent. The caller's retransmission after 200 ms may have
/// reached another instance that has forwarded it, so that the request may have run.
pub(crate) const MAX_RESET_AGE: Duration = Duration::from_millis(150);

/// Longest wait of an opening with this response time objective.
pub(crate) fn max_wait(objective: Duration) -> Duration {
    MAX_WAIT.min(objective / OBJECTIVE_SHARE)
}

/// Number of openings that may wait if the service processes this number of requests per
/// second for this instance: those that can be served within the longest wait.
pub(crate) fn max_len(share_rate: f64) -> usize {
    let served = share_rate * MAX_WAIT.as_secs_f64();
    (served as usize).clamp(MIN_LEN, MAX_LEN)
}

/// A waiting opening.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) segment: Segment,
    /// The packet as received.
    pub(crate) packet: Vec<u8>,
    pub(crate) service: id::Service,
    pub(crate) arrived: Instant,
    pub(crate) threshold: Threshold,
}

impl Entry {
    /// Whether this is the first copy of the SYN. A later one may follow a copy that another
    /// instance has forwarded.
    pub(crate) fn is_first_copy(&self) -> bool {
        self.segment.ack == 0
    }

    /// Whether a reset may be sent.
    pub(crate) fn may_reset(&self, now: Instant) -> bool {
        self.is_first_copy() && now < self.arrived + MAX_RESET_AGE
    }

    /// Whether the wait ends before the queue is checked again.
    pub(crate) fn is_overdue(&self, now: Instant, max_wait: Duration) -> bool {
        now + POLL_INTERVAL + TIMER_SLACK > self.arrived + max_wait
    }
}

/// Place of an opening in the queue: by priority, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket {
    pub(crate) priority: Priority,
    number: u64,
}

/// The waiting openings of all services.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: BTreeMap<Ticket, Entry>,
    by_flow: HashMap<FlowKey, Ticket>,
    lens: HashMap<id::Service, usize>,
    next_number: u64,
    /// When the queue was checked last.
    polled: Option<Instant>,
    /// Whether an opening may be admitted that was not at the last check.
    has_changed: bool,
}

impl Queue {
    /// Number of waiting openings.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of waiting openings of a service.
    pub(crate) fn len_of(&self, service: &id::Service) -> usize {
        self.lens.get(service).copied().unwrap_or_default()
    }

    /// The waiting opening of a flow.
    pub(crate) fn find(&self, flow_key: &FlowKey) -> Option<(Ticket, &Entry)> {
        let ticket = *self.by_flow.get(flow_key)?;
        Some((ticket, self.entries.get(&ticket)?))
    }

    /// The waiting opening with this ticket.
    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Entry> {
        self.entries.get(&ticket)
    }

    /// Whether an opening of this priority would overtake one of its service that waits.
    pub(crate) fn is_behind(&self, service: &id::Service, priority: Priority) -> bool {
        self.len_of(service) > 0
            && self
                .entries
                .iter()
                .take_while(|(ticket, _)| ticket.priority <= priority)
                .any(|(_, entry)| entry.service == *service)
    }

    /// Adds an opening. If more than `max_len` of its service wait, returns the most recent
    /// one of the lowest priority, which may be the added one.
    pub(crate) fn push(
        &mut self,
        priority: Priority,
        entry: Entry,
        max_len: usize,
    ) -> Option<(Ticket, Entry)> {
        if self.entries.is_empty() {
            // The timer begins with the first opening.
            self.polled = Some(entry.arrived);
        }
        let number = self.next_number;
        self.next_number += 1;
        let ticket = Ticket { priority, number };
        let service = entry.service.clone();
        self.by_flow.insert(entry.segment.flow_key, ticket);
        *self.lens.entry(service.clone()).or_default() += 1;
        self.entries.insert(ticket, entry);
        if self.len_of(&service) <= max_len {
            return None;
        }
        let mut last_first = self.entries.iter().rev();
        let (last, _) = last_first.find(|(_, entry)| entry.service == service)?;
        let last = *last;
        self.take(last).map(|entry| (last, entry))
    }

    /// Removes an opening.
    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        self.by_flow.remove(&entry.segment.flow_key);
        if let Some(len) = self.lens.get_mut(&entry.service) {
            *len -= 1;
            if *len == 0 {
                self.lens.remove(&entry.service);
            }
        }
        Some(entry)
    }

    /// Notes that requests have ended or that the configuration or the servers have changed.
    pub(crate) fn note_change(&mut self) {
        self.has_changed = true;
    }

    /// Returns the openings to be checked now, in order; none if nothing has changed since
    /// the last check and its interval has not passed.
    pub(crate) fn poll(&mut self, now: Instant) -> Vec<Ticket> {
        let is_due = self.next_due().is_some_and(|due| now >= due);
        if self.entries.is_empty() || !(is_due || self.has_changed) {
            return Vec::new();
        }
        self.polled = Some(now);
        self.has_changed = false;
        self.sort_thresholds();
        self.entries.keys().copied().collect()
    }

    /// Gives the highest thresholds of each service to the openings that come first, so that
    /// none is placed before one that it has to wait for.
    fn sort_thresholds(&mut self) {
        let mut by_service: HashMap<&id::Service, Vec<Threshold>> = HashMap::new();
        for entry in self.entries.values() {
            let thresholds = by_service.entry(&entry.service).or_default();
            thresholds.push(entry.threshold);
        }
        for thresholds in by_service.values_mut() {
            thresholds.sort_by(Threshold::total_cmp);
        }
        let mut sorted = Vec::with_capacity(self.entries.len());
        for entry in self.entries.values() {
            let thresholds = by_service.get_mut(&entry.service);
            sorted.extend(thresholds.and_then(Vec::pop));
        }
        for (entry, threshold) in self.entries.values_mut().zip(sorted) {
            entry.threshold = threshold;
        }
    }

    /// When the queue has to be checked next even if nothing changes.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        let polled = self.polled.filter(|_| !self.entries.is_empty())?;
        Some(polled + POLL_INTERVAL)
    }
}

#[cfg(test)]
mod tests {
    use std::net::Ipv4Addr;
    use std::net::SocketAddrV4;

    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    use super::*;
    use crate::flow::Flags;
    use crate::flow::Tag;

    fn ms(count: u64) -> Duration {
        Duration::from_millis(count)
    }

    fn entry(arrived: Instant, port: u16, service: &str) -> Entry {
        let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        Entry {
            segment: Segment {
                flow_key: FlowKey {
                    caller: address(port),
                    service: address(80),
                },
                flags: Flags::default(),
                seq: 1,
                ack: 0,
                len: 0,
                tag: Tag::NONE,
            },
            packet: Vec::new(),
            service: service.parse().unwrap(),
            arrived,
            threshold: Threshold::draw(&mut SmallRng::seed_from_u64(1)),
        }
    }

    fn ports(queue: &mut Queue, now: Instant) -> Vec<u16> {
        let tickets = queue.poll(now);
        let port = |ticket| queue.get(ticket).unwrap().segment.flow_key.caller.port();
        tickets.into_iter().map(port).collect()
    }

    // Guards against a higher priority that waits for a lower one.
    #[tokio::test(start_paused = true)]
    async fn openings_are_ordered_by_priority_then_arrival() {
        let now = Instant::now();
        let mut queue = Queue::default();
        for (port, priority) in [(1, 3), (2, 2), (3, 3), (4, 2)] {
            queue.push(Priority(priority), entry(now, port, "a"), 9);
        }
        assert_eq!(ports(&mut queue, now + ms(10)), [2, 4, 1, 3]);
        let service = "a".parse().unwrap();
        assert!(!queue.is_behind(&service, Priority(1)));
        assert!(queue.is_behind(&service, Priority(2)));
        assert!(!queue.is_behind(&"b".parse().unwrap(), Priority(9)));
    }

    // Guards against a full queue that keeps late openings of a low priority, and against one
    // service that uses up the room of another.
    #[tokio::test(start_paused = true)]
    async fn the_most_recent_opening_of_the_lowest_priority_leaves_a_full_queue() {
        let now = Instant::now();
        let mut queue = Queue::default();
        let mut push = |port, priority, service| {
            let overflow = queue.push(Priority(priority), entry(now, port, service), 2);
            overflow.map(|(_, entry)| entry.segment.flow_key.caller.port())
        };
        assert_eq!(push(1, 2, "a"), None);
        assert_eq!(push(2, 3, "a"), None);
        assert_eq!(push(3, 3, "b"), None);
        assert_eq!(push(4, 3, "a"), Some(4));
        assert_eq!(push(5, 2, "a"), Some(2));
        assert_eq!(queue.len(), 3);
        assert_eq!(queue.len_of(&"a".parse().unwrap()), 2);
    }

    // Guards against timers that fire more often than every 10 ms, and against openings that
    // wait for a timer although requests have ended.
    #[tokio::test(start_paused = true)]
    async fn the_queue_is_checked_every_10_ms_or_when_something_changes() {
        let now = Instant::now();
        let mut queue = Queue::default();
        assert_eq!(queue.next_due(), None);
        queue.push(Priority(2), entry(now, 1, "a"), 9);
        assert_eq!(queue.next_due(), Some(now + ms(10)));
        assert!(ports(&mut queue, now + ms(9)).is_empty());
        queue.note_change();
        assert_eq!(ports(&mut queue, now + ms(9)), [1]);
        assert_eq!(queue.next_due(), Some(now + ms(19)));
    }

    // Guards against callers that are refused after more than 100 ms or a quarter of their
    // objective, timers included.
    #[tokio::test(start_paused = true)]
    async fn no_opening_waits_longer_than_its_limit() {
        assert_eq!(max_wait(ms(400)), ms(100));
        assert_eq!(max_wait(ms(120)), ms(30));
        let now = Instant::now();
        let entry = entry(now, 1, "a");
        assert!(!entry.is_overdue(now + ms(85), ms(100)));
        assert!(entry.is_overdue(now + ms(86), ms(100)));
    }

    // Guards against a reset that states that nothing has run although another instance may
    // have forwarded a copy.
    #[tokio::test(start_paused = true)]
    async fn only_a_recent_first_copy_may_be_reset() {
        let now = Instant::now();
        let first = entry(now, 1, "a");
        assert!(first.may_reset(now + ms(149)));
        assert!(!first.may_reset(now + ms(150)));
        let mut copy = entry(now, 1, "a");
        copy.segment.ack = 1;
        assert!(!copy.may_reset(now));
    }

    // Guards against queues that are longer than what can be served in time.
    #[test]
    fn the_queue_holds_what_is_served_within_the_longest_wait() {
        assert_eq!(max_len(100.0), 10);
        assert_eq!(max_len(0.0), 4);
        assert_eq!(max_len(1e9), 512);
    }
}
