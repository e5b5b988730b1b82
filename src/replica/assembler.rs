//! Reassembles the parts that a subscriber receives.

use std::collections::HashMap;

use bytes::Bytes;
use prost::Message;

use crate::platform::Entry;
use crate::replica::copy;
use crate::replica::message::MAX_VALUE_BYTES;
use crate::replica::message::Rows;
use crate::replica::message::ValuePart;
use crate::replica::pack;
use crate::replica::pack::BaseValue;

/// Why a part is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PartError {
    /// The part does not begin where the previous part ended.
    #[error("a part is missing")]
    Gap,
    /// The part declares more bytes than any value may have.
    #[error("a value of {0} bytes is too large")]
    TooLarge(u64),
    /// The value was compressed against a version that is not known here.
    #[error("compressed against revision {0}, which is not known here")]
    UnknownBase(u64),
    /// The value cannot be decompressed.
    #[error("decompression failed: {0}")]
    DecompressionFailed(String),
    /// The decompressed value is not the one that was sent.
    #[error("digest of the value does not match")]
    WrongDigest,
}

/// A value whose parts are complete.
#[derive(Clone, Debug, PartialEq)]
pub enum AssembledValue {
    /// All entries, and the revision up to which they are complete.
    Copy(Vec<Entry>, u64),
    /// One large entry.
    Entry(Entry),
}

/// Joins the parts that a subscriber receives.
#[derive(Debug, Default)]
pub struct PartAssembler {
    bases: HashMap<String, BaseValue>,
    previous: Option<ValuePart>,
    packed: Vec<u8>,
}

impl PartAssembler {
    /// Creates an assembler for a subscriber that has these values.
    pub fn new(bases: Vec<BaseValue>) -> Self {
        let bases = bases.into_iter().map(|base| (base.key.clone(), base));
        Self {
            bases: bases.collect(),
            ..Self::default()
        }
    }

    /// Adds a part; returns the value when the part completes it.
    ///
    /// # Errors
    ///
    /// Returns why the part is rejected. The subscription must then start again.
    pub fn add(&mut self, part: ValuePart) -> Result<Option<AssembledValue>, PartError> {
        let is_first = part.offset == 0;
        let is_same = |previous: &ValuePart| {
            (&previous.key, previous.mod_revision, previous.digest)
                == (&part.key, part.mod_revision, part.digest)
        };
        let follows = self.previous.as_ref().is_some_and(is_same);
        if is_first {
            self.packed.clear();
        } else if !follows || part.offset != self.packed.len() as u64 {
            return Err(PartError::Gap);
        }
        // Compressed values are smaller than the values themselves, or only a few bytes
        // larger.
        let max = MAX_VALUE_BYTES as u64;
        let packed_len = self.packed.len() as u64 + part.bytes.len() as u64;
        if part.size > max || packed_len > max {
            return Err(PartError::TooLarge(part.size.max(packed_len)));
        }
        self.packed.extend_from_slice(&part.bytes);
        if !part.is_last {
            self.previous = Some(part);
            return Ok(None);
        }
        self.previous = None;
        self.complete(&part).map(Some)
    }

    fn complete(&mut self, part: &ValuePart) -> Result<AssembledValue, PartError> {
        let base = match part.base_revision {
            0 => None,
            revision => {
                let base = self.bases.get(&part.key);
                let base = base.filter(|base| base.mod_revision == revision);
                Some(base.ok_or(PartError::UnknownBase(revision))?)
            }
        };
        let base = base.map_or(&[][..], |base| &base.value);
        let packed = std::mem::take(&mut self.packed);
        let value = pack::unpack(&packed, base, part.size as usize);
        let value = value.map_err(|error| PartError::DecompressionFailed(error.to_string()))?;
        if value.len() as u64 != part.size || pack::digest(&value) != part.digest {
            return Err(PartError::WrongDigest);
        }
        if part.key.is_empty() {
            return self.complete_copy(value, part.mod_revision);
        }
        let base = BaseValue {
            key: part.key.clone(),
            mod_revision: part.mod_revision,
            value: value.clone(),
        };
        self.bases.insert(part.key.clone(), base);
        Ok(AssembledValue::Entry(Entry {
            key: part.key.clone(),
            value,
            mod_revision: part.mod_revision,
        }))
    }

    fn complete_copy(&mut self, value: Bytes, revision: u64) -> Result<AssembledValue, PartError> {
        let rows = Rows::decode(value)
            .map_err(|error| PartError::DecompressionFailed(error.to_string()))?;
        let entries = rows.rows.into_iter().filter_map(|row| {
            // Copied, since a slice would keep the whole message in memory.
            let value = Bytes::copy_from_slice(&row.value?);
            let (key, mod_revision) = (row.key, row.mod_revision);
            Some(Entry {
                key,
                value,
                mod_revision,
            })
        });
        let entries: Vec<Entry> = entries.collect();
        let large = entries.iter().filter(|entry| copy::is_large(entry));
        let large = large.map(|entry| (entry.key.clone(), BaseValue::from(entry)));
        self.bases = large.collect();
        Ok(AssembledValue::Copy(entries, revision))
    }
}
