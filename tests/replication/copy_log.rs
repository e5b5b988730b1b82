//! Copies that are passed on while they come in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::platform::Entry;
use godwitreel::replica::CopyDecoder;
use godwitreel::replica::CopyLog;
use godwitreel::replica::CopyLogError;
use godwitreel::replica::CopyPart;
use godwitreel::replica::CopyPosition;
use godwitreel::replica::NextPart;
use godwitreel::replica::encode_frames;
use proptest::prelude::*;
use tokio::time::Instant;

fn entry(number: usize, bytes: usize) -> Entry {
    // Values that hardly compress.
    let mut state = number as u64 + 1;
    let mut next_byte = || {
        state = state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        (state >> 56) as u8
    };
    let value: Vec<u8> = (0..bytes).map(|_| next_byte()).collect();
    Entry {
        key: format!("servers/i-{number:06}"),
        value: Bytes::from(value),
        mod_revision: number as u64 + 1,
    }
}

fn entries(count: usize) -> Vec<Entry> {
    (0..count).map(|number| entry(number, 150)).collect()
}

/// The parts that a subscriber at this position can be sent now, and the reason why there
/// are no more.
fn take_parts(log: &CopyLog, position: &mut CopyPosition) -> (Vec<CopyPart>, NextPart) {
    let mut parts = Vec::new();
    loop {
        match log.next(position, Instant::now()) {
            NextPart::Part(part) => {
                position.advance(&part);
                let is_last = part.is_last;
                parts.push(part);
                if is_last {
                    return (parts, NextPart::None);
                }
            }
            end => return (parts, end),
        }
    }
}

fn decode(parts: &[CopyPart]) -> Option<Vec<Entry>> {
    let mut decoder = CopyDecoder::default();
    let decoded = parts.iter().map(|part| decoder.add(part).unwrap());
    decoded.last().flatten()
}

fn by_key(mut entries: Vec<Entry>) -> Vec<Entry> {
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    entries
}

// Guards against subscribers that wait for the end of their upstream's copy.
#[test]
fn a_page_is_passed_on_before_the_next_one_arrives() {
    let log = Arc::new(CopyLog::default());
    let writer = log.begin(1, Instant::now()).unwrap();
    let mut position = CopyPosition::default();
    assert_eq!(take_parts(&log, &mut position).1, NextPart::Wait);
    writer.append_entries(&entries(200)).unwrap();
    let (mut parts, end) = take_parts(&log, &mut position);
    assert!(!parts.is_empty());
    assert_eq!(end, NextPart::Wait);
    writer.append_entries(&[entry(900, 20_000)]).unwrap();
    writer.finish(77);
    parts.extend(take_parts(&log, &mut position).0);
    assert_eq!(parts.last().map(|part| part.revision), Some(77));
    let mut all = entries(200);
    all.push(entry(900, 20_000));
    assert_eq!(by_key(decode(&parts).unwrap()), by_key(all));
}

// Guards against a copy of one source that is completed by another source's copy.
#[test]
fn subscribers_of_a_replaced_copy_are_told() {
    let log = Arc::new(CopyLog::default());
    let writer = log.begin(1, Instant::now()).unwrap();
    assert!(
        log.begin(2, Instant::now()).is_none(),
        "one writer at a time"
    );
    writer.append_entries(&entries(10)).unwrap();
    let mut position = CopyPosition::default();
    assert_eq!(take_parts(&log, &mut position).1, NextPart::Wait);
    drop(writer);
    assert_eq!(take_parts(&log, &mut position).1, NextPart::Stalled);
    let newcomer = log.next(&mut CopyPosition::default(), Instant::now());
    assert_eq!(newcomer, NextPart::None);
    let writer = log.begin(2, Instant::now()).unwrap();
    writer.append_entries(&entries(10)).unwrap();
    assert_eq!(take_parts(&log, &mut position).1, NextPart::Replaced);
}

// An instance's source fails midway, and the next source sends the same copy.
#[test]
fn the_same_copy_goes_on_with_another_source() {
    let head = Arc::new(CopyLog::default());
    let writer = head.begin(5, Instant::now()).unwrap();
    writer.append_entries(&entries(2_000)).unwrap();
    writer.finish(9);
    let (parts, _) = take_parts(&head, &mut CopyPosition::default());
    assert!(parts.len() > 2);

    let log = Arc::new(CopyLog::default());
    let mut position = CopyPosition::default();
    let first_source = log.begin(5, Instant::now()).unwrap();
    first_source.append_part(&parts[0]);
    let (mut received, _) = take_parts(&log, &mut position);
    drop(first_source);
    let second_source = log.begin(5, Instant::now()).unwrap();
    for part in &parts {
        second_source.append_part(part);
    }
    received.extend(take_parts(&log, &mut position).0);
    assert_eq!(decode(&received).unwrap(), entries(2_000));
}

// Guards against memory held for subscribers that no longer come.
#[tokio::test(start_paused = true)]
async fn a_complete_copy_is_dropped_after_a_while() {
    let log = Arc::new(CopyLog::default());
    let writer = log.begin(1, Instant::now()).unwrap();
    writer.append_entries(&entries(10)).unwrap();
    writer.finish(3);
    drop(writer);
    log.expire(Instant::now());
    let mut early = CopyPosition::default();
    let first = log.next(&mut early, Instant::now());
    assert!(matches!(first, NextPart::Part(_)));
    tokio::time::advance(Duration::from_secs(6)).await;
    log.expire(Instant::now());
    let first = log.next(&mut CopyPosition::default(), Instant::now());
    assert_eq!(first, NextPart::None);
    // Who has begun to receive it, over a slow link, gets the rest.
    let rest = log.next(&mut early, Instant::now());
    assert!(matches!(rest, NextPart::Part(_)));
}

fn part(id: u64, offset: u64, bytes: &[u8], is_last: bool) -> CopyPart {
    CopyPart {
        id,
        offset,
        bytes: Bytes::copy_from_slice(bytes),
        is_last,
        revision: 1,
        age_ms: 0,
    }
}

// Guards against copies that look complete although bytes are missing.
#[test]
fn an_incomplete_copy_is_rejected() {
    let bytes = encode_frames(&entries(5)).unwrap();
    let mut decoder = CopyDecoder::default();
    assert_eq!(decoder.add(&part(1, 0, &bytes[..9], false)), Ok(None));
    let gap = decoder.add(&part(1, 10, &bytes[10..], true));
    assert_eq!(gap, Err(CopyLogError::Gap));
    let other = decoder.add(&part(2, 9, &bytes[9..], true));
    assert_eq!(other, Err(CopyLogError::OtherCopy));
    let short = CopyDecoder::default().add(&part(1, 0, &bytes[..9], true));
    assert_eq!(short, Err(CopyLogError::Incomplete));
}

proptest! {
    // Guards against entries that are lost at the ends of parts or frames.
    #[test]
    fn any_division_into_parts_yields_all_entries(
        sizes in prop::collection::vec(0_usize..9_000, 0..40),
        ends in prop::collection::vec(0_usize..60_000, 0..12),
    ) {
        let numbered = sizes.into_iter().enumerate();
        let all: Vec<Entry> = numbered.map(|(number, bytes)| entry(number, bytes)).collect();
        let bytes = encode_frames(&all).unwrap();
        let mut ends: Vec<usize> = ends.into_iter().map(|end| end.min(bytes.len())).collect();
        ends.push(bytes.len());
        ends.sort_unstable();
        let mut decoder = CopyDecoder::default();
        let mut offset = 0;
        let mut decoded = None;
        for (index, end) in ends.iter().enumerate() {
            let is_last = index + 1 == ends.len();
            let part = part(1, offset as u64, &bytes[offset..*end], is_last);
            decoded = decoder.add(&part).unwrap();
            offset = *end;
        }
        prop_assert_eq!(by_key(decoded.unwrap()), all);
    }

    // Guards against a panic on bytes that no instance of this fleet sent.
    #[test]
    fn arbitrary_bytes_are_rejected_or_decoded(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = CopyDecoder::default().add(&part(1, 0, &bytes, true));
    }
}
