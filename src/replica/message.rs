//! Messages between an instance and its subscribers.
//!
//! Messages are length-delimited on one connection. The subscriber sends what it has,
//! and from then on only its reports of request outcomes, while the other side sends
//! updates. Small rows are sent in messages of bounded size; large values and complete
//! copies are sent in parts, with small rows in between. The prost derives need no code
//! generator.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::Error;
use crate::error::Result;
use crate::platform;
use crate::platform::Change;
use crate::replica::outcome::OutcomeEntry;
use crate::replica::pack;
use crate::replica::pack::BaseValue;

/// Largest message that is read, in bytes: many times the size that [`MAX_PART_BYTES`]
/// and [`MAX_ROWS_BYTES`] allow, and small enough for a machine with 80 MB.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Largest uncompressed value or complete copy, in bytes. A copy of a store with 6,400
/// servers and 3,700 routes is 4 MB.
pub(crate) const MAX_VALUE_BYTES: usize = 16 << 20;

/// Maximum bytes of a compressed value in one message: 7 ms on a 10 Mbit/s link, which
/// is the longest wait of a small row.
pub(crate) const MAX_PART_BYTES: usize = 8 << 10;

/// Maximum bytes of small rows in one message. With it, 16 subscribers that share a
/// link of 2 Mbit/s, the slowest in use, each receive a message every 0.5 s; they leave
/// after 0.8 s of silence.
pub(crate) const MAX_ROWS_BYTES: usize = 8 << 10;

/// Minimum bytes of rows that are compressed. Entries of servers are similar: 40 of
/// them take 709 bytes instead of 6,327. A few are not worth the CPU time.
const MIN_PACKED_ROWS_BYTES: usize = 1 << 10;

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

/// A large value that the subscriber has.
#[derive(Clone, PartialEq, Message)]
pub struct HeldValue {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of the store at which the value was written.
    #[prost(uint64, tag = "2")]
    pub mod_revision: u64,
}

/// A subscriber's request, with what it already has.
#[derive(Clone, PartialEq, Message)]
pub struct SubscribeRequest {
    /// Name of the subscriber.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Revision up to which the subscriber has all changes; `None` without a copy.
    #[prost(uint64, optional, tag = "2")]
    pub synced_revision: Option<u64>,
    /// Large values against which newer versions can be compressed.
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<HeldValue>,
    /// Address at which the subscriber itself accepts subscribers.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Whether the sender only wants a single heartbeat, as a liveness probe.
    #[prost(bool, tag = "5")]
    pub is_probe: bool,
    /// Whether a subscriber without a copy takes parts of one that still comes in.
    #[prost(bool, tag = "6")]
    pub accepts_copy_parts: bool,
}

/// The newest change of one key.
#[derive(Clone, PartialEq, Message)]
pub struct Row {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value; `None` when the key was deleted.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    /// Revision of the store at which the key changed.
    #[prost(uint64, tag = "3")]
    pub mod_revision: u64,
}

/// All rows of a copy, as input of the compression.
#[derive(Clone, PartialEq, Message)]
pub struct Rows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
}

/// Rows compressed together.
#[derive(Clone, PartialEq, Message)]
pub struct PackedRows {
    /// Size of the uncompressed rows, in bytes.
    #[prost(uint64, tag = "1")]
    pub size: u64,
    /// The compressed rows.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}

/// A part of a compressed value. The parts of a value are sent in order.
#[derive(Clone, PartialEq, Message)]
pub struct ValuePart {
    /// The value's key; empty for a complete copy.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision at which the value was written, or up to which the copy is complete.
    #[prost(uint64, tag = "2")]
    pub mod_revision: u64,
    /// Revision of the subscriber's value that it was compressed against; 0 for none.
    #[prost(uint64, tag = "3")]
    pub base_revision: u64,
    /// Size of the uncompressed value, in bytes.
    #[prost(uint64, tag = "4")]
    pub size: u64,
    /// Digest of the uncompressed value.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// Offset of these bytes in the compressed value.
    #[prost(uint64, tag = "6")]
    pub offset: u64,
    /// Bytes of the compressed value.
    #[prost(bytes = "bytes", tag = "7")]
    pub bytes: Bytes,
    /// Whether this is the last part of the value.
    #[prost(bool, tag = "8")]
    pub is_last: bool,
}

/// A part of a complete copy, which is passed on as it comes in. The parts of a copy are
/// sent in order.
#[derive(Clone, PartialEq, Message)]
pub struct CopyPart {
    /// Id of the copy, which all who pass it on keep.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Offset of these bytes in the copy.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Bytes of the copy's frames.
    #[prost(bytes = "bytes", tag = "3")]
    pub bytes: Bytes,
    /// Whether this is the last part of the copy.
    #[prost(bool, tag = "4")]
    pub is_last: bool,
    /// Revision up to which the copy is complete; only set in the last part.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Time since the store was asked for this copy, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
}

/// An update for a subscriber; a heartbeat when it has neither rows nor a part.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamMessage {
    /// Small rows.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<Row>,
    /// Revision up to which the subscriber has all changes after this message.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Time since the sender's last contact with the store, in milliseconds; `None` when
    /// there was none, and while the subscriber still lacks a copy or rows.
    #[prost(uint64, optional, tag = "4")]
    pub age_ms: Option<u64>,
    /// Part of a large value or of a complete copy.
    #[prost(message, optional, tag = "5")]
    pub part: Option<ValuePart>,
    /// Whether a complete copy is being sent.
    #[prost(bool, tag = "6")]
    pub awaits_copy: bool,
    /// Request outcomes counted by the zone's instances.
    #[prost(message, repeated, tag = "7")]
    pub outcomes: Vec<OutcomeEntry>,
    /// Whether more small rows follow at once.
    #[prost(bool, tag = "8")]
    pub has_more: bool,
    /// Further small rows, compressed.
    #[prost(message, optional, tag = "9")]
    pub packed: Option<PackedRows>,
    /// Whether the sender follows a fallback upstream, which is not above it in the tree.
    #[prost(bool, tag = "10")]
    pub is_on_fallback: bool,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "11")]
    pub is_stopping: bool,
    /// Whether the sender has withdrawn from its routers.
    #[prost(bool, tag = "12")]
    pub is_withdrawn: bool,
    /// Part of a complete copy that still comes in.
    #[prost(message, optional, tag = "13")]
    pub copy_part: Option<CopyPart>,
}

impl UpstreamMessage {
    /// Compresses the rows if there are many.
    ///
    /// # Errors
    ///
    /// Returns an error if the compressor fails.
    pub fn pack_rows(&mut self) -> io::Result<()> {
        let size: usize = self.rows.iter().map(Message::encoded_len).sum();
        if size < MIN_PACKED_ROWS_BYTES {
            return Ok(());
        }
        let rows = std::mem::take(&mut self.rows);
        let plain = Rows { rows }.encode_to_vec();
        self.packed = Some(PackedRows {
            size: plain.len() as u64,
            bytes: pack::pack(&plain, b"")?,
        });
        Ok(())
    }

    /// Decompresses the rows if they are compressed.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is not a valid compression of rows, or is too large.
    pub fn unpack_rows(&mut self) -> io::Result<()> {
        let Some(packed) = self.packed.take() else {
            return Ok(());
        };
        let max_size = packed.size.min(MAX_MESSAGE_BYTES as u64);
        let plain = pack::unpack(&packed.bytes, b"", max_size as usize)?;
        let packed = Rows::decode(plain).map_err(io::Error::other)?;
        // Copied, since a slice would keep the whole message in memory.
        let rows = packed.rows.into_iter().map(|row| Row {
            value: row.value.map(|value| Bytes::copy_from_slice(&value)),
            ..row
        });
        self.rows.extend(rows);
        Ok(())
    }
}

impl From<&BaseValue> for HeldValue {
    fn from(base: &BaseValue) -> Self {
        Self {
            key: base.key.clone(),
            mod_revision: base.mod_revision,
        }
    }
}

impl From<platform::Entry> for Row {
    fn from(entry: platform::Entry) -> Self {
        Self {
            key: entry.key,
            value: Some(entry.value),
            mod_revision: entry.mod_revision,
        }
    }
}

impl From<Change> for Row {
    fn from(change: Change) -> Self {
        match change {
            Change::Put(entry) => entry.into(),
            Change::Delete { key, mod_revision } => Self {
                key,
                value: None,
                mod_revision,
            },
        }
    }
}

impl From<Row> for Change {
    fn from(row: Row) -> Self {
        let Row {
            key, mod_revision, ..
        } = row;
        match row.value {
            Some(value) => Self::Put(platform::Entry {
                key,
                value,
                mod_revision,
            }),
            None => Self::Delete { key, mod_revision },
        }
    }
}

/// Decodes a message.
pub(crate) fn decode<T: Message + Default>(
    step: &'static str,
    peer: &str,
    bytes: BytesMut,
) -> Result<T> {
    T::decode(bytes).map_err(|error| Error::Decode {
        step,
        peer: peer.to_owned(),
        reason: error.to_string(),
    })
}
