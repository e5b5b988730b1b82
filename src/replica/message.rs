//! Messages between an instance and its subscribers.
//!
//! Length-delimited over one connection: the subscriber says what it knows, and
//! from then on only the other side speaks. Small rows go in messages of bounded size;
//! large values and whole copies go in parts, between which small rows find their way.
//! The derives need no generator.

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
use crate::replica::pack::Base;

/// Largest message that is read, in bytes: many times what one holds by [`PART`] and
/// [`ROWS`], and little enough for a machine of 80 MB.
const LARGEST_MESSAGE: usize = 4 << 20;

/// Largest value or whole copy, in bytes, unpacked: a copy of a store with 6,400
/// servers and 3,700 routes is 4 MB.
pub(crate) const LARGEST: usize = 16 << 20;

/// Bytes of a packed value in one message: 7 ms on a link of 10 Mbit/s, which is
/// what a small row waits for at most.
pub(crate) const PART: usize = 8 << 10;

/// Bytes of small rows in one message. Sixteen subscribers that share a link of
/// 2 Mbit/s, the thinnest known, each hear something every 0.5 s with it; they leave
/// after 0.8 s of silence.
pub(crate) const ROWS: usize = 8 << 10;

/// Bytes of rows from which they are packed. Entries of servers are alike: forty of
/// them take 709 bytes in place of 6,327. A few are not worth the compressor's time.
const PACK_FROM: usize = 1 << 10;

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST_MESSAGE)
        .new_codec()
}

/// A large value that the subscriber has.
#[derive(Clone, PartialEq, Message)]
pub struct Held {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of the store at which it was written.
    #[prost(uint64, tag = "2")]
    pub mod_revision: u64,
}

/// What a subscriber knows.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    /// Name of the subscriber.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Revision up to which it knows everything; none when it knows nothing.
    #[prost(uint64, optional, tag = "2")]
    pub horizon: Option<u64>,
    /// Large values against which it can be told newer ones.
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<Held>,
    /// Where it takes subscriptions itself.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Whether one heartbeat is all that is asked for.
    #[prost(bool, tag = "5")]
    pub is_look: bool,
}

/// One key.
#[derive(Clone, PartialEq, Message)]
pub struct Row {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// None when the key was deleted.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    /// Revision of the store at which it changed.
    #[prost(uint64, tag = "3")]
    pub mod_revision: u64,
}

/// All rows of a copy, as they are packed.
#[derive(Clone, PartialEq, Message)]
pub struct Rows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
}

/// Rows packed together.
#[derive(Clone, PartialEq, Message)]
pub struct Packed {
    /// Bytes of the rows, unpacked.
    #[prost(uint64, tag = "1")]
    pub size: u64,
    /// The rows, packed.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}

/// A part of a packed value. Parts of one value follow each other.
#[derive(Clone, PartialEq, Message)]
pub struct Part {
    /// The value's key; empty for a whole copy.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision at which the value was written, or up to which the copy is whole.
    #[prost(uint64, tag = "2")]
    pub mod_revision: u64,
    /// Revision of the subscriber's value that it was packed against; 0 for none.
    #[prost(uint64, tag = "3")]
    pub base_revision: u64,
    /// Bytes of the value, unpacked.
    #[prost(uint64, tag = "4")]
    pub size: u64,
    /// Digest of the value, unpacked.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// Where these bytes begin in the packed value.
    #[prost(uint64, tag = "6")]
    pub offset: u64,
    /// Bytes of the packed value.
    #[prost(bytes = "bytes", tag = "7")]
    pub bytes: Bytes,
    /// Whether the value is complete with them.
    #[prost(bool, tag = "8")]
    pub is_last: bool,
}

/// News for a subscriber; a heartbeat when there is neither row nor part.
#[derive(Clone, PartialEq, Message)]
pub struct News {
    /// Small rows.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<Row>,
    /// Revision up to which the subscriber knows everything with this message.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Time since the sender's last contact with the store, in milliseconds;
    /// none when it never had any, and while the subscriber waits for a copy or rows.
    #[prost(uint64, optional, tag = "4")]
    pub age_ms: Option<u64>,
    /// Part of a large value or a whole copy.
    #[prost(message, optional, tag = "5")]
    pub part: Option<Part>,
    /// Whether a whole copy is on its way.
    #[prost(bool, tag = "6")]
    pub awaits_copy: bool,
    /// What the zone's instances counted against servers.
    #[prost(message, repeated, tag = "7")]
    pub outcomes: Vec<OutcomeEntry>,
    /// Whether more small rows follow at once.
    #[prost(bool, tag = "8")]
    pub has_more: bool,
    /// Small rows beside the others, packed.
    #[prost(message, optional, tag = "9")]
    pub packed: Option<Packed>,
    /// Whether the sender follows an instance that is not above it.
    #[prost(bool, tag = "10")]
    pub is_detour: bool,
    /// Whether the sender is about to end.
    #[prost(bool, tag = "11")]
    pub is_leaving: bool,
    /// Whether the sender has withdrawn from its routers.
    #[prost(bool, tag = "12")]
    pub is_withdrawn: bool,
}

impl News {
    /// Packs the rows if there are many.
    ///
    /// # Errors
    ///
    /// Fails when the compressor does.
    pub fn pack_rows(&mut self) -> io::Result<()> {
        let size: usize = self.rows.iter().map(Message::encoded_len).sum();
        if size < PACK_FROM {
            return Ok(());
        }
        let rows = std::mem::take(&mut self.rows);
        let plain = Rows { rows }.encode_to_vec();
        self.packed = Some(Packed {
            size: plain.len() as u64,
            bytes: pack::pack(&plain, b"")?,
        });
        Ok(())
    }

    /// Unpacks the rows if they are packed.
    ///
    /// # Errors
    ///
    /// Fails when they are none that were packed, or too many.
    pub fn unpack_rows(&mut self) -> io::Result<()> {
        let Some(packed) = self.packed.take() else {
            return Ok(());
        };
        let most = packed.size.min(LARGEST_MESSAGE as u64);
        let plain = pack::unpack(&packed.bytes, b"", most as usize)?;
        let packed = Rows::decode(plain).map_err(io::Error::other)?;
        // A copy of their own: a part of the message would hold all of it.
        let rows = packed.rows.into_iter().map(|row| Row {
            value: row.value.map(|value| Bytes::copy_from_slice(&value)),
            ..row
        });
        self.rows.extend(rows);
        Ok(())
    }
}

impl From<&Base> for Held {
    fn from(base: &Base) -> Self {
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

/// Reads a message.
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
