//! Requests to the etcd v3 JSON gateway.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Serialize;
use serde::Serializer;

use crate::platform::Lease;

/// Body of a request.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum Body {
    Range(Range),
    Txn(Txn),
    Grant(Grant),
    Renew(Renew),
    Watch(Watch),
}

/// Key or value, in base64.
#[derive(Clone, Debug)]
pub(crate) struct Data(Vec<u8>);

impl Serialize for Data {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

/// 64-bit number, which JSON's readers take exactly only as text.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Number(u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct Range {
    key: Data,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<Data>,
    #[serde(flatten)]
    selection: Option<Selection>,
}

/// Which keys of a range are answered, and how.
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
    key: Data,
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
    key: Data,
    value: Data,
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
    key: Data,
    range_end: Data,
    start_revision: Number,
}

fn data(bytes: &[u8]) -> Data {
    Data(bytes.to_vec())
}

/// First key after all keys that have the prefix; `\0` stands for "no end".
fn range_end(prefix: &str) -> Data {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Data(end);
        }
    }
    Data(vec![0])
}

/// One key; a deletion has the same form.
pub(crate) fn key(key: &str) -> Body {
    Body::Range(one(key))
}

fn one(key: &str) -> Range {
    Range {
        key: data(key.as_bytes()),
        range_end: None,
        selection: None,
    }
}

/// All keys of a prefix.
pub(crate) fn list(prefix: &str) -> Body {
    Body::Range(Range {
        key: data(prefix.as_bytes()),
        range_end: Some(range_end(prefix)),
        selection: None,
    })
}

/// The key of a prefix that was written last, without its value.
pub(crate) fn probe(prefix: &str) -> Body {
    Body::Range(Range {
        key: data(prefix.as_bytes()),
        range_end: Some(range_end(prefix)),
        selection: Some(Selection {
            limit: Number(1),
            sort_target: "MOD",
            sort_order: "DESCEND",
            keys_only: true,
        }),
    })
}

/// A compare-and-swap that shows the key when it fails.
pub(crate) fn swap(key: &str, expected: Option<u64>, value: &[u8], lease: Option<Lease>) -> Body {
    let compare = Compare {
        key: data(key.as_bytes()),
        target: "MOD",
        result: "EQUAL",
        // A key that does not exist compares as revision 0.
        mod_revision: Number(expected.unwrap_or(0)),
    };
    let put = Put {
        key: data(key.as_bytes()),
        value: data(value),
        lease: lease.map(|lease| Number(lease.0)),
    };
    Body::Txn(Txn {
        compare: [compare],
        success: [Success::Write { request_put: put }],
        failure: [Failure {
            request_range: one(key),
        }],
    })
}

/// Deletes a key if it was last written at this revision; shows it otherwise.
pub(crate) fn erase(key: &str, expected: u64) -> Body {
    let compare = Compare {
        key: data(key.as_bytes()),
        target: "MOD",
        result: "EQUAL",
        mod_revision: Number(expected),
    };
    Body::Txn(Txn {
        compare: [compare],
        success: [Success::Delete {
            request_delete_range: one(key),
        }],
        failure: [Failure {
            request_range: one(key),
        }],
    })
}

/// A lease for so many seconds.
pub(crate) fn grant(seconds: u64) -> Body {
    Body::Grant(Grant {
        ttl: Number(seconds),
    })
}

/// A lease to be renewed or revoked.
pub(crate) fn lease(lease: Lease) -> Body {
    Body::Renew(Renew {
        id: Number(lease.0),
    })
}

/// Changes of a prefix from a revision on.
pub(crate) fn watch(prefix: &str, from_revision: u64) -> Body {
    Body::Watch(Watch {
        create_request: Create {
            key: data(prefix.as_bytes()),
            range_end: range_end(prefix),
            start_revision: Number(from_revision),
        },
    })
}
