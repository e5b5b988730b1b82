//! Many small rows that change at once.
//!
//! Load pattern: the store was away, every lease lapsed, and with its return all
//! servers are registered anew within a second. A zone's first instance passes
//! their entries on to sixteen others over a thin link, while servers drain.

use godwitreel::replica::Copy;

use crate::storm::Tree;
use crate::support::*;

/// Silence, in milliseconds, after which a subscriber leaves its upstream.
const SILENCE: usize = 800;

fn servers(count: usize, value: u8, revision: u64) -> Vec<godwitreel::platform::Change> {
    let server = |number| {
        put(
            &format!("servers/{number:04}"),
            [value; 140],
            revision + number,
        )
    };
    (0..count as u64).map(server).collect()
}

// When entries come back at once, all of them stand in one message to each
// subscriber. Sixteen that share a link of 10 Mbit/s hear nothing for six seconds
// with 3,000 entries, leave after 0.8 s ("upstream lost", "silent"), subscribe again,
// and are sent the same message.
#[test]
fn entries_that_come_back_at_once_silence_no_upstream() {
    let mut store = Copy::default();
    store.apply(servers(3_000, 0, 1), 3_001);
    let mut tree = Tree::new(1 + 16, &store);
    let begin = tree.now;
    tree.learn_all(servers(3_000, 1, 10_000));
    tree.run(9_000);
    let silence = tree.longest_silence(begin);
    assert!(silence < SILENCE, "nothing heard for {silence} ms");
    assert!(tree.all_agree());
}
