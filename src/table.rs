//! The slice table: who is home and who is backup for each slice.
//!
//! Rows live in the platform, [`ROWS_PER_DOCUMENT`] to a document, and change by
//! compare-and-swap only. Every change of a row raises its epoch.

use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

use crate::id;
use crate::request::Flow;

/// Rows kept in one platform document.
pub const ROWS_PER_DOCUMENT: u32 = 256;

/// Ownership of one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Raised by each change.
    #[serde(rename = "e")]
    pub epoch: id::Epoch,
    /// Keeps the slice's requests and feeds.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub home: Option<id::Holder>,
    /// Keeps a copy of what must survive the home.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub backup: Option<id::Holder>,
    /// Whether the home took the slice over without its records.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub records_lost: bool,
}

impl Row {
    /// Whether this instance's life is home.
    pub fn is_home(&self, holder: &id::Holder) -> bool {
        self.home.as_ref() == Some(holder)
    }

    /// Whether this instance's life is backup.
    pub fn is_backup(&self, holder: &id::Holder) -> bool {
        self.backup.as_ref() == Some(holder)
    }

    /// Whether the home of this row has the records of the one before: it was
    /// home or backup there, and no row came in between.
    pub fn continues(&self, before: &Self) -> bool {
        let next = self.epoch.0 == before.epoch.0 + 1;
        let held = self.home == before.home || self.home == before.backup;
        next && self.home.is_some() && held
    }
}

/// A part of the table as it is stored in the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Random mark of this write, to find out by reading back whether it took effect.
    pub write_id: String,
    /// Rows, from the slice that is the document's number times [`ROWS_PER_DOCUMENT`].
    pub rows: Vec<Row>,
}

/// All rows, as last seen.
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

    /// Takes a row if its epoch is greater; tells whether it did.
    pub fn update_if_newer(&mut self, slice: id::Slice, row: Row) -> bool {
        let Some(known) = self.rows.get_mut(slice.0 as usize) else {
            return false;
        };
        // A stale platform or peer may serve an old row: taking it would give the
        // slice back to a home that has already been replaced.
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

/// The slice of a flow among `count`, by a hash that the fleet's key makes
/// unpredictable.
pub fn slice(count: u32, key: u64, flow: &Flow) -> id::Slice {
    let mut hasher = SipHasher13::new_with_keys(key, !key);
    flow.service.as_str().hash(&mut hasher);
    flow.caller.0.hash(&mut hasher);
    id::Slice((hasher.finish() % u64::from(count.max(1))) as u32)
}
