//! Entries of the store that cannot be read at present.
//!
//! Anybody may write to the store. One writer's rubbish must neither fill the log
//! nor the memory, and operators have to see which keys it is.

use std::collections::BTreeMap;

use slog::Logger;
use slog::warn;
use tokio::time::Instant;

use crate::platform::Change;
use crate::platform::poll::UnreadableEntry;
use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;
use crate::replica::Update;

/// Log lines a second: enough to see a fault begin, few beside the decisions'.
const LINES: Rate = Rate(5);

/// Keys that are remembered for the view.
const MOST_KEYS: usize = 32;

/// Longest reason that is kept, in characters: errors quote what they refuse.
const MOST_REASON: usize = 200;

/// The entries that cannot be read, and the allowance to say so.
pub(crate) struct Refusals {
    by_key: BTreeMap<String, String>,
    bucket: TokenBucket,
    omitted: u64,
}

impl Refusals {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            by_key: BTreeMap::new(),
            bucket: TokenBucket::new(LINES, now),
            omitted: 0,
        }
    }

    /// Forgets what an update says anew.
    pub(crate) fn renew(&mut self, update: &Update) {
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

    /// Remembers an entry, and logs it if the rate allows.
    pub(crate) fn note(&mut self, now: Instant, refusal: &UnreadableEntry, log: &Logger) {
        let reason: String = refusal.reason.chars().take(MOST_REASON).collect();
        if self.bucket.take_urgent(now) {
            let omitted = std::mem::take(&mut self.omitted);
            warn!(log, "entry of the store refused"; "key" => &refusal.key,
                "reason" => &reason, "omitted" => omitted);
        } else {
            self.omitted += 1;
        }
        if self.by_key.len() < MOST_KEYS || self.by_key.contains_key(&refusal.key) {
            self.by_key.insert(refusal.key.clone(), reason);
        }
    }

    /// The keys, with the reasons.
    pub(crate) fn list(&self) -> Vec<UnreadableEntry> {
        let row = |(key, reason): (&String, &String)| UnreadableEntry {
            key: key.clone(),
            reason: reason.clone(),
        };
        self.by_key.iter().map(row).collect()
    }
}
