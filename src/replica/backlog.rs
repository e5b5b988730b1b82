//! Small rows that wait to be told to one subscriber.
//!
//! Load pattern: the store was away and all leases have lapsed; with its return every
//! server is registered anew within a second, while others go on to drain. In one
//! message these rows keep a thin link busy for seconds, in which its subscribers hear
//! nothing, leave, come back, and are sent the same message again. In messages of
//! bounded size each one that arrives is progress that lasts.

use std::collections::BTreeMap;
use std::collections::HashMap;

use prost::Message;

use crate::replica::message::Row;

/// The newest row of each key that the subscriber lacks.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// By revision, so that the first is the oldest.
    rows: BTreeMap<(u64, String), Row>,
    revisions: HashMap<String, u64>,
}

impl Backlog {
    /// Adds a row, in place of an earlier one of its key.
    pub(crate) fn add(&mut self, row: Row) {
        self.remove(&row.key);
        self.revisions.insert(row.key.clone(), row.mod_revision);
        self.rows.insert((row.mod_revision, row.key.clone()), row);
    }

    /// Drops a key that is told in another way.
    pub(crate) fn remove(&mut self, key: &str) {
        if let Some(revision) = self.revisions.remove(key) {
            self.rows.remove(&(revision, key.to_owned()));
        }
    }

    pub(crate) fn clear(&mut self) {
        self.rows.clear();
        self.revisions.clear();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Revision of the oldest row that waits.
    pub(crate) fn first_revision(&self) -> Option<u64> {
        self.rows.keys().next().map(|(revision, _)| *revision)
    }

    /// Takes rows of about so many bytes, at least one.
    ///
    /// Half of them are the newest: a server that drains now must not wait behind
    /// thousands that have come back. The others are the oldest, so that none waits
    /// for ever.
    pub(crate) fn take(&mut self, bytes: usize) -> Vec<Row> {
        let mut taken = Vec::new();
        let mut size = 0;
        while size < bytes {
            let next = if size < bytes / 2 {
                self.rows.pop_last()
            } else {
                self.rows.pop_first()
            };
            let Some(((_, key), row)) = next else {
                break;
            };
            self.revisions.remove(&key);
            size += row.encoded_len();
            taken.push(row);
        }
        taken
    }
}
