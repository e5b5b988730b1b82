//! The slice table: the home and the backup of each slice.
//!
//! Rows are stored in the platform, [`ROWS_PER_DOCUMENT`] to a document, and are
//! changed by compare-and-swap only. Every change of a row raises its epoch.

use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

use crate::id;
use crate::request::Flow;

/// Number of rows in a platform document.
pub const ROWS_PER_DOCUMENT: u32 = 256;

/// Ownership of one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Version of the row; raised by each change.
    #[serde(rename = "e")]
    pub epoch: id::Epoch,
    /// Holder that processes the slice's requests and feeds.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub home: Option<id::Holder>,
    /// Holder that keeps a copy of the records that must survive a loss of the home.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub backup: Option<id::Holder>,
    /// Whether the home took the slice over without its records.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub records_lost: bool,
}

impl Row {
    /// Whether this holder is the slice's home.
    pub fn is_home(&self, holder: &id::Holder) -> bool {
        self.home.as_ref() == Some(holder)
    }

    /// Whether this holder is the slice's backup.
    pub fn is_backup(&self, holder: &id::Holder) -> bool {
        self.backup.as_ref() == Some(holder)
    }

    /// Whether the home of this row has the records of the row `before`: it was home or
    /// backup in that row, and there was no row in between.
    pub fn continues(&self, before: &Self) -> bool {
        let is_next = self.epoch.0 == before.epoch.0 + 1;
        let had_records = self.home == before.home || self.home == before.backup;
        is_next && self.home.is_some() && had_records
    }
}

/// A document in the platform with a part of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Random identifier of this write. Reading it back shows whether an unanswered
    /// write took effect.
    pub write_id: String,
    /// Rows of consecutive slices. The first slice is the document's number times
    /// [`ROWS_PER_DOCUMENT`].
    pub rows: Vec<Row>,
}

/// All rows, in their newest known version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    /// An empty table of `slices` rows.
    pub fn new(slices: u32) -> Self {
        Self {
            rows: vec![Row::default(); slices as usize],
        }
    }

    /// Number of slices.
    pub fn len(&self) -> u32 {
        self.rows.len() as u32
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The row of a slice.
    ///
    /// # Panics
    ///
    /// Panics if the slice is outside the table.
    pub fn row(&self, slice: id::Slice) -> &Row {
        &self.rows[slice.0 as usize]
    }

    /// The row of a slice, if the table is large enough.
    pub fn get(&self, slice: id::Slice) -> Option<&Row> {
        self.rows.get(slice.0 as usize)
    }

    /// Replaces a row if the epoch of the new one is greater. Returns whether it was
    /// replaced.
    pub fn update_if_newer(&mut self, slice: id::Slice, row: Row) -> bool {
        let Some(known) = self.rows.get_mut(slice.0 as usize) else {
            return false;
        };
        // A stale platform or peer may serve an old row. Taking it would return the
        // slice to a home that has already been replaced.
        if row.epoch <= known.epoch {
            return false;
        }
        *known = row;
        true
    }

    /// All rows with their slices.
    pub fn rows(&self) -> impl Iterator<Item = (id::Slice, &Row)> {
        self.rows
            .iter()
            .enumerate()
            .map(|(slice, row)| (id::Slice(slice as u32), row))
    }

    /// The slice of a flow; see [`slice()`].
    pub fn slice(&self, key: u64, flow: &Flow) -> id::Slice {
        slice(self.len(), key, flow)
    }
}

/// The slice of a flow among `count` slices, by a hash with the fleet's secret key, so
/// that callers cannot predict it.
pub fn slice(count: u32, key: u64, flow: &Flow) -> id::Slice {
    let mut hasher = SipHasher13::new_with_keys(key, !key);
    flow.service.as_str().hash(&mut hasher);
    flow.caller.0.hash(&mut hasher);
    id::Slice((hasher.finish() % u64::from(count.max(1))) as u32)
}
