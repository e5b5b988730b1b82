//! Simulated platform: a store with compare-and-swap and leases.

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
use crate::fleet::POLL_INTERVAL;
use crate::fleet::Scheduled;
use crate::fleet::Write;
use crate::lab;
use crate::lab::ms;
use crate::lab::secs;

/// Time after which a registration that is not renewed expires.
pub(crate) const TTL: Duration = Duration::from_secs(6);

/// The simulated store and its faults.
#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) is_down: bool,
    /// Whether answers are lost after the write took effect.
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

    pub(crate) fn compare_and_swap(
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

    /// Registers an instance or renews its lease; returns the entry if it changed.
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

    /// Deletes the entries whose lease has expired and returns their keys. While the
    /// platform is down no lease expires.
    pub(crate) fn expire_leases(&mut self, now: Duration) -> Vec<String> {
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
        index: usize,
        document: u32,
        expected: Option<u64>,
        rows: Vec<Row>,
    ) {
        self.next_id += 1;
        let content = Document {
            write_id: self.next_id.to_string(),
            rows,
        };
        let value = Bytes::from(serde_json::to_vec(&content).expect("plain data"));
        let write = Write {
            node: index,
            incarnation: self.nodes[index].holder.incarnation.0,
            document,
            expected,
            value,
            expects_result: true,
        };
        let wait = match self.platform.is_slow {
            true => ms(self.rng.random_range(500..3_000)),
            false => self.delay(),
        };
        self.schedule(self.now + wait, Scheduled::Write(write));
    }

    /// Applies a write at the platform, or loses or delays it on the way there.
    pub(crate) fn process_write(&mut self, mut write: Write) {
        let reachable = self.nodes[write.node].is_platform_reachable && !self.platform.is_down;
        if write.expects_result && !reachable {
            // The write is delayed: the writer times out, and half of these writes still
            // reach the platform later.
            self.report_write(&write, secs(5), WriteResult::Unknown);
            if self.rng.random_bool(0.5) {
                write.expects_result = false;
                let late = ms(self.rng.random_range(1_000..12_000));
                self.schedule(self.now + late, Scheduled::Write(write));
            }
            return;
        }
        if self.platform.is_down {
            return;
        }
        let key = format!("{SLICES_PREFIX}{}", write.document);
        let value = write.value.clone();
        let written = match self.platform.compare_and_swap(&key, write.expected, value) {
            Ok(entry) => {
                let version = entry.mod_revision;
                self.send_to_connected_nodes(&Input::EntryChanged(entry));
                WriteResult::Done(version)
            }
            Err(found) => WriteResult::Lost(found),
        };
        if !write.expects_result {
            return;
        }
        if self.platform.loses_answers && self.rng.random_bool(0.5) {
            self.report_write(&write, secs(5), WriteResult::Unknown);
            return;
        }
        let wait = self.delay();
        self.report_write(&write, wait, written);
    }

    pub(crate) fn report_write(&mut self, write: &Write, wait: Duration, written: WriteResult) {
        let input = Input::WriteFinished(write.document, written);
        self.schedule(
            self.now + wait,
            Scheduled::Node(write.node, write.incarnation, input),
        );
    }

    /// Sends an input to every instance that is connected to the platform.
    pub(crate) fn send_to_connected_nodes(&mut self, input: &Input) {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_platform_reachable || !self.nodes[index].is_up {
                continue;
            }
            let incarnation = self.nodes[index].holder.incarnation.0;
            // All changes have the same delay, since a watch delivers them in order.
            let wait = if self.platform.is_slow {
                secs(1)
            } else {
                ms(20)
            };
            self.schedule(
                self.now + wait,
                Scheduled::Node(index, incarnation, input.clone()),
            );
        }
    }

    pub(crate) fn renew_registration(&mut self, index: usize) {
        let node = &self.nodes[index];
        let reachable = node.is_platform_reachable && !self.platform.is_down;
        if !reachable || self.now < node.next_renewal || node.is_withdrawn {
            return;
        }
        let registration = Registration {
            holder: node.holder.clone(),
            zone: node.zone.clone(),
            peer: lab::endpoint(4, index as u16),
            status: lab::endpoint(5, index as u16),
            leaving: node.leaving_since.is_some(),
        };
        self.nodes[index].next_renewal = self.now + POLL_INTERVAL;
        if let Some(entry) = self.platform.register(self.now, &registration) {
            self.send_to_connected_nodes(&Input::EntryChanged(entry));
        }
    }

    pub(crate) fn poll_store(&mut self, index: usize) {
        let node = &self.nodes[index];
        if self.now < node.next_poll {
            return;
        }
        let reachable = node.is_platform_reachable && !self.platform.is_down;
        let incarnation = node.holder.incarnation.0;
        self.nodes[index].next_poll = self.now + POLL_INTERVAL;
        let (wait, input) = if reachable {
            let entries = self.platform.entries();
            (ms(20), Input::Listing(entries, self.now))
        } else {
            (secs(1), Input::StoreUnreachable)
        };
        self.schedule(self.now + wait, Scheduled::Node(index, incarnation, input));
    }
}
