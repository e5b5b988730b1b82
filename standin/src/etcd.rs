//! Request and response bodies of the etcd v3 JSON gateway, limited to the fields in
//! use.
//!
//! The gateway encodes 64-bit numbers as strings and bytes as base64, and omits
//! fields that are zero or empty. Unknown request fields are rejected, so that a
//! misspelt one is detected.

use serde::Deserialize;
use serde::Serialize;

/// Field of a key that a comparison tests.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

/// Relation that must hold between the stored field and the given one.
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
    /// Accepted and ignored, as is `_serializable`.
    #[serde(with = "int64", rename = "revision")]
    pub(crate) _revision: i64,
    #[serde(rename = "serializable")]
    pub(crate) _serializable: bool,
    pub(crate) sort_target: SortTarget,
    pub(crate) sort_order: SortOrder,
    /// Whether the values are left out of the response.
    pub(crate) keys_only: bool,
}

/// Field that a range is sorted by; the other sort fields of etcd are rejected.
#[derive(Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum SortTarget {
    #[default]
    Key,
    Mod,
}

/// Sort order of a range; `None` is ascending.
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

/// An operation of a transaction; exactly one field is set.
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

/// Request body of the three lease calls.
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
    /// Accepted and ignored.
    #[serde(rename = "progress_notify")]
    pub(crate) _progress_notify: bool,
}

/// A key with its value, revisions, version and lease.
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

/// Kind of a change; the default, a put, is omitted from the JSON.
#[derive(Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    Put,
    Delete,
}

impl EventKind {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

#[derive(Clone, Serialize)]
pub(crate) struct Event {
    #[serde(rename = "type", skip_serializing_if = "EventKind::is_put")]
    pub(crate) kind: EventKind,
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

/// Response of the three lease calls; for an expired lease the time to live is omitted.
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

/// A line of a streamed response.
#[derive(Serialize)]
pub(crate) struct StreamLine<T> {
    pub(crate) result: T,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde requires this signature"
)]
fn is_zero(number: &i64) -> bool {
    *number == 0
}

/// 64-bit numbers: serialized as strings, deserialized from strings or numbers.
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
