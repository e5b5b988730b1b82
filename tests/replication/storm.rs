//! A three-level tree on slow links while a large configuration changes.
//!
//! Links carry a fixed number of bytes per millisecond in each direction, and each
//! connection has one message in transit. Sent whole, one version of 205 KB takes an
//! instance 2.6 s to send to 16 others over 10 Mbit/s, and 25 versions take a minute.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::rate_limit::Rate;
use godwitreel::rate_limit::TokenBucket;
use godwitreel::replica::BaseValue;
use godwitreel::replica::StoreCopy;
use godwitreel::replica::UpstreamMessage;
use godwitreel::replica::pack;
use prost::Message;
use tokio::time::Instant;

use crate::support::*;

/// 10 Mbit/s, in bytes per millisecond.
const LINK_BYTES_PER_MS: usize = 1_250;

/// Subscribers of one instance.
const FAN_OUT: usize = 16;

/// Bytes of packet headers for each message.
const HEADER_BYTES: usize = 80;

struct Sending {
    message: UpstreamMessage,
    remaining: usize,
}

struct Connection {
    upstream: usize,
    subscriber: usize,
    subscription: Subscription,
    sending: Option<Sending>,
    /// Arrival times of messages.
    arrival_times: Vec<usize>,
}

/// A tree of instances that forward what the first one learns.
pub(crate) struct Tree {
    start: Instant,
    /// Milliseconds since the start.
    pub(crate) now: usize,
    copies: Vec<StoreCopy>,
    pacers: Vec<TokenBucket>,
    connections: Vec<Connection>,
    /// Bytes sent by each instance.
    sent: Vec<usize>,
    /// When each instance first had a key at a revision.
    first_known: HashMap<(usize, String, u64), usize>,
    packed: RefCell<HashMap<(u64, u64), Bytes>>,
}

impl Tree {
    /// Creates `count` instances, each subscribed to the one above it.
    pub(crate) fn new(count: usize, first: &StoreCopy) -> Self {
        let start = Instant::now();
        let mut tree = Self {
            start,
            now: 0,
            copies: Vec::new(),
            pacers: Vec::new(),
            connections: Vec::new(),
            sent: Vec::new(),
            first_known: HashMap::new(),
            packed: RefCell::default(),
        };
        for number in 0..count {
            let mut copy = StoreCopy::default();
            let entries: Vec<_> = first.entries().cloned().collect();
            copy.reset(&entries, first.synced_revision().unwrap());
            tree.add(copy);
            if number > 0 {
                tree.subscribe(number, (number - 1) / FAN_OUT);
            }
        }
        tree
    }

    fn add(&mut self, copy: StoreCopy) -> usize {
        // Half of the link is for subscribers.
        let rate = Rate(LINK_BYTES_PER_MS as u32 * 1_000 / 2);
        self.pacers.push(TokenBucket::new(rate, self.start));
        self.copies.push(copy);
        self.sent.push(0);
        self.copies.len() - 1
    }

    fn subscribe(&mut self, subscriber: usize, upstream: usize) {
        self.connections
            .retain(|connection| connection.subscriber != subscriber);
        self.connections.push(Connection {
            upstream,
            subscriber,
            subscription: Subscription::new(&self.copies[upstream], &self.copies[subscriber]),
            sending: None,
            arrival_times: Vec::new(),
        });
    }

    /// Gives the first instance a change.
    pub(crate) fn update(&mut self, change: godwitreel::platform::Change) {
        self.update_many(vec![change]);
    }

    /// Gives the first instance many changes at once.
    pub(crate) fn update_many(&mut self, changes: Vec<godwitreel::platform::Change>) {
        let revisions = changes.iter().map(|change| change.mod_revision());
        let revision = revisions.max().unwrap_or_default();
        let new_changes = self.copies[0].apply(changes, revision);
        self.record(0, &new_changes);
    }

    /// Lets the first instance list a store that has this content.
    pub(crate) fn list(&mut self, store: &StoreCopy) {
        let entries: Vec<_> = store.entries().cloned().collect();
        let revision = store.synced_revision().unwrap_or_default();
        let new_changes = self.copies[0].reset(&entries, revision);
        self.record(0, &new_changes.unwrap_or_default());
    }

    fn record(&mut self, instance: usize, new_changes: &[godwitreel::platform::Change]) {
        for change in new_changes {
            if let godwitreel::platform::Change::Put(entry) = change {
                let key = (instance, entry.key.clone(), entry.mod_revision);
                self.first_known.entry(key).or_insert(self.now);
            }
        }
    }

    pub(crate) fn run(&mut self, milliseconds: usize) {
        for _ in 0..milliseconds {
            self.now += 1;
            self.compose();
            self.transfer();
        }
    }

    fn compose(&mut self) {
        let now = self.start + Duration::from_millis(self.now as u64);
        let Self {
            copies,
            pacers,
            connections,
            packed,
            ..
        } = self;
        let pack_value = |value: &BaseValue, base: Option<&BaseValue>| -> io::Result<Bytes> {
            let key = (base.map_or(0, |base| base.mod_revision), value.mod_revision);
            if let Some(bytes) = packed.borrow().get(&key).filter(|_| !value.key.is_empty()) {
                return Ok(bytes.clone());
            }
            let bytes = pack(&value.value, base.map_or(&[][..], |base| &base.value))?;
            packed.borrow_mut().insert(key, bytes.clone());
            Ok(bytes)
        };
        for connection in connections.iter_mut().filter(|c| c.sending.is_none()) {
            let pacer = &mut pacers[connection.upstream];
            let outbox = &mut connection.subscription.outbox;
            let may_send = |bytes| pacer.take_on_credit(bytes, now);
            let message =
                outbox.compose(&copies[connection.upstream], Some(0), &pack_value, may_send);
            let message = message.unwrap();
            if !message.rows.is_empty() || message.part.is_some() {
                let remaining = message.encoded_len() + HEADER_BYTES;
                connection.sending = Some(Sending { message, remaining });
            }
        }
    }

    /// Transfers one millisecond of data on all links.
    fn transfer(&mut self) {
        let mut up = vec![LINK_BYTES_PER_MS; self.copies.len()];
        let mut down = vec![LINK_BYTES_PER_MS; self.copies.len()];
        let mut arrived = Vec::new();
        let count = self.connections.len();
        for step in 0..count {
            // Each connection takes its turn as the first in the queue.
            let index = (step + self.now) % count;
            let connection = &mut self.connections[index];
            let Some(sending) = &mut connection.sending else {
                continue;
            };
            let max = up[connection.upstream].min(down[connection.subscriber]);
            let bytes = sending.remaining.min(max);
            up[connection.upstream] -= bytes;
            down[connection.subscriber] -= bytes;
            self.sent[connection.upstream] += bytes;
            sending.remaining -= bytes;
            if sending.remaining == 0 {
                arrived.push(index);
            }
        }
        for index in arrived {
            let connection = &mut self.connections[index];
            let Some(sending) = connection.sending.take() else {
                continue;
            };
            connection.arrival_times.push(self.now);
            let subscriber = connection.subscriber;
            let copy = &mut self.copies[subscriber];
            let new_changes = connection
                .subscription
                .apply(copy, sending.message)
                .unwrap();
            self.record(subscriber, &new_changes);
        }
    }

    /// Longest time from when the first instance has a change until the last one has it.
    pub(crate) fn propagation_ms(&self, key: &str, revision: u64) -> usize {
        let at = |instance| self.first_known.get(&(instance, key.to_owned(), revision));
        let start = *at(0).expect("the first instance knows it");
        let last = (0..self.copies.len()).map(|instance| at(instance).copied());
        let last = last.map(|at| at.unwrap_or_else(|| panic!("{key} is not known everywhere")));
        last.max().unwrap() - start
    }

    /// Longest gap after `begin` in which an instance waited for a message that was due.
    pub(crate) fn longest_gap(&self, start: usize) -> usize {
        let gaps = self.connections.iter().flat_map(|connection| {
            let arrival_times = std::iter::once(&start).chain(&connection.arrival_times);
            arrival_times
                .zip(&connection.arrival_times)
                .map(|(one, next)| next.saturating_sub(*one))
        });
        gaps.max().unwrap_or_default()
    }

    pub(crate) fn all_agree(&self) -> bool {
        let first = content(&self.copies[0]);
        self.copies.iter().all(|copy| content(copy) == first)
    }
}

fn store(config: &Config) -> StoreCopy {
    let mut store = StoreCopy::default();
    store.apply(vec![put(CONFIG, config.text(), 1)], 1);
    for number in 0..190 {
        store.apply(vec![put(&format!("servers/{number}"), [0; 140], 2)], 2);
    }
    store
}

/// Writes 25 versions in two seconds and drains a server every 80 ms. Returns the
/// revisions of the drains.
fn write_and_drain(tree: &mut Tree, config: &mut Config, revision: &mut u64) -> Vec<(String, u64)> {
    let mut drains = Vec::new();
    for step in 0..25 {
        *revision += 1;
        tree.update(put(CONFIG, config.next(), *revision));
        *revision += 1;
        let key = format!("servers/{step}");
        tree.update(put(&key, [1; 140], *revision));
        drains.push((key, *revision));
        tree.run(80);
    }
    drains
}

// The configuration has grown and then changes 25 times in two seconds while servers
// drain. Every instance must know of a drain well within the bound of 3 s, and have the
// last version soon after it was written.
#[test]
fn a_storm_of_configurations_delays_no_drain() {
    let mut config = Config::new(250);
    let mut tree = Tree::new(1 + FAN_OUT + 2 * FAN_OUT, &store(&config));
    config.grow(1_000);
    let mut revision = 10;
    tree.update(put(CONFIG, config.next(), revision));
    tree.run(20);
    let drains = write_and_drain(&mut tree, &mut config, &mut revision);
    tree.run(3_000);
    for (key, revision) in &drains {
        let propagation_ms = tree.propagation_ms(key, *revision);
        assert!(propagation_ms < 300, "{key} took {propagation_ms} ms");
    }
    let propagation_ms = tree.propagation_ms(CONFIG, revision - 1);
    assert!(
        propagation_ms < 1_800,
        "the last version took {propagation_ms} ms"
    );
    assert!(tree.all_agree());
    let max = *tree.sent.iter().max().unwrap();
    assert!(max < 900_000, "{max} bytes by one instance");
}

// An instance without a copy starts while the configuration changes, and another one
// loses its upstream during the transfer of a value.
#[test]
fn an_instance_that_joins_in_the_storm_gets_everything() {
    let mut config = Config::new(1_250);
    let mut tree = Tree::new(1 + FAN_OUT, &store(&config));
    let mut revision = 10;
    tree.update(put(CONFIG, config.next(), revision));
    tree.run(5);
    let late = tree.add(StoreCopy::default());
    tree.subscribe(late, 2);
    tree.subscribe(5, 3);
    let start = tree.now;
    write_and_drain(&mut tree, &mut config, &mut revision);
    let first = tree.first_known.iter();
    let first = first.filter(|((instance, key, _), _)| *instance == late && key == CONFIG);
    let first = first.map(|(_, at)| *at).min().expect("a first copy");
    assert!(first - start < 500, "first copy after {} ms", first - start);
    tree.run(2_000);
    assert!(tree.all_agree());
}
