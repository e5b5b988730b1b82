//! Entries of the store that cannot be decoded at present.
//!
//! Any client can write to the store. Invalid entries must fill neither the log nor the
//! memory, and operators must be able to see their keys.

use std::collections::BTreeMap;

use slog::Logger;
use slog::warn;
use tokio::time::Instant;

use crate::platform::Change;
use crate::platform::poll::UnreadableEntry;
use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;
use crate::replica::Update;

/// Log lines per second: enough to see a fault begin, and few compared with the lines
/// about flow decisions.
const LOG_RATE: Rate = Rate(5);

/// Number of keys kept for the status.
const MAX_KEYS: usize = 32;

/// Longest stored reason in characters, since errors quote the invalid value.
const MAX_REASON_CHARS: usize = 200;

/// The entries that cannot be decoded, and the rate limit of their log lines.
pub(crate) struct UnreadableEntries {
    by_key: BTreeMap<String, String>,
    bucket: TokenBucket,
    omitted: u64,
}

impl UnreadableEntries {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            by_key: BTreeMap::new(),
            bucket: TokenBucket::new(LOG_RATE, now),
            omitted: 0,
        }
    }

    /// Removes the keys that an update rewrites or deletes.
    pub(crate) fn remove_updated(&mut self, update: &Update) {
        match update {
            Update::Reset { .. } => self.by_key.clear(),
            Update::Change(Change::Put(entry)) => {
                self.by_key.remove(&entry.key);
            }
            Update::Change(Change::Delete { key, .. }) => {
                self.by_key.remove(key);
            }
            _ => {}
        }
    }

    /// Stores an entry's reason, and logs it if the rate allows.
    pub(crate) fn add(&mut self, now: Instant, entry: &UnreadableEntry, log: &Logger) {
        let reason: String = entry.reason.chars().take(MAX_REASON_CHARS).collect();
        if self.bucket.take_urgent(now) {
            let omitted = std::mem::take(&mut self.omitted);
            warn!(log, "entry of the store refused"; "key" => &entry.key,
                "reason" => &reason, "omitted" => omitted);
        } else {
            self.omitted += 1;
        }
        if self.by_key.len() < MAX_KEYS || self.by_key.contains_key(&entry.key) {
            self.by_key.insert(entry.key.clone(), reason);
        }
    }

    /// The keys with the reasons.
    pub(crate) fn list(&self) -> Vec<UnreadableEntry> {
        let row = |(key, reason): (&String, &String)| UnreadableEntry {
            key: key.clone(),
            reason: reason.clone(),
        };
        self.by_key.iter().map(row).collect()
    }
}
