//! Bodies of the etcd v3 JSON gateway, as far as they are needed.
//!
//! The gateway writes 64-bit numbers as strings, bytes as base64 and leaves out
//! fields that are zero or empty. Unknown request fields are refused, so that a
//! misspelt one is seen at once.

use serde::Deserialize;
use serde::Serialize;

/// Compared field of a key.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

/// How the stored field has to stand to the given one.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Compare {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    pub(crate) target: Target,
    pub(crate) result: Relation,
    #[serde(with = "int64")]
    pub(crate) version: i64,
    #[serde(with = "int64")]
    pub(crate) create_revision: i64,
    #[serde(with = "int64")]
    pub(crate) mod_revision: i64,
    #[serde(with = "base64")]
    pub(crate) value: Vec<u8>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Range {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "base64")]
    pub(crate) range_end: Vec<u8>,
    #[serde(with = "int64")]
    pub(crate) limit: i64,
    /// Accepted and not heeded, as is the next one.
    #[serde(with = "int64", rename = "revision")]
    pub(crate) _revision: i64,
    #[serde(rename = "serializable")]
    pub(crate) _serializable: bool,
    pub(crate) sort_target: SortTarget,
    pub(crate) sort_order: SortOrder,
    /// Leaves out the values.
    pub(crate) keys_only: bool,
}

/// Field that a range is sorted by; others of etcd's are refused.
#[derive(Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum SortTarget {
    #[default]
    Key,
    Mod,
}

/// Direction that a range is sorted in; without one it stands by key.
#[derive(Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum SortOrder {
    #[default]
    None,
    Ascend,
    Descend,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Put {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "base64")]
    pub(crate) value: Vec<u8>,
    #[serde(with = "int64")]
    pub(crate) lease: i64,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct DeleteRange {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "base64")]
    pub(crate) range_end: Vec<u8>,
}

/// One step of a transaction; just one field is set.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Operation {
    #[serde(alias = "requestRange")]
    pub(crate) request_range: Option<Range>,
    #[serde(alias = "requestPut")]
    pub(crate) request_put: Option<Put>,
    #[serde(alias = "requestDeleteRange")]
    pub(crate) request_delete_range: Option<DeleteRange>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Txn {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    pub(crate) failure: Vec<Operation>,
}

/// Body of the three lease calls.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Lease {
    #[serde(rename = "ID", with = "int64")]
    pub(crate) id: i64,
    #[serde(rename = "TTL", with = "int64")]
    pub(crate) ttl: i64,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Watch {
    pub(crate) create_request: Create,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Create {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "base64")]
    pub(crate) range_end: Vec<u8>,
    #[serde(with = "int64")]
    pub(crate) start_revision: i64,
    /// Accepted and not heeded.
    #[serde(rename = "progress_notify")]
    pub(crate) _progress_notify: bool,
}

/// One key with its value and history marks.
#[derive(Clone, Default, Serialize)]
pub(crate) struct Kv {
    #[serde(with = "base64", skip_serializing_if = "Vec::is_empty")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) create_revision: i64,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) mod_revision: i64,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) version: i64,
    #[serde(with = "base64", skip_serializing_if = "Vec::is_empty")]
    pub(crate) value: Vec<u8>,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) lease: i64,
}

/// Kind of a change; a put is the default and left out.
#[derive(Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum Kind {
    Put,
    Delete,
}

impl Kind {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

#[derive(Clone, Serialize)]
pub(crate) struct Event {
    #[serde(rename = "type", skip_serializing_if = "Kind::is_put")]
    pub(crate) kind: Kind,
    pub(crate) kv: Kv,
}

#[derive(Clone, Copy, Serialize)]
pub(crate) struct Header {
    #[serde(with = "int64")]
    pub(crate) cluster_id: i64,
    #[serde(with = "int64")]
    pub(crate) member_id: i64,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) revision: i64,
    #[serde(with = "int64")]
    pub(crate) raft_term: i64,
}

#[derive(Serialize)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) kvs: Vec<Kv>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) more: bool,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) count: i64,
}

#[derive(Serialize)]
pub(crate) struct PutResponse {
    pub(crate) header: Header,
}

#[derive(Serialize)]
pub(crate) struct DeleteRangeResponse {
    pub(crate) header: Header,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) deleted: i64,
}

#[derive(Serialize)]
pub(crate) enum OperationResponse {
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

#[derive(Serialize)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) responses: Vec<OperationResponse>,
}

/// Answer of the three lease calls; a lease that is gone has no time to live.
#[derive(Serialize)]
pub(crate) struct LeaseResponse {
    pub(crate) header: Header,
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) id: i64,
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) ttl: i64,
}

#[derive(Serialize)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) created: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) events: Vec<Event>,
}

/// One line of a streamed answer.
#[derive(Serialize)]
pub(crate) struct Line<T> {
    pub(crate) result: T,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the shape that serde asks for"
)]
fn is_zero(number: &i64) -> bool {
    *number == 0
}

/// 64-bit numbers: written as strings, read as strings or numbers.
mod int64 {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Number(i64),
        Text(String),
    }

    pub(super) fn serialize<S: Serializer>(number: &i64, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(number)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<i64, D::Error> {
        match Either::deserialize(from)? {
            Either::Number(number) => Ok(number),
            Either::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}

/// Bytes as padded standard base64.
mod base64 {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
