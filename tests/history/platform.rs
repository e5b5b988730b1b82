//! The platform as the fleet sees it: documents by compare-and-swap, leases.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::control::INSTANCES;
use godwitreel::control::Registration;
use godwitreel::control::SLICES_PREFIX;
use godwitreel::control::WriteResult;
use godwitreel::platform::Entry;
use godwitreel::table::Document;
use godwitreel::table::Row;
use rand::RngExt;

use crate::fleet::Fleet;
use crate::fleet::Input;
use crate::fleet::Item;
use crate::fleet::PROBE;
use crate::fleet::Write;
use crate::lab;
use crate::lab::ms;
use crate::lab::secs;

/// Life of a registration without renewal.
pub(crate) const TTL: Duration = Duration::from_secs(6);

/// The store.
#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) is_down: bool,
    /// Answers are lost after the write took effect.
    pub(crate) loses_answers: bool,
    pub(crate) is_slow: bool,
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<String, Duration>,
}

impl Platform {
    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.entries.values().cloned().collect()
    }

    pub(crate) fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).cloned()
    }

    pub(crate) fn swap(
        &mut self,
        key: &str,
        expected: Option<u64>,
        value: Bytes,
    ) -> Result<Entry, Option<Entry>> {
        let found = self.entries.get(key).map(|entry| entry.mod_revision);
        if found != expected {
            return Err(self.get(key));
        }
        Ok(self.put(key, value))
    }

    fn put(&mut self, key: &str, value: Bytes) -> Entry {
        self.revision += 1;
        let entry = Entry {
            key: key.to_owned(),
            value,
            mod_revision: self.revision,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        entry
    }

    /// Registers or renews; returns the entry if it changed.
    pub(crate) fn register(&mut self, now: Duration, registration: &Registration) -> Option<Entry> {
        let key = format!("{INSTANCES}{}", registration.holder.instance);
        let value = Bytes::from(serde_json::to_vec(registration).expect("plain data"));
        self.leases.insert(key.clone(), now + TTL);
        if self.entries.get(&key).is_some_and(|e| e.value == value) {
            return None;
        }
        Some(self.put(&key, value))
    }

    pub(crate) fn withdraw(&mut self, key: &str) {
        self.leases.remove(key);
        self.entries.remove(key);
    }

    /// Keys whose lease has lapsed. While it is down the platform ends no lease.
    pub(crate) fn lapse(&mut self, now: Duration) -> Vec<String> {
        if self.is_down {
            for until in self.leases.values_mut() {
                *until = (*until).max(now + Duration::from_secs(1));
            }
            return Vec::new();
        }
        let over = |(key, until): (&String, &Duration)| (*until <= now).then(|| key.clone());
        let keys: Vec<String> = self.leases.iter().filter_map(over).collect();
        for key in &keys {
            self.withdraw(key);
        }
        keys
    }
}

impl Fleet {
    pub(crate) fn write(
        &mut self,
        place: usize,
        document: u32,
        expected: Option<u64>,
        rows: Vec<Row>,
    ) {
        self.next_item += 1;
        let content = Document {
            write_id: self.next_item.to_string(),
            rows,
        };
        let value = Bytes::from(serde_json::to_vec(&content).expect("plain data"));
        let write = Write {
            node: place,
            life: self.nodes[place].holder.incarnation.0,
            document,
            expected,
            value,
            is_told: true,
        };
        let wait = match self.platform.is_slow {
            true => ms(self.rng.random_range(500..3_000)),
            false => self.delay(),
        };
        self.push(self.now + wait, Item::Write(write));
    }

    /// A write reaches the platform, or what stands between.
    pub(crate) fn store(&mut self, mut write: Write) {
        let reachable = self.nodes[write.node].is_linked && !self.platform.is_down;
        if write.is_told && !reachable {
            // It hangs somewhere: the writer gives up, and half of them arrive later.
            self.report(&write, secs(5), WriteResult::Unknown);
            if self.rng.random_bool(0.5) {
                write.is_told = false;
                let late = ms(self.rng.random_range(1_000..12_000));
                self.push(self.now + late, Item::Write(write));
            }
            return;
        }
        if self.platform.is_down {
            return;
        }
        let key = format!("{SLICES_PREFIX}{}", write.document);
        let value = write.value.clone();
        let written = match self.platform.swap(&key, write.expected, value) {
            Ok(entry) => {
                let version = entry.mod_revision;
                self.announce(&Input::Change(entry));
                WriteResult::Done(version)
            }
            Err(found) => WriteResult::Lost(found),
        };
        if !write.is_told {
            return;
        }
        if self.platform.loses_answers && self.rng.random_bool(0.5) {
            self.report(&write, secs(5), WriteResult::Unknown);
            return;
        }
        let wait = self.delay();
        self.report(&write, wait, written);
    }

    pub(crate) fn report(&mut self, write: &Write, wait: Duration, written: WriteResult) {
        let input = Input::Written(write.document, written);
        self.push(self.now + wait, Item::Node(write.node, write.life, input));
    }

    /// Tells every instance that the platform can reach.
    pub(crate) fn announce(&mut self, input: &Input) {
        for place in 0..self.nodes.len() {
            if !self.nodes[place].is_linked || !self.nodes[place].is_up {
                continue;
            }
            let life = self.nodes[place].holder.incarnation.0;
            // One watch hands its changes on in order.
            let wait = if self.platform.is_slow {
                secs(1)
            } else {
                ms(20)
            };
            self.push(self.now + wait, Item::Node(place, life, input.clone()));
        }
    }

    pub(crate) fn keep_registered(&mut self, place: usize) {
        let node = &self.nodes[place];
        let reachable = node.is_linked && !self.platform.is_down;
        if !reachable || self.now < node.next_renewal || node.is_withdrawn {
            return;
        }
        let registration = Registration {
            holder: node.holder.clone(),
            zone: node.zone.clone(),
            peer: lab::endpoint(4, place as u16),
            status: lab::endpoint(5, place as u16),
            leaving: node.leaving_since.is_some(),
        };
        self.nodes[place].next_renewal = self.now + PROBE;
        if let Some(entry) = self.platform.register(self.now, &registration) {
            self.announce(&Input::Change(entry));
        }
    }

    pub(crate) fn probe(&mut self, place: usize) {
        let node = &self.nodes[place];
        if self.now < node.next_probe {
            return;
        }
        let reachable = node.is_linked && !self.platform.is_down;
        let life = node.holder.incarnation.0;
        self.nodes[place].next_probe = self.now + PROBE;
        let (wait, input) = if reachable {
            let entries = self.platform.entries();
            (ms(20), Input::Listing(entries, self.now))
        } else {
            (secs(1), Input::Silent)
        };
        self.push(self.now + wait, Item::Node(place, life, input));
    }
}
