//! Packets that are queued for a slow link.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use godwitreel::flow::Admission;
use godwitreel::flow::Datagram;
use godwitreel::flow::Egress;
use godwitreel::flow::Segment;
use godwitreel::flow::Tag;
use tokio::time::Instant;

use crate::support::*;

/// Rate of the slow link in bytes per second: 2 Mbit/s.
const SLOW_LINK: f64 = 250_000.0;

/// Data bytes of a full packet.
const FULL_PACKET: u32 = 1_200;

fn datagram(mark: u8, length: usize) -> Datagram {
    Datagram {
        bytes: vec![mark; length],
        to: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
    }
}

fn data(port: u16, number: u32) -> Segment {
    Caller::new(port, SHEETS).data(number * FULL_PACKET, Tag::NONE)
}

/// Queues a datagram although the link is free.
fn enqueue(egress: &mut Egress, segment: &Segment, mark: u8, length: usize) -> Admission {
    egress.enqueue(segment, datagram(mark, length))
}

/// The marks of the datagrams sent within this time.
fn marks(egress: &mut Egress, from: Instant, millis: u64) -> Vec<u8> {
    let mut marks = Vec::new();
    for at in 0..=millis {
        while let Some(datagram) = egress.next(from + ms(at)) {
            marks.push(datagram.bytes[0]);
        }
    }
    marks
}

/// An upload as callers send it: sixteen packets in flight, unacknowledged ones are
/// retransmitted every 200 ms.
struct Upload {
    port: u16,
    packets: u32,
    next: u32,
    /// When each packet in flight was last sent, in milliseconds.
    in_flight: BTreeMap<u32, u64>,
    completed_at: Option<u64>,
}

impl Upload {
    fn new(port: u16) -> Self {
        Self {
            port,
            packets: 67,
            next: 0,
            in_flight: BTreeMap::new(),
            completed_at: None,
        }
    }

    fn send(&mut self, at: u64) -> Vec<u32> {
        while self.next < self.packets && self.in_flight.len() < 16 {
            self.in_flight.insert(self.next, u64::MAX);
            self.next += 1;
        }
        let is_due = |sent: &u64| *sent == u64::MAX || at >= sent + 200;
        let due = self.in_flight.iter_mut().filter(|(_, sent)| is_due(sent));
        due.map(|(number, sent)| {
            *sent = at;
            *number
        })
        .collect()
    }

    fn arrive(&mut self, at: u64, number: u32) {
        self.in_flight.remove(&number);
        if self.in_flight.is_empty() && self.next == self.packets {
            self.completed_at.get_or_insert(at);
        }
    }
}

/// A link that needs 5 ms per packet, buffers three and drops further ones.
#[derive(Default)]
struct Link {
    buffered: VecDeque<(u16, u32)>,
    last_carried: u64,
}

impl Link {
    fn send(&mut self, packet: (u16, u32)) {
        if self.buffered.len() < 3 {
            self.buffered.push_back(packet);
        }
    }

    fn deliver(&mut self, at: u64) -> Option<(u16, u32)> {
        (at >= self.last_carried + 5).then(|| self.last_carried = at)?;
        self.buffered.pop_front()
    }
}

// A caller uploads 80 KB through an instance on a link of 2 Mbit/s, which takes 0.34 s.
// Each window arrives in a burst. Without the queue, the link loses thirteen of sixteen
// packets every 200 ms, and the upload misses its deadline.
#[test]
fn an_upload_completes_at_the_rate_of_its_link() {
    let begin = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, begin);
    let mut uploads = [Upload::new(1), Upload::new(2)];
    let mut link = Link::default();
    let mut sent = BTreeSet::new();
    for at in 0..5_000 {
        let now = begin + ms(at);
        for upload in &mut uploads {
            for number in upload.send(at) {
                let segment = data(upload.port, number);
                if egress.try_pass(now, FULL_PACKET as usize) {
                    link.send((upload.port, number));
                    continue;
                }
                let mut datagram = datagram(upload.port as u8, FULL_PACKET as usize);
                datagram.bytes[1..5].copy_from_slice(&number.to_be_bytes());
                egress.enqueue(&segment, datagram);
            }
        }
        while let Some(datagram) = egress.next(now) {
            let number = u32::from_be_bytes(datagram.bytes[1..5].try_into().unwrap());
            link.send((datagram.bytes[0].into(), number));
        }
        if let Some((port, number)) = link.deliver(at) {
            sent.insert((port, number));
            uploads[usize::from(port) - 1].arrive(at, number);
        }
    }
    assert_eq!(sent.len(), 134);
    for upload in &uploads {
        let completed_at = upload.completed_at.expect("the upload ends");
        assert!(
            completed_at < 900,
            "two uploads share the link: {completed_at} ms"
        );
    }
}

// Two uploads fill the link, and a SYN arrives behind their windows. It is sent after the
// packets already handed to the link; behind 32 full packets it would wait for 170 ms.
#[test]
fn an_opening_packet_waits_for_no_upload() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, now);
    for number in 0..16 {
        enqueue(&mut egress, &data(1, number), 1, 1_242);
        enqueue(&mut egress, &data(2, number), 2, 1_242);
    }
    assert!(marks(&mut egress, now, 20).len() < 10);
    let opening = Caller::new(3, BOOKINGS).opening(0);
    enqueue(&mut egress, &opening, 3, 42);
    let sent = marks(&mut egress, now + ms(21), 20);
    let place = sent.iter().position(|mark| *mark == 3);
    assert!(place.is_some_and(|place| place <= 2), "{sent:?}");
}

// An upload begins while a whole window of another one is queued: both alternate.
#[test]
fn uploads_share_the_link() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, now);
    for number in 0..16 {
        enqueue(&mut egress, &data(1, number), 1, 1_242);
    }
    for number in 0..8 {
        enqueue(&mut egress, &data(2, number), 2, 1_242);
    }
    let sent = marks(&mut egress, now, 100);
    let of_second = sent.iter().filter(|mark| **mark == 2).count();
    assert!(sent.len() >= 14, "{sent:?}");
    assert!(of_second.abs_diff(sent.len() / 2) <= 1, "{sent:?}");
}

// The sender retransmits a packet that is still queued. If retransmissions were queued as
// well, they would lengthen the queue and cause more of them; instead each replaces the
// queued packet.
#[test]
fn a_retransmission_replaces_the_queued_packet() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, now);
    let segment = data(1, 0);
    assert_eq!(enqueue(&mut egress, &segment, 1, 1_242), Admission::Queued);
    let bytes = egress.queued_bytes();
    assert_eq!(
        enqueue(&mut egress, &segment, 2, 1_242),
        Admission::ReplacedQueued
    );
    assert_eq!(egress.queued_bytes(), bytes);
    assert_eq!(marks(&mut egress, now, 100), [2]);
    assert_eq!(enqueue(&mut egress, &segment, 3, 1_242), Admission::Queued);
}

// Acknowledgements without data differ from each other, and all of them are sent.
#[test]
fn acknowledgements_replace_nothing() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, now);
    let caller = Caller::new(1, BOOKINGS);
    for bytes in [100, 200, 300] {
        let segment = caller.acknowledge(bytes, Tag::NONE);
        assert_eq!(enqueue(&mut egress, &segment, 1, 42), Admission::Queued);
    }
    assert_eq!(marks(&mut egress, now, 10).len(), 3);
}

// Uploads exceed what the link carries in a second: data is refused, and the senders
// retransmit it later. New callers are not refused.
#[test]
fn the_queue_is_bounded_and_syns_are_not_refused() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, now);
    let mut refused = 0;
    for port in 1..40 {
        for number in 0..16 {
            let admission = enqueue(&mut egress, &data(port, number), 1, 1_242);
            refused += u32::from(admission == Admission::Refused);
        }
    }
    assert!(refused > 0);
    assert!(
        egress.queued_bytes() as f64 <= SLOW_LINK,
        "bytes of one second of link time"
    );
    let opening = Caller::new(50, BOOKINGS).opening(0);
    assert_eq!(enqueue(&mut egress, &opening, 2, 42), Admission::Queued);
}

// On a fast link the windows of a hundred uploads are sent without queueing.
#[test]
fn a_fast_link_queues_nothing() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK * 500.0, now);
    for _ in 0..100 {
        assert!((0..4).all(|_| egress.try_pass(now, 1_242)));
    }
    assert_eq!(egress.next_due(), None);
}

// A caller retransmits a packet with another size. If the queue counted it with the first
// size, the byte count would underflow, and the queue would seem full permanently.
#[test]
fn a_retransmission_is_counted_with_its_own_size() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, now);
    let segment = data(1, 0);
    enqueue(&mut egress, &segment, 1, 100);
    enqueue(&mut egress, &segment, 2, 1_242);
    assert_eq!(egress.queued_bytes(), 1_242 + 42);
    enqueue(&mut egress, &segment, 3, 100);
    assert_eq!(marks(&mut egress, now, 100), [3]);
    assert_eq!(egress.queued_bytes(), 0);
}

// Short packets fill the queue, and their senders retransmit them at full size: the queue
// must stay within one second of link time.
#[test]
fn growing_retransmissions_stay_within_the_bound() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, now);
    for length in [50, 1_242] {
        for port in 1..200 {
            for number in 0..16 {
                enqueue(&mut egress, &data(port, number), 1, length);
            }
        }
    }
    assert!(
        egress.queued_bytes() as f64 <= SLOW_LINK,
        "{} bytes",
        egress.queued_bytes()
    );
}

// Guards against a queue that keeps the former rate of its link.
#[test]
fn a_changed_rate_applies_to_queued_packets() {
    let now = Instant::now();
    let mut egress = Egress::new(SLOW_LINK, now);
    for number in 0..16 {
        enqueue(&mut egress, &data(1, number), 1, FULL_PACKET as usize);
    }
    let sent = marks(&mut egress, now, 20).len();
    assert!((3..16).contains(&sent), "{sent}");
    egress.set_rate(SLOW_LINK * 100.0);
    assert_eq!(marks(&mut egress, now + ms(21), 10).len(), 16 - sent);
}
