//! Messages between an instance and its subscribers.
//!
//! Length-delimited over one connection: the subscriber says what it knows, and
//! from then on only the other side speaks. The derives need no generator.

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::Error;
use crate::error::Result;
use crate::platform;
use crate::platform::Change;
use crate::replica::copy::Missing;

/// Largest message, in bytes: a copy of a store with 6,400 servers and 3,700
/// routes is 4 MB.
const LARGEST: usize = 16 << 20;

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST)
        .new_codec()
}

/// What a subscriber knows.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Subscribe {
    /// Name of the subscriber.
    #[prost(string, tag = "1")]
    pub(crate) instance: String,
    /// Revision up to which it knows everything; none when it knows nothing.
    #[prost(uint64, optional, tag = "2")]
    pub(crate) horizon: Option<u64>,
}

/// One key.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Row {
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    /// None when the key was deleted.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(crate) value: Option<Bytes>,
    #[prost(uint64, tag = "3")]
    pub(crate) mod_revision: u64,
}

/// News for a subscriber; a heartbeat when there are no rows.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct News {
    /// Whether the rows are all there are.
    #[prost(bool, tag = "1")]
    pub(crate) is_everything: bool,
    #[prost(message, repeated, tag = "2")]
    pub(crate) rows: Vec<Row>,
    /// Revision up to which the sender knows everything.
    #[prost(uint64, tag = "3")]
    pub(crate) revision: u64,
    /// Time since the sender's last contact with the store, in milliseconds;
    /// none when it never had any.
    #[prost(uint64, optional, tag = "4")]
    pub(crate) age_ms: Option<u64>,
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

impl News {
    pub(crate) fn new(missing: Option<Missing>, revision: u64, age_ms: Option<u64>) -> Self {
        let (is_everything, rows, revision) = match missing {
            None => (false, Vec::new(), revision),
            Some(Missing::Everything { entries, revision }) => {
                (true, entries.into_iter().map(Row::from).collect(), revision)
            }
            Some(Missing::Changes { changes, revision }) => (
                false,
                changes.into_iter().map(Row::from).collect(),
                revision,
            ),
        };
        Self {
            is_everything,
            rows,
            revision,
            age_ms,
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
