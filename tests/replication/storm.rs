//! A tree of three levels on thin links while a large configuration changes.
//!
//! Links carry so many bytes a millisecond in each direction, and a connection has
//! one message under way. Sent whole, one version of 205 KB takes an instance
//! 2.6 s to hand to sixteen others over 10 Mbit/s, and 25 versions a minute.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::rate_limit::Rate;
use godwitreel::rate_limit::TokenBucket;
use godwitreel::replica::Base;
use godwitreel::replica::Copy;
use godwitreel::replica::News;
use godwitreel::replica::pack;
use prost::Message;
use tokio::time::Instant;

use crate::support::*;

/// 10 Mbit/s, in bytes a millisecond.
const LINK: usize = 1_250;

/// Subscribers of one instance.
const FAN_OUT: usize = 16;

/// Bytes of a packet's heads on the way, for each message.
const HEADS: usize = 80;

struct Sending {
    news: News,
    left: usize,
}

struct Connection {
    from: usize,
    to: usize,
    subscription: Subscription,
    sending: Option<Sending>,
    /// When messages arrived.
    arrivals: Vec<usize>,
}

/// Instances that pass on what the first one learns.
pub(crate) struct Tree {
    begin: Instant,
    /// Milliseconds since the begin.
    pub(crate) now: usize,
    copies: Vec<Copy>,
    pacers: Vec<TokenBucket>,
    connections: Vec<Connection>,
    /// Bytes that each instance has sent.
    sent: Vec<usize>,
    /// When an instance first knew a key's revision.
    learned: HashMap<(usize, String, u64), usize>,
    packed: RefCell<HashMap<(u64, u64), Bytes>>,
}

impl Tree {
    /// So many instances, each subscribed to the one above it.
    pub(crate) fn new(count: usize, first: &Copy) -> Self {
        let begin = Instant::now();
        let mut tree = Self {
            begin,
            now: 0,
            copies: Vec::new(),
            pacers: Vec::new(),
            connections: Vec::new(),
            sent: Vec::new(),
            learned: HashMap::new(),
            packed: RefCell::default(),
        };
        for number in 0..count {
            let mut copy = Copy::default();
            let entries: Vec<_> = first.entries().cloned().collect();
            copy.reset(&entries, first.horizon().unwrap());
            tree.add(copy);
            if number > 0 {
                tree.subscribe(number, (number - 1) / FAN_OUT);
            }
        }
        tree
    }

    fn add(&mut self, copy: Copy) -> usize {
        // Half of the link is for subscribers.
        let rate = Rate(LINK as u32 * 1_000 / 2);
        self.pacers.push(TokenBucket::new(rate, self.begin));
        self.copies.push(copy);
        self.sent.push(0);
        self.copies.len() - 1
    }

    fn subscribe(&mut self, from_below: usize, above: usize) {
        self.connections
            .retain(|connection| connection.to != from_below);
        self.connections.push(Connection {
            from: above,
            to: from_below,
            subscription: Subscription::new(&self.copies[above], &self.copies[from_below]),
            sending: None,
            arrivals: Vec::new(),
        });
    }

    /// The first instance learns a change.
    pub(crate) fn learn(&mut self, change: godwitreel::platform::Change) {
        self.learn_all(vec![change]);
    }

    /// The first instance learns many changes at once.
    pub(crate) fn learn_all(&mut self, changes: Vec<godwitreel::platform::Change>) {
        let revisions = changes.iter().map(|change| change.mod_revision());
        let revision = revisions.max().unwrap_or_default();
        let fresh = self.copies[0].apply(changes, revision);
        self.note(0, &fresh);
    }

    fn note(&mut self, instance: usize, fresh: &[godwitreel::platform::Change]) {
        for change in fresh {
            if let godwitreel::platform::Change::Put(entry) = change {
                let key = (instance, entry.key.clone(), entry.mod_revision);
                self.learned.entry(key).or_insert(self.now);
            }
        }
    }

    pub(crate) fn run(&mut self, milliseconds: usize) {
        for _ in 0..milliseconds {
            self.now += 1;
            self.compose();
            self.carry();
        }
    }

    fn compose(&mut self) {
        let now = self.begin + Duration::from_millis(self.now as u64);
        let Self {
            copies,
            pacers,
            connections,
            packed,
            ..
        } = self;
        let packing = |value: &Base, base: Option<&Base>| -> io::Result<Bytes> {
            let key = (base.map_or(0, |base| base.mod_revision), value.mod_revision);
            if let Some(bytes) = packed.borrow().get(&key).filter(|_| !value.key.is_empty()) {
                return Ok(bytes.clone());
            }
            let bytes = pack(&value.value, base.map_or(&[][..], |base| &base.value))?;
            packed.borrow_mut().insert(key, bytes.clone());
            Ok(bytes)
        };
        for connection in connections.iter_mut().filter(|c| c.sending.is_none()) {
            let pacer = &mut pacers[connection.from];
            let outbox = &mut connection.subscription.outbox;
            let may_send = |bytes| pacer.take_on_credit(bytes, now);
            let news = outbox.compose(&copies[connection.from], Some(0), &packing, may_send);
            let news = news.unwrap();
            if !news.rows.is_empty() || news.part.is_some() {
                let left = news.encoded_len() + HEADS;
                connection.sending = Some(Sending { news, left });
            }
        }
    }

    /// One millisecond of all links.
    fn carry(&mut self) {
        let mut up = vec![LINK; self.copies.len()];
        let mut down = vec![LINK; self.copies.len()];
        let mut arrived = Vec::new();
        let count = self.connections.len();
        for step in 0..count {
            // All get their turn at the head of the queue.
            let index = (step + self.now) % count;
            let connection = &mut self.connections[index];
            let Some(sending) = &mut connection.sending else {
                continue;
            };
            let most = up[connection.from].min(down[connection.to]);
            let bytes = sending.left.min(most);
            up[connection.from] -= bytes;
            down[connection.to] -= bytes;
            self.sent[connection.from] += bytes;
            sending.left -= bytes;
            if sending.left == 0 {
                arrived.push(index);
            }
        }
        for index in arrived {
            let connection = &mut self.connections[index];
            let Some(sending) = connection.sending.take() else {
                continue;
            };
            connection.arrivals.push(self.now);
            let to = connection.to;
            let copy = &mut self.copies[to];
            let fresh = connection.subscription.take(copy, sending.news).unwrap();
            self.note(to, &fresh);
        }
    }

    /// Longest time from the first instance's knowledge to the last one's.
    pub(crate) fn spread(&self, key: &str, revision: u64) -> usize {
        let at = |instance| self.learned.get(&(instance, key.to_owned(), revision));
        let begin = *at(0).expect("the first instance knows it");
        let last = (0..self.copies.len()).map(|instance| at(instance).copied());
        let last = last.map(|at| at.unwrap_or_else(|| panic!("{key} is not known everywhere")));
        last.max().unwrap() - begin
    }

    /// Longest time after a moment in which an instance waited for a message that
    /// was due.
    pub(crate) fn longest_silence(&self, begin: usize) -> usize {
        let gaps = self.connections.iter().flat_map(|connection| {
            let arrivals = std::iter::once(&begin).chain(&connection.arrivals);
            arrivals
                .zip(&connection.arrivals)
                .map(|(one, next)| next.saturating_sub(*one))
        });
        gaps.max().unwrap_or_default()
    }

    pub(crate) fn all_agree(&self) -> bool {
        let first = content(&self.copies[0]);
        self.copies.iter().all(|copy| content(copy) == first)
    }
}

fn store(config: &Config) -> Copy {
    let mut store = Copy::default();
    store.apply(vec![put(CONFIG, config.text(), 1)], 1);
    for number in 0..190 {
        store.apply(vec![put(&format!("servers/{number}"), [0; 140], 2)], 2);
    }
    store
}

/// 25 versions in two seconds, and a server drains every 100 ms. Gives back the
/// revisions of the drains.
fn storm(tree: &mut Tree, config: &mut Config, revision: &mut u64) -> Vec<(String, u64)> {
    let mut drains = Vec::new();
    for step in 0..25 {
        *revision += 1;
        tree.learn(put(CONFIG, config.next(), *revision));
        *revision += 1;
        let key = format!("servers/{step}");
        tree.learn(put(&key, [1; 140], *revision));
        drains.push((key, *revision));
        tree.run(80);
    }
    drains
}

// The configuration has grown, then changes 25 times in two seconds while servers
// drain. A drain must be known everywhere in far less than the bound of 3 s, and
// the last version soon after it was written.
#[test]
fn a_storm_of_configurations_delays_no_drain() {
    let mut config = Config::new(250);
    let mut tree = Tree::new(1 + FAN_OUT + 2 * FAN_OUT, &store(&config));
    config.grow(1_000);
    let mut revision = 10;
    tree.learn(put(CONFIG, config.next(), revision));
    tree.run(20);
    let drains = storm(&mut tree, &mut config, &mut revision);
    tree.run(3_000);
    for (key, revision) in &drains {
        let spread = tree.spread(key, *revision);
        assert!(spread < 300, "{key} took {spread} ms");
    }
    let spread = tree.spread(CONFIG, revision - 1);
    assert!(spread < 1_800, "the last version took {spread} ms");
    assert!(tree.all_agree());
    let most = *tree.sent.iter().max().unwrap();
    assert!(most < 900_000, "{most} bytes by one instance");
}

// An instance starts in the middle of the storm with nothing, another one loses
// its upstream while a value is on its way to it.
#[test]
fn who_joins_in_the_storm_gets_everything() {
    let mut config = Config::new(1_250);
    let mut tree = Tree::new(1 + FAN_OUT, &store(&config));
    let mut revision = 10;
    tree.learn(put(CONFIG, config.next(), revision));
    tree.run(5);
    let late = tree.add(Copy::default());
    tree.subscribe(late, 2);
    tree.subscribe(5, 3);
    let begin = tree.now;
    storm(&mut tree, &mut config, &mut revision);
    let first = tree.learned.iter();
    let first = first.filter(|((instance, key, _), _)| *instance == late && key == CONFIG);
    let first = first.map(|(_, at)| *at).min().expect("a first copy");
    assert!(first - begin < 500, "first copy after {} ms", first - begin);
    tree.run(2_000);
    assert!(tree.all_agree());
}
