//! Answers of the etcd v3 JSON gateway.
//!
//! Keys and values travel in base64, 64-bit numbers as strings, and fields that
//! have their default value are left out. Decoding trusts nothing: whatever the
//! bytes, the outcome is a message or a reason why there is none.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde_json::Value;

use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::Lease;
use crate::platform::Listing;
use crate::platform::SwapOutcome;

/// Outcome of decoding; the error says why the bytes were refused.
pub type DecodeResult<T> = Result<T, String>;

/// What a probe tells about a prefix without naming its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Revision of the store.
    pub revision: u64,
    /// Greatest `mod_revision` under the prefix, 0 when it is empty.
    pub newest: u64,
    /// Number of keys under the prefix.
    pub count: u64,
}

/// One line of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Changed keys, oldest first; none when the watch was just created.
    Changes(Vec<Change>),
    /// The platform has ended the watch.
    Cancelled(String),
}

/// A 64-bit number, written as a string or plainly.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Plain(u64),
        Text(String),
    }
    match Number::deserialize(deserializer)? {
        Number::Plain(number) => Ok(number),
        Number::Text(text) => text.parse().map_err(serde::de::Error::custom),
    }
}

/// Remaining time of a lease, which is -1 for one that is gone.
fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Seconds {
        Plain(i64),
        Text(String),
    }
    let seconds = match Seconds::deserialize(deserializer)? {
        Seconds::Plain(seconds) => seconds,
        Seconds::Text(text) => text.parse().map_err(serde::de::Error::custom)?,
    };
    Ok(u64::try_from(seconds).unwrap_or(0))
}

#[derive(Deserialize, Default)]
struct Header {
    #[serde(default, deserialize_with = "number")]
    revision: u64,
}

#[derive(Deserialize)]
struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "number")]
    mod_revision: u64,
}

impl KeyValue {
    /// Keys of others need not be text; a lossy key is one that nobody reads,
    /// while refusing it would blind us to all its neighbours.
    fn key(&self) -> DecodeResult<String> {
        let bytes = STANDARD.decode(&self.key).map_err(|e| e.to_string())?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    fn entry(self) -> DecodeResult<Entry> {
        let key = self.key()?;
        let value = STANDARD.decode(&self.value).map_err(|e| e.to_string())?;
        Ok(Entry {
            key,
            value: Bytes::from(value),
            mod_revision: self.mod_revision,
        })
    }
}

#[derive(Deserialize, Default)]
struct RangeAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<KeyValue>,
    #[serde(default, deserialize_with = "number")]
    count: u64,
}

impl RangeAnswer {
    fn entries(self) -> DecodeResult<Vec<Entry>> {
        self.kvs.into_iter().map(KeyValue::entry).collect()
    }
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> DecodeResult<T> {
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}

/// Reads the answer to a range of keys.
///
/// # Errors
///
/// Says why the bytes are no such answer.
pub fn listing(bytes: &[u8]) -> DecodeResult<Listing> {
    let answer: RangeAnswer = parse(bytes)?;
    let revision = known_revision(&answer.header)?;
    Ok(Listing {
        entries: answer.entries()?,
        revision,
    })
}

/// Reads the answer to a probe.
///
/// # Errors
///
/// Says why the bytes are no such answer.
pub fn probe(bytes: &[u8]) -> DecodeResult<Probe> {
    let answer: RangeAnswer = parse(bytes)?;
    Ok(Probe {
        revision: known_revision(&answer.header)?,
        newest: answer
            .kvs
            .iter()
            .map(|kv| kv.mod_revision)
            .max()
            .unwrap_or(0),
        count: answer.count,
    })
}

/// A store's revision starts at 1, so that an answer without one is no answer
/// of a store: an empty object from a proxy must not look like an empty prefix.
fn known_revision(header: &Header) -> DecodeResult<u64> {
    match header.revision {
        0 => Err("no store revision in the header".to_owned()),
        revision => Ok(revision),
    }
}

/// Reads the answer to a compare-and-swap.
///
/// # Errors
///
/// Says why the bytes are no such answer.
pub fn swap(bytes: &[u8]) -> DecodeResult<SwapOutcome> {
    #[derive(Deserialize)]
    struct Item {
        response_range: Option<RangeAnswer>,
    }
    #[derive(Deserialize)]
    struct Answer {
        #[serde(default)]
        header: Header,
        #[serde(default)]
        succeeded: bool,
        #[serde(default)]
        responses: Vec<Item>,
    }
    let answer: Answer = parse(bytes)?;
    let revision = known_revision(&answer.header)?;
    if answer.succeeded {
        return Ok(SwapOutcome::Done(revision));
    }
    let range = answer
        .responses
        .into_iter()
        .find_map(|item| item.response_range)
        .ok_or("no range among the responses")?;
    Ok(SwapOutcome::Lost(range.entries()?.into_iter().next()))
}

/// Reads the answer to a deletion: whether there was something to delete.
///
/// # Errors
///
/// Says why the bytes are no such answer.
pub fn deletion(bytes: &[u8]) -> DecodeResult<bool> {
    #[derive(Deserialize)]
    struct Answer {
        #[serde(default)]
        header: Header,
        #[serde(default, deserialize_with = "number")]
        deleted: u64,
    }
    let answer: Answer = parse(bytes)?;
    known_revision(&answer.header)?;
    Ok(answer.deleted > 0)
}

/// Reads the answer to the granting of a lease.
///
/// # Errors
///
/// Says why the bytes are no such answer.
pub fn grant(bytes: &[u8]) -> DecodeResult<Lease> {
    #[derive(Deserialize)]
    struct Answer {
        #[serde(rename = "ID", deserialize_with = "number")]
        id: u64,
    }
    parse::<Answer>(bytes).map(|answer| Lease(answer.id))
}

/// Reads the first answer to a lease's keepalive: the seconds that remain, 0
/// when the lease is gone.
///
/// # Errors
///
/// Says why the bytes are no such answer.
pub fn keepalive(bytes: &[u8]) -> DecodeResult<u64> {
    #[derive(Deserialize)]
    struct Renewal {
        #[serde(rename = "ID", deserialize_with = "number")]
        _id: u64,
        #[serde(rename = "TTL", default, deserialize_with = "seconds")]
        ttl: u64,
    }
    #[derive(Deserialize)]
    struct Answer {
        result: Renewal,
    }
    let first = bytes.split(|b| *b == b'\n').next().unwrap_or_default();
    parse::<Answer>(first).map(|answer| answer.result.ttl)
}

/// Reads the answer to a lease's revocation.
///
/// # Errors
///
/// Says why the bytes are no such answer.
pub fn revocation(bytes: &[u8]) -> DecodeResult<()> {
    #[derive(Deserialize)]
    struct Answer {
        #[expect(dead_code, reason = "read only to check the shape")]
        header: Header,
    }
    parse::<Answer>(bytes).map(|_| ())
}

#[derive(Deserialize)]
struct EventAnswer {
    #[serde(rename = "type", default)]
    kind: Option<String>,
    kv: KeyValue,
}

impl EventAnswer {
    fn change(self) -> DecodeResult<Change> {
        match self.kind.as_deref() {
            None | Some("PUT") => self.kv.entry().map(Change::Put),
            Some("DELETE") => Ok(Change::Delete {
                key: self.kv.key()?,
                mod_revision: self.kv.mod_revision,
            }),
            Some(other) => Err(format!("unknown event type {other:?}")),
        }
    }
}

/// Reads one line of a watch.
///
/// # Errors
///
/// Says why the line is no such message.
pub fn event(line: &[u8]) -> DecodeResult<Event> {
    #[derive(Deserialize)]
    struct Watched {
        #[serde(default)]
        canceled: bool,
        #[serde(default)]
        cancel_reason: String,
        #[serde(default)]
        events: Vec<EventAnswer>,
    }
    #[derive(Deserialize)]
    struct Line {
        result: Option<Watched>,
        error: Option<Value>,
    }
    let line: Line = parse(line)?;
    if let Some(error) = line.error {
        return Ok(Event::Cancelled(error.to_string()));
    }
    let watched = line.result.ok_or("neither result nor error")?;
    if watched.canceled {
        return Ok(Event::Cancelled(watched.cancel_reason));
    }
    let changes: DecodeResult<Vec<Change>> = watched
        .events
        .into_iter()
        .map(EventAnswer::change)
        .collect();
    changes.map(Event::Changes)
}

/// The reason in an answer that refuses a call, or its first bytes.
pub(crate) fn refusal(bytes: &[u8]) -> String {
    const LONGEST: usize = 200;
    #[derive(Deserialize)]
    struct Answer {
        message: String,
    }
    parse::<Answer>(bytes)
        .map(|answer| answer.message)
        .unwrap_or_else(|_| String::from_utf8_lossy(bytes).into_owned())
        .chars()
        .take(LONGEST)
        .collect()
}
