//! Small rows that are queued for one subscriber.
//!
//! Load pattern: the store was unreachable and all leases have expired. When it
//! returns, every server registers again within a second, while others drain. Sent as
//! one message, these rows keep a slow link busy for seconds. Its subscribers receive
//! nothing in that time, leave, subscribe again, and are sent the same message again.
//! With messages of bounded size, each message that arrives is progress that is kept.

use std::collections::BTreeMap;
use std::collections::HashMap;

use prost::Message;

use crate::replica::message::Row;

/// The newest row of each key that the subscriber lacks.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// Ordered by revision; the first one is the oldest.
    rows: BTreeMap<(u64, String), Row>,
    revisions: HashMap<String, u64>,
}

impl Backlog {
    /// Adds a row, replacing an earlier one of the same key.
    pub(crate) fn add(&mut self, row: Row) {
        self.remove(&row.key);
        self.revisions.insert(row.key.clone(), row.mod_revision);
        self.rows.insert((row.mod_revision, row.key.clone()), row);
    }

    /// Removes a key whose change is sent in another form.
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

    /// Revision of the oldest queued row.
    pub(crate) fn first_revision(&self) -> Option<u64> {
        self.rows.keys().next().map(|(revision, _)| *revision)
    }

    /// Takes rows of about this many bytes in total, at least one.
    ///
    /// The first half are the newest rows, so that a server that drains now does not wait
    /// behind thousands that have registered again. The second half are the oldest rows,
    /// so that every row is sent eventually.
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
