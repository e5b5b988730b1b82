//! The platform as the fleet sees it: documents by compare-and-swap, leases.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::control::INSTANCES;
use godwitreel::control::Registration;
use godwitreel::platform::Entry;

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
