//! The copy of the store keeps the newest change of each key, in whatever order changes
//! arrive.

use godwitreel::platform::Change;
use godwitreel::replica::StoreCopy;
use proptest::prelude::*;

use crate::support::*;

// A large value takes long to transfer, so changes written after it are applied first.
// The large value must neither undo them nor be hidden by them.
#[test]
fn changes_may_come_out_of_order() {
    let mut copy = StoreCopy::default();
    copy.apply(vec![put("servers/a", "2", 12)], 9);
    let late = copy.apply(
        vec![put("op/config", "big", 10), put("servers/a", "1", 11)],
        12,
    );
    assert_eq!(late, vec![put("op/config", "big", 10)]);
    assert_eq!(copy.synced_revision(), Some(12));
    assert_eq!(copy.get("servers/a").unwrap().mod_revision, 12);
}

#[test]
fn an_old_write_does_not_bring_back_what_was_deleted() {
    let mut copy = StoreCopy::default();
    copy.apply(vec![put("servers/a", "1", 5), delete("servers/a", 8)], 8);
    assert!(copy.apply(vec![put("servers/a", "1", 5)], 8).is_empty());
    // The same holds after the deletion itself has been pruned.
    let deletions = (0..600).map(|number| delete(&format!("servers/{number}"), 9 + number));
    copy.apply(deletions.collect(), 700);
    assert!(copy.apply(vec![put("servers/a", "1", 5)], 700).is_empty());
    assert!(copy.get("servers/a").is_none());
}

// The store has dropped its history and is listed again. Subscribers must be sent only
// the difference: a complete listing would send megabytes through the zone for a few
// missed changes.
#[test]
fn a_listing_is_sent_as_its_difference() {
    let mut copy = StoreCopy::default();
    let rows = (0..100).map(|number| put(&format!("servers/{number}"), "x", 1 + number));
    copy.apply(rows.collect(), 100);
    let mut entries: Vec<_> = copy.entries().cloned().collect();
    entries.retain(|entry| entry.key != "servers/7");
    entries.push(match put("servers/new", "y", 130) {
        Change::Put(entry) => entry,
        Change::Delete { .. } => unreachable!(),
    });
    let changes = copy.reset(&entries, 140).unwrap();
    assert_eq!(
        changes,
        vec![delete("servers/7", 140), put("servers/new", "y", 130)]
    );
    assert_eq!(copy.synced_revision(), Some(140));
    assert_eq!(copy.reset(&entries, 120), None, "the copy is newer already");
}

// A server's last state arrived before a large value. A complete copy from an instance
// that does not have that state yet must not undo it.
#[test]
fn a_listing_undoes_nothing_that_is_newer() {
    let mut copy = StoreCopy::default();
    copy.apply(vec![put("servers/a", "ready", 5)], 8);
    copy.apply(vec![put("servers/a", "draining", 20)], 8);
    let Change::Put(older) = put("servers/a", "ready", 5) else {
        unreachable!()
    };
    assert_eq!(copy.reset(&[older], 15), Some(Vec::new()));
    assert_eq!(copy.get("servers/a").unwrap().value, "draining");
    assert_eq!(copy.reset(&[], 16), Some(Vec::new()));
    assert_eq!(copy.get("servers/a").unwrap().value, "draining");
}

// A listing contains every key that exists, including those written before the
// deletions that have been pruned.
#[test]
fn a_listing_brings_old_entries_that_were_missed() {
    let mut copy = StoreCopy::default();
    let deletions = (0..600).map(|number| delete(&format!("servers/{number}"), 100 + number));
    copy.apply(deletions.collect(), 700);
    let missed = put("servers/old", "x", 3);
    let Change::Put(entry) = missed.clone() else {
        unreachable!()
    };
    assert_eq!(copy.reset(&[entry], 710), Some(vec![missed]));
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8, bool),
    Delete(u8),
    Send,
    Resubscribe,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_u8, any::<bool>()).prop_map(|(key, is_large)| Step::Put(key, is_large)),
        2 => (0..6_u8).prop_map(Step::Delete),
        4 => Just(Step::Send),
        1 => Just(Step::Resubscribe),
    ]
}

/// The revision of each existing key.
fn revisions(copy: &StoreCopy) -> Vec<(String, u64)> {
    let row = |entry: &godwitreel::platform::Entry| (entry.key.clone(), entry.mod_revision);
    copy.entries().map(row).collect()
}

proptest! {
    // While a subscriber receives updates in pieces, loses its upstream and subscribes
    // again, no key may go back to an older revision, its synced revision may not cover a
    // change that it lacks, and in the end it must have everything.
    #[test]
    fn a_subscriber_never_goes_back_and_ends_with_everything(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut store = StoreCopy::default();
        store.apply(vec![put(CONFIG, "first", 1)], 1);
        let mut copy = StoreCopy::default();
        let mut subscription = Subscription::new(&store, &copy);
        let mut revision = 1;
        for step in steps {
            match step {
                Step::Put(key, is_large) => {
                    revision += 1;
                    let length = if is_large { 30_000 } else { 10 };
                    let value = vec![key ^ revision as u8; length];
                    store.apply(vec![put(&format!("k{key}"), value, revision)], revision);
                }
                Step::Delete(key) => {
                    revision += 1;
                    store.apply(vec![delete(&format!("k{key}"), revision)], revision);
                }
                Step::Send => {
                    let before = revisions(&copy);
                    let message = subscription.compose(&store, revision % 3 != 0);
                    subscription.apply(&mut copy, message).unwrap();
                    for (key, old) in before {
                        let now = copy.get(&key).map(|entry| entry.mod_revision);
                        prop_assert!(now.is_none_or(|now| now >= old), "{key} went back");
                    }
                    for entry in store.entries() {
                        let claimed = copy.synced_revision().unwrap_or_default() >= entry.mod_revision;
                        let known = copy.get(&entry.key).map(|known| known.mod_revision);
                        prop_assert!(!claimed || known == Some(entry.mod_revision));
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
