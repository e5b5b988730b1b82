//! Packets that wait for a thin link.

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

/// 2 Mbit/s.
const THIN: f64 = 250_000.0;

/// Bytes of a full packet's data.
const FULL: u32 = 1_200;

fn datagram(mark: u8, length: usize) -> Datagram {
    Datagram {
        bytes: vec![mark; length],
        to: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
    }
}

fn data(port: u16, number: u32) -> Segment {
    Caller::new(port, SHEETS).data(number * FULL, Tag::NONE)
}

/// Lets a datagram wait although the link is free.
fn queue(egress: &mut Egress, segment: &Segment, mark: u8, length: usize) -> Admission {
    egress.enqueue(segment, datagram(mark, length))
}

/// What goes out within this time.
fn marks(egress: &mut Egress, from: Instant, millis: u64) -> Vec<u8> {
    let mut marks = Vec::new();
    for at in 0..=millis {
        while let Some(datagram) = egress.next(from + ms(at)) {
            marks.push(datagram.bytes[0]);
        }
    }
    marks
}

/// An upload as callers send it: sixteen packets in flight, those that are missing again
/// every 200 ms.
struct Upload {
    port: u16,
    packets: u32,
    next: u32,
    /// When each packet in flight was sent last, in milliseconds.
    flying: BTreeMap<u32, u64>,
    ended: Option<u64>,
}

impl Upload {
    fn new(port: u16) -> Self {
        Self {
            port,
            packets: 67,
            next: 0,
            flying: BTreeMap::new(),
            ended: None,
        }
    }

    fn send(&mut self, at: u64) -> Vec<u32> {
        while self.next < self.packets && self.flying.len() < 16 {
            self.flying.insert(self.next, u64::MAX);
            self.next += 1;
        }
        let is_due = |sent: &u64| *sent == u64::MAX || at >= sent + 200;
        let due = self.flying.iter_mut().filter(|(_, sent)| is_due(sent));
        due.map(|(number, sent)| {
            *sent = at;
            *number
        })
        .collect()
    }

    fn arrive(&mut self, at: u64, number: u32) {
        self.flying.remove(&number);
        if self.flying.is_empty() && self.next == self.packets {
            self.ended.get_or_insert(at);
        }
    }
}

/// A link that carries a packet in 5 ms, holds three and loses the rest.
#[derive(Default)]
struct Link {
    held: VecDeque<(u16, u32)>,
    carried: u64,
}

impl Link {
    fn send(&mut self, packet: (u16, u32)) {
        if self.held.len() < 3 {
            self.held.push_back(packet);
        }
    }

    fn carry(&mut self, at: u64) -> Option<(u16, u32)> {
        (at >= self.carried + 5).then(|| self.carried = at)?;
        self.held.pop_front()
    }
}

// A coordinator uploads a sheet of 80 KB through an instance on a link of 2 Mbit/s, which
// takes 0.34 s for it. Its windows arrive in bursts; without the queue the link loses
// thirteen packets of sixteen every 200 ms, and the sheet is late.
#[test]
fn an_upload_takes_what_its_link_takes() {
    let begin = Instant::now();
    let mut egress = Egress::new(THIN, begin);
    let mut uploads = [Upload::new(1), Upload::new(2)];
    let mut link = Link::default();
    let mut sent = BTreeSet::new();
    for at in 0..5_000 {
        let now = begin + ms(at);
        for upload in &mut uploads {
            for number in upload.send(at) {
                let segment = data(upload.port, number);
                if egress.try_pass(now, FULL as usize) {
                    link.send((upload.port, number));
                    continue;
                }
                let mut datagram = datagram(upload.port as u8, FULL as usize);
                datagram.bytes[1..5].copy_from_slice(&number.to_be_bytes());
                egress.enqueue(&segment, datagram);
            }
        }
        while let Some(datagram) = egress.next(now) {
            let number = u32::from_be_bytes(datagram.bytes[1..5].try_into().unwrap());
            link.send((datagram.bytes[0].into(), number));
        }
        if let Some((port, number)) = link.carry(at) {
            sent.insert((port, number));
            uploads[usize::from(port) - 1].arrive(at, number);
        }
    }
    assert_eq!(sent.len(), 134);
    for upload in &uploads {
        let ended = upload.ended.expect("the upload ends");
        assert!(ended < 900, "two sheets share the link: {ended} ms");
    }
}

// Two uploads fill the link, and a driver's opening packet comes behind their windows. It
// is next but for what went out already: behind 32 full packets it would wait for 170 ms.
#[test]
fn an_opening_packet_waits_for_no_upload() {
    let now = Instant::now();
    let mut egress = Egress::new(THIN, now);
    for number in 0..16 {
        queue(&mut egress, &data(1, number), 1, 1_242);
        queue(&mut egress, &data(2, number), 2, 1_242);
    }
    assert!(marks(&mut egress, now, 20).len() < 10);
    let opening = Caller::new(3, BOOKINGS).opening(0);
    queue(&mut egress, &opening, 3, 42);
    let sent = marks(&mut egress, now + ms(21), 20);
    let place = sent.iter().position(|mark| *mark == 3);
    assert!(place.is_some_and(|place| place <= 2), "{sent:?}");
}

// One upload waits with a whole window, another begins: from there on they take turns.
#[test]
fn uploads_share_the_link() {
    let now = Instant::now();
    let mut egress = Egress::new(THIN, now);
    for number in 0..16 {
        queue(&mut egress, &data(1, number), 1, 1_242);
    }
    for number in 0..8 {
        queue(&mut egress, &data(2, number), 2, 1_242);
    }
    let sent = marks(&mut egress, now, 100);
    let of_second = sent.iter().filter(|mark| **mark == 2).count();
    assert!(sent.len() >= 14, "{sent:?}");
    assert!(of_second.abs_diff(sent.len() / 2) <= 1, "{sent:?}");
}

// The sender repeats what still waits here. Each repeat would lengthen the queue and be
// repeated in turn; it takes the place of the first, with what it says anew.
#[test]
fn a_repeat_of_what_waits_lengthens_nothing() {
    let now = Instant::now();
    let mut egress = Egress::new(THIN, now);
    let segment = data(1, 0);
    assert_eq!(queue(&mut egress, &segment, 1, 1_242), Admission::Queued);
    let bytes = egress.queued_bytes();
    assert_eq!(
        queue(&mut egress, &segment, 2, 1_242),
        Admission::ReplacedQueued
    );
    assert_eq!(egress.queued_bytes(), bytes);
    assert_eq!(marks(&mut egress, now, 100), [2]);
    assert_eq!(queue(&mut egress, &segment, 3, 1_242), Admission::Queued);
}

// Acknowledgements without data each say something else, and all go out.
#[test]
fn acknowledgements_replace_nothing() {
    let now = Instant::now();
    let mut egress = Egress::new(THIN, now);
    let caller = Caller::new(1, BOOKINGS);
    for bytes in [100, 200, 300] {
        let segment = caller.acknowledge(bytes, Tag::NONE);
        assert_eq!(queue(&mut egress, &segment, 1, 42), Admission::Queued);
    }
    assert_eq!(marks(&mut egress, now, 10).len(), 3);
}

// More uploads than the link carries in a second: data is refused, and its senders repeat
// it later. New callers are not shut out.
#[test]
fn what_waits_is_bounded_and_openings_are_not_refused() {
    let now = Instant::now();
    let mut egress = Egress::new(THIN, now);
    let mut refused = 0;
    for port in 1..40 {
        for number in 0..16 {
            let admission = queue(&mut egress, &data(port, number), 1, 1_242);
            refused += u32::from(admission == Admission::Refused);
        }
    }
    assert!(refused > 0);
    assert!(egress.queued_bytes() as f64 <= THIN, "a second's worth");
    let opening = Caller::new(50, BOOKINGS).opening(0);
    assert_eq!(queue(&mut egress, &opening, 2, 42), Admission::Queued);
}

// On a wide link nothing waits: the windows of a hundred uploads pass as they come.
#[test]
fn a_wide_link_holds_nothing_up() {
    let now = Instant::now();
    let mut egress = Egress::new(THIN * 500.0, now);
    for _ in 0..100 {
        assert!((0..4).all(|_| egress.try_pass(now, 1_242)));
    }
    assert_eq!(egress.next_due(), None);
}

// A caller repeats a packet with more or fewer bytes than before. Counted as the first
// one, what waits would seem to shrink below nothing, and the queue to be full for good.
#[test]
fn a_repeat_of_another_size_is_counted_as_it_is() {
    let now = Instant::now();
    let mut egress = Egress::new(THIN, now);
    let segment = data(1, 0);
    queue(&mut egress, &segment, 1, 100);
    queue(&mut egress, &segment, 2, 1_242);
    assert_eq!(egress.queued_bytes(), 1_242 + 42);
    queue(&mut egress, &segment, 3, 100);
    assert_eq!(marks(&mut egress, now, 100), [3]);
    assert_eq!(egress.queued_bytes(), 0);
}

// Short packets fill what may wait, and their senders repeat them at full size: more than a
// second's worth does not wait in that way either.
#[test]
fn repeats_that_grow_stay_within_the_bound() {
    let now = Instant::now();
    let mut egress = Egress::new(THIN, now);
    for length in [50, 1_242] {
        for port in 1..200 {
            for number in 0..16 {
                queue(&mut egress, &data(port, number), 1, length);
            }
        }
    }
    assert!(
        egress.queued_bytes() as f64 <= THIN,
        "{} bytes",
        egress.queued_bytes()
    );
}
