//! Many small rows that change at once.
//!
//! Load pattern: the store was unreachable, every lease expired, and when it returns
//! all servers register again within a second. The first instance of a zone forwards
//! their entries to 16 others over a slow link, while servers drain.

use bytes::Bytes;
use godwitreel::platform::Change;
use godwitreel::platform::Entry;
use godwitreel::replica::BaseValue;
use godwitreel::replica::Outbox;
use godwitreel::replica::PackedRows;
use godwitreel::replica::StoreCopy;
use godwitreel::replica::SubscribeRequest;
use godwitreel::replica::UpstreamMessage;
use proptest::prelude::*;
use prost::Message;

use crate::storm::Tree;
use crate::support::*;

/// Silence, in milliseconds, after which a subscriber leaves its upstream.
const SILENCE_LIMIT_MS: usize = 800;

/// Upper bound of a message, in bytes: 13 ms on a 10 Mbit/s link.
const MAX_MESSAGE_BYTES: usize = 16 << 10;

fn servers(count: usize, value: u8, revision: u64) -> Vec<Change> {
    let server = |number| {
        put(
            &format!("servers/{number:04}"),
            [value; 140],
            revision + number,
        )
    };
    (0..count as u64).map(server).collect()
}

// Guards against one message that holds all entries that return at once. With 3,000
// entries, 16 subscribers on a 10 Mbit/s link receive nothing for six seconds, leave
// after 0.8 s ("upstream lost", "silent"), subscribe again, and are sent the same
// message.
#[test]
fn entries_that_come_back_at_once_silence_no_upstream() {
    let mut store = StoreCopy::default();
    store.apply(servers(3_000, 0, 1), 3_001);
    let mut tree = Tree::new(1 + 16, &store);
    let begin = tree.now;
    tree.update_many(servers(3_000, 1, 10_000));
    tree.run(9_000);
    let gap = tree.longest_gap(begin);
    assert!(gap < SILENCE_LIMIT_MS, "nothing received for {gap} ms");
    assert!(tree.all_agree());
}

// As above, with a server that drains right afterwards. Sending the 3,000 entries
// before it takes six seconds, during which new flows must not still go to that server.
#[test]
fn a_drain_overtakes_entries_that_come_back() {
    let mut store = StoreCopy::default();
    store.apply(servers(3_000, 0, 1), 3_001);
    let mut tree = Tree::new(1 + 16, &store);
    tree.update_many(servers(3_000, 1, 10_000));
    tree.run(300);
    tree.update(put("servers/0007", [2; 140], 20_000));
    tree.run(9_000);
    let propagation_ms = tree.propagation_ms("servers/0007", 20_000);
    assert!(propagation_ms < 600, "the drain took {propagation_ms} ms");
    assert!(tree.all_agree());
}

// A subscriber that returns with an old copy is sent 2,000 rows. Until it has all of
// them it must not treat its copy as up to date, and it must not request less than it
// lacks when the connection ends halfway.
#[test]
fn rows_are_sent_in_messages_of_bounded_size() {
    let mut store = StoreCopy::default();
    store.apply(servers(2_000, 0, 1), 2_001);
    let mut copy = StoreCopy::default();
    copy.reset(&store.entries().cloned().collect::<Vec<_>>(), 2_001);
    store.apply(servers(2_000, 1, 10_000), 12_000);
    let mut subscription = Subscription::new(&store, &copy);
    for _ in 0..5 {
        let message = subscription.compose(&store, true);
        assert!(message.encoded_len() < MAX_MESSAGE_BYTES);
        assert_eq!(message.age_ms, None, "rows are still to come");
        subscription.apply(&mut copy, message).unwrap();
    }
    let mut again = Subscription::new(&store, &copy);
    again.send_all(&store, &mut copy);
    assert_eq!(content(&copy), content(&store));
    assert_eq!(copy.synced_revision(), store.synced_revision());
}

// More deletions than are kept happen while rows are waiting to be sent.
#[test]
fn a_deletion_that_waits_is_not_forgotten() {
    let mut store = StoreCopy::default();
    store.apply(servers(3_000, 0, 1), 3_001);
    let mut copy = StoreCopy::default();
    let mut subscription = Subscription::new(&store, &copy);
    subscription.send_all(&store, &mut copy);
    let mut revision = 10_000;
    for number in 0..1_200 {
        revision += 1;
        let key = format!("servers/{number:04}");
        store.apply(vec![delete(&key, revision)], revision);
        if number % 100 == 0 {
            let message = subscription.compose(&store, true);
            subscription.apply(&mut copy, message).unwrap();
        }
    }
    subscription.send_all(&store, &mut copy);
    assert_eq!(content(&copy), content(&store));
}

// The entries of servers are similar and compress well, which saves capacity on slow
// links.
#[test]
fn rows_are_packed_and_come_back() {
    let mut store = StoreCopy::default();
    let server = |number: u64| {
        let entry = format!(
            r#"{{"service":"booking","addr":"10.1.64.{number}:8125","zone":"kh-eros","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":{}}}"#,
            number * 7
        );
        put(
            &format!("servers/i-{:010x}", number * 0x9e37_79b9),
            entry,
            number + 1,
        )
    };
    store.apply((0..40).map(server).collect(), 40);
    let mut copy = StoreCopy::default();
    copy.apply(Vec::new(), 0);
    let mut subscription = Subscription::new(&store, &copy);
    let plain = subscription.compose(&store, true);
    let mut packed = plain.clone();
    packed.pack_rows().unwrap();
    let bytes = packed.encoded_len();
    assert!(bytes * 4 < plain.encoded_len(), "{bytes} bytes");
    packed.unpack_rows().unwrap();
    assert_eq!(packed, plain);
}

#[test]
fn rows_that_were_not_packed_are_refused() {
    let packed = PackedRows {
        size: u64::MAX,
        bytes: vec![7; 40].into(),
    };
    let mut message = UpstreamMessage {
        packed: Some(packed),
        ..UpstreamMessage::default()
    };
    assert!(message.unpack_rows().is_err());
}

#[derive(Clone, Debug)]
enum Step {
    Put(u16),
    Delete(u16),
    PutMany(u16),
    Send,
    Resubscribe,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..400u16).prop_map(Step::Put),
        1 => (0..400u16).prop_map(Step::Delete),
        1 => (1..400u16).prop_map(Step::PutMany),
        6 => Just(Step::Send),
        1 => Just(Step::Resubscribe),
    ]
}

proptest! {
    // Whatever changes while rows are waiting, and wherever a connection ends, the copies
    // agree in the end, and a copy that is sent an age lacks nothing.
    #[test]
    fn copies_agree_whatever_waits(steps in prop::collection::vec(step(), 1..60)) {
        let mut store = StoreCopy::default();
        store.apply(servers(400, 0, 1), 400);
        let mut copy = StoreCopy::default();
        let mut subscription = Subscription::new(&store, &copy);
        let mut revision = 1_000;
        for step in steps {
            revision += 1;
            let name = |number: u16| format!("servers/{number:04}");
            match step {
                Step::Put(number) => {
                    store.apply(vec![put(&name(number), [3; 90], revision)], revision);
                }
                Step::Delete(number) => {
                    store.apply(vec![delete(&name(number), revision)], revision);
                }
                Step::PutMany(count) => {
                    store.apply(servers(count.into(), 4, revision), revision + 400);
                    revision += 400;
                }
                Step::Send => {
                    let message = subscription.compose(&store, true);
                    let has_age = message.age_ms.is_some();
                    subscription.apply(&mut copy, message).unwrap();
                    if has_age {
                        prop_assert_eq!(content(&copy), content(&store));
                    }
                }
                Step::Resubscribe => subscription = Subscription::new(&store, &copy),
            }
        }
        subscription.send_all(&store, &mut copy);
        prop_assert_eq!(content(&copy), content(&store));
        prop_assert_eq!(copy.synced_revision(), store.synced_revision());
    }
}

/// Bytes that a subscriber in contact is sent when an eighth of this many servers leave at
/// once, per server that leaves, and whether it gets a complete copy.
fn sent_for_leaving_servers(servers: usize) -> (f64, bool) {
    let entry = |number: usize| Entry {
        key: format!("servers/i-{number:06}"),
        value: Bytes::from(vec![b'x'; 150]),
        mod_revision: number as u64 + 1,
    };
    let entries: Vec<Entry> = (0..servers).map(entry).collect();
    let revision = servers as u64;
    let mut copy = StoreCopy::default();
    copy.reset(&entries, revision);
    let request = SubscribeRequest {
        synced_revision: Some(revision),
        ..SubscribeRequest::default()
    };
    let mut outbox = Outbox::new(&request, Vec::new());
    let pack = |value: &BaseValue, _: Option<&BaseValue>| Ok(value.value.clone());
    outbox.compose(&copy, Some(0), &pack, |_| true).unwrap();
    let leaving = servers / 8;
    let deletions = entries.into_iter().take(leaving).enumerate();
    let deletions = deletions.map(|(number, entry)| Change::Delete {
        key: entry.key,
        mod_revision: revision + number as u64 + 1,
    });
    copy.apply(deletions.collect(), revision + leaving as u64);
    let (mut bytes, mut is_complete_copy) = (0, false);
    loop {
        let message = outbox.compose(&copy, Some(0), &pack, |_| true).unwrap();
        bytes += prost::Message::encoded_len(&message);
        is_complete_copy |= message.part.is_some();
        if !message.has_more && !outbox.has_parts() {
            return (bytes as f64 / leaving as f64, is_complete_copy);
        }
    }
}

// Guards against a complete copy for each of a thousand instances when a zone's servers
// are taken away, which no small fleet shows.
#[test]
fn servers_that_leave_at_once_are_sent_as_rows_at_any_size() {
    let (small, is_complete_copy) = sent_for_leaving_servers(1_000);
    assert!(!is_complete_copy);
    for servers in [10_000, 20_000] {
        let (bytes, is_complete_copy) = sent_for_leaving_servers(servers);
        assert!(!is_complete_copy, "{servers} servers");
        assert!(bytes < 1.2 * small, "{bytes} after {small} bytes a server");
    }
}
