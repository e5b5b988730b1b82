//! Request bodies of the etcd v3 JSON gateway.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Serialize;
use serde::Serializer;

use crate::platform::Lease;

/// Body of a request to the gateway.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum Body {
    Range(Range),
    Txn(Txn),
    Grant(Grant),
    Renew(Renew),
    Watch(Watch),
}

/// A key or value, serialized in base64.
#[derive(Clone, Debug)]
pub(crate) struct Base64(Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

/// 64-bit number, serialized as a string: JSON parsers may lose precision on
/// large plain numbers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Number(u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct Range {
    key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<Base64>,
    #[serde(flatten)]
    selection: Option<Selection>,
}

/// Limit and order of the keys returned for a range.
#[derive(Debug, Serialize)]
struct Selection {
    limit: Number,
    sort_target: &'static str,
    sort_order: &'static str,
    keys_only: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct Txn {
    compare: [Compare; 1],
    success: [Success; 1],
    failure: [Failure; 1],
}

#[derive(Debug, Serialize)]
struct Compare {
    key: Base64,
    target: &'static str,
    result: &'static str,
    mod_revision: Number,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Success {
    Write { request_put: Put },
    Delete { request_delete_range: Range },
}

#[derive(Debug, Serialize)]
struct Put {
    key: Base64,
    value: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<Number>,
}

#[derive(Debug, Serialize)]
struct Failure {
    request_range: Range,
}

#[derive(Debug, Serialize)]
pub(crate) struct Grant {
    #[serde(rename = "TTL")]
    ttl: Number,
}

#[derive(Debug, Serialize)]
pub(crate) struct Renew {
    #[serde(rename = "ID")]
    id: Number,
}

#[derive(Debug, Serialize)]
pub(crate) struct Watch {
    create_request: Create,
}

#[derive(Debug, Serialize)]
struct Create {
    key: Base64,
    range_end: Base64,
    start_revision: Number,
}

fn base64(bytes: &[u8]) -> Base64 {
    Base64(bytes.to_vec())
}

/// First key after all keys that have the prefix; `\0` means "no end".
fn range_end(prefix: &str) -> Base64 {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64(end);
        }
    }
    Base64(vec![0])
}

/// Request for one key, to read or to delete it.
pub(crate) fn single_key_request(key: &str) -> Body {
    Body::Range(single_key(key))
}

fn single_key(key: &str) -> Range {
    Range {
        key: base64(key.as_bytes()),
        range_end: None,
        selection: None,
    }
}

/// Request for all keys of a prefix.
pub(crate) fn list_request(prefix: &str) -> Body {
    Body::Range(Range {
        key: base64(prefix.as_bytes()),
        range_end: Some(range_end(prefix)),
        selection: None,
    })
}

/// Request for the most recently written key of a prefix, without its value.
pub(crate) fn probe_request(prefix: &str) -> Body {
    Body::Range(Range {
        key: base64(prefix.as_bytes()),
        range_end: Some(range_end(prefix)),
        selection: Some(Selection {
            limit: Number(1),
            sort_target: "MOD",
            sort_order: "DESCEND",
            keys_only: true,
        }),
    })
}

/// A compare-and-swap that returns the current entry if the comparison fails.
pub(crate) fn compare_and_swap(
    key: &str,
    expected: Option<u64>,
    value: &[u8],
    lease: Option<Lease>,
) -> Body {
    let compare = Compare {
        key: base64(key.as_bytes()),
        target: "MOD",
        result: "EQUAL",
        // A key that does not exist compares as revision 0.
        mod_revision: Number(expected.unwrap_or(0)),
    };
    let put = Put {
        key: base64(key.as_bytes()),
        value: base64(value),
        lease: lease.map(|lease| Number(lease.0)),
    };
    Body::Txn(Txn {
        compare: [compare],
        success: [Success::Write { request_put: put }],
        failure: [Failure {
            request_range: single_key(key),
        }],
    })
}

/// Deletes a key if its `mod_revision` is `expected`; returns the current entry
/// otherwise.
pub(crate) fn compare_and_delete(key: &str, expected: u64) -> Body {
    let compare = Compare {
        key: base64(key.as_bytes()),
        target: "MOD",
        result: "EQUAL",
        mod_revision: Number(expected),
    };
    Body::Txn(Txn {
        compare: [compare],
        success: [Success::Delete {
            request_delete_range: single_key(key),
        }],
        failure: [Failure {
            request_range: single_key(key),
        }],
    })
}

/// Request to grant a lease with this time to live.
pub(crate) fn grant_request(seconds: u64) -> Body {
    Body::Grant(Grant {
        ttl: Number(seconds),
    })
}

/// Request to renew or revoke a lease.
pub(crate) fn lease_request(lease: Lease) -> Body {
    Body::Renew(Renew {
        id: Number(lease.0),
    })
}

/// Request to watch a prefix, starting at `from_revision`.
pub(crate) fn watch_request(prefix: &str, from_revision: u64) -> Body {
    Body::Watch(Watch {
        create_request: Create {
            key: base64(prefix.as_bytes()),
            range_end: range_end(prefix),
            start_revision: Number(from_revision),
        },
    })
}
