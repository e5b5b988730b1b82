//! Copies of a store that comes back from an older copy, so that its revisions are assigned
//! again.

use godwitreel::platform::Change;
use godwitreel::platform::Entry;
use godwitreel::platform::Era;
use godwitreel::platform::Revision;
use godwitreel::replica::StoreCopy;
use proptest::prelude::*;

use crate::storm::Tree;
use crate::support::*;

fn at(era: u16, number: u64) -> u64 {
    Revision::new(Era(era), number).unwrap().0
}

fn entry(key: &str, value: &str, revision: u64) -> Entry {
    match put(key, value, revision) {
        Change::Put(entry) => entry,
        Change::Delete { .. } => unreachable!(),
    }
}

#[test]
fn revisions_are_ordered_by_era_and_then_by_number() {
    assert!(at(1, 3) > at(0, 900));
    assert!(at(1, 4) > at(1, 3));
    assert_eq!(at(0, 42), 42, "a store without eras keeps its numbers");
    assert_eq!(Revision::new(Era(1), 1 << 48), None);
}

proptest! {
    #[test]
    fn a_revision_is_parsed_as_it_is_written(era in any::<u16>(), number in 0_u64..1 << 48) {
        let revision = Revision::new(Era(era), number).unwrap();
        prop_assert_eq!((revision.era(), revision.number()), (Era(era), number));
        prop_assert_eq!(revision.to_string().parse::<Revision>().unwrap(), revision);
    }
}

// Guards against a copy that rejects a restored store's listing as older than itself.
#[test]
fn a_listing_of_a_later_era_replaces_higher_numbers() {
    let mut copy = StoreCopy::default();
    let lost = put("servers/lost", "ready", at(0, 90));
    copy.apply(vec![put("servers/a", "lost", at(0, 80)), lost], at(0, 90));
    let listed = entry("servers/a", "restored", at(1, 12));
    let changes = copy
        .reset(std::slice::from_ref(&listed), at(1, 14))
        .unwrap();
    let expected = vec![delete("servers/lost", at(1, 14)), Change::Put(listed)];
    assert_eq!(changes, expected);
    assert_eq!(copy.synced_revision(), Some(at(1, 14)));
    assert!(copy.get("servers/lost").is_none());
}

// Guards against a late listing of before the restore that brings back what was lost.
#[test]
fn a_listing_of_an_earlier_era_is_rejected() {
    let mut copy = StoreCopy::default();
    copy.apply(vec![put("servers/a", "restored", at(1, 12))], at(1, 14));
    let late = entry("servers/a", "lost", at(0, 80));
    assert_eq!(copy.reset(&[late], at(0, 90)), None);
    let late = vec![put("servers/a", "lost", at(0, 80))];
    assert_eq!(copy.apply(late, at(0, 90)), Vec::new());
    assert_eq!(copy.get("servers/a").unwrap().value, "restored");
}

/// A subscriber that knows more of the earlier era than its upstream, when the upstream
/// reads the restored store. Returns whether they agree afterwards.
fn agrees_after_restore(is_connected: bool) -> bool {
    let mut upstream = StoreCopy::default();
    upstream.apply(vec![put("servers/a", "ready", at(0, 5))], at(0, 50));
    let mut subscriber = StoreCopy::default();
    let known = upstream.entries().cloned().map(Change::Put).collect();
    subscriber.apply(known, at(0, 50));
    let lost = [
        put("servers/a", "draining", at(0, 60)),
        put("servers/lost", "ready", at(0, 61)),
    ];
    subscriber.apply(lost.to_vec(), at(0, 61));
    let mut subscription = Subscription::new(&upstream, &subscriber);
    if is_connected {
        subscription.send_all(&upstream, &mut subscriber);
    }
    let listed = entry("servers/a", "ready", at(1, 5));
    upstream.reset(&[listed], at(1, 52)).unwrap();
    if !is_connected {
        subscription = Subscription::new(&upstream, &subscriber);
    }
    subscription.send_all(&upstream, &mut subscriber);
    content(&upstream) == content(&subscriber) && subscriber.synced_revision() == Some(at(1, 52))
}

// Guards against keys that only a subscriber had, which the difference from its upstream's
// former copy does not mention.
#[test]
fn a_connected_subscriber_forgets_what_only_it_knew() {
    assert!(agrees_after_restore(true));
}

#[test]
fn a_returning_subscriber_forgets_what_only_it_knew() {
    assert!(agrees_after_restore(false));
}

/// A store with a configuration of this many routes and 190 servers, all written in an era.
fn store(config: &Config, era: u16) -> StoreCopy {
    let mut store = StoreCopy::default();
    let servers = (0..190).map(|number| {
        let key = format!("servers/{number:04}");
        put(&key, [number as u8; 140], at(era, 2 + number))
    });
    store.apply(vec![put(CONFIG, config.text(), at(era, 1))], at(era, 1));
    store.apply(servers.collect(), at(era, 200));
    store
}

// Every instance takes a complete copy after a restore, over links of 10 Mbit/s. Guards
// against a drain that waits for it for longer than the bound of 3 s.
#[test]
fn complete_copies_after_a_restore_hide_no_drain() {
    let config = Config::new(1_250);
    let mut tree = Tree::new(1 + 16 + 32, &store(&config, 0));
    tree.list(&store(&config, 1));
    tree.run(20);
    let drained = at(1, 300);
    tree.update(put("servers/0007", "draining", drained));
    tree.run(6_000);
    let propagation_ms = tree.propagation_ms("servers/0007", drained);
    assert!(propagation_ms < 3_000, "the drain took {propagation_ms} ms");
    assert!(tree.all_agree());
}
