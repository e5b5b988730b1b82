//! Responses of the etcd v3 JSON gateway.
//!
//! Keys and values are encoded in base64, 64-bit numbers as strings, and fields
//! with their default value are omitted. Input is untrusted: for any bytes,
//! decoding returns a value or an error, and never panics.

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

/// Result of decoding; the error says why the bytes are invalid.
pub type DecodeResult<T> = Result<T, String>;

/// Summary of a prefix, without its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Revision of the store.
    pub revision: u64,
    /// Greatest `mod_revision` under the prefix; 0 if the prefix is empty.
    pub latest_mod_revision: u64,
    /// Number of keys under the prefix.
    pub count: u64,
}

/// One message of a watch stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Changes, oldest first; empty in the message that confirms the watch.
    Changes(Vec<Change>),
    /// The platform has cancelled the watch; the reason.
    Cancelled(String),
}

/// Deserializes a 64-bit number from a string or a JSON number.
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

/// Deserializes the remaining seconds of a lease; -1, for an expired lease, is
/// read as 0.
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
    /// Keys of other writers may not be UTF-8. Such a key is converted lossily,
    /// as no reader uses it; an error would discard the whole response.
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
struct RangeResponse {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<KeyValue>,
    #[serde(default, deserialize_with = "number")]
    count: u64,
}

impl RangeResponse {
    fn entries(self) -> DecodeResult<Vec<Entry>> {
        self.kvs.into_iter().map(KeyValue::entry).collect()
    }
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> DecodeResult<T> {
    serde_json::from_slice(bytes).map_err(|e| e.to_string())
}

/// Decodes the response to a range request.
///
/// # Errors
///
/// Fails if the bytes are not such a response; the error says why.
pub fn listing(bytes: &[u8]) -> DecodeResult<Listing> {
    let response: RangeResponse = parse(bytes)?;
    let revision = store_revision(&response.header)?;
    Ok(Listing {
        entries: response.entries()?,
        revision,
    })
}

/// Decodes the response to a probe.
///
/// # Errors
///
/// Fails if the bytes are not such a response; the error says why.
pub fn probe(bytes: &[u8]) -> DecodeResult<Probe> {
    let response: RangeResponse = parse(bytes)?;
    Ok(Probe {
        revision: store_revision(&response.header)?,
        latest_mod_revision: response
            .kvs
            .iter()
            .map(|kv| kv.mod_revision)
            .max()
            .unwrap_or(0),
        count: response.count,
    })
}

/// Returns the store revision in the header.
///
/// Store revisions start at 1, so a response without one is not from a store: an
/// empty object from a proxy must not be taken for an empty prefix.
fn store_revision(header: &Header) -> DecodeResult<u64> {
    match header.revision {
        0 => Err("no store revision in the header".to_owned()),
        revision => Ok(revision),
    }
}

/// Decodes the response to a compare-and-swap or compare-and-delete.
///
/// # Errors
///
/// Fails if the bytes are not such a response; the error says why.
pub fn swap_outcome(bytes: &[u8]) -> DecodeResult<SwapOutcome> {
    #[derive(Deserialize)]
    struct Item {
        response_range: Option<RangeResponse>,
    }
    #[derive(Deserialize)]
    struct Response {
        #[serde(default)]
        header: Header,
        #[serde(default)]
        succeeded: bool,
        #[serde(default)]
        responses: Vec<Item>,
    }
    let response: Response = parse(bytes)?;
    let revision = store_revision(&response.header)?;
    if response.succeeded {
        return Ok(SwapOutcome::Done(revision));
    }
    let range = response
        .responses
        .into_iter()
        .find_map(|item| item.response_range)
        .ok_or("no range among the responses")?;
    Ok(SwapOutcome::Lost(range.entries()?.into_iter().next()))
}

/// Decodes the response to a deletion: whether a key was deleted.
///
/// # Errors
///
/// Fails if the bytes are not such a response; the error says why.
pub fn deletion(bytes: &[u8]) -> DecodeResult<bool> {
    #[derive(Deserialize)]
    struct Response {
        #[serde(default)]
        header: Header,
        #[serde(default, deserialize_with = "number")]
        deleted: u64,
    }
    let response: Response = parse(bytes)?;
    store_revision(&response.header)?;
    Ok(response.deleted > 0)
}

/// Decodes the response to a lease grant.
///
/// # Errors
///
/// Fails if the bytes are not such a response; the error says why.
pub fn grant(bytes: &[u8]) -> DecodeResult<Lease> {
    #[derive(Deserialize)]
    struct Response {
        #[serde(rename = "ID", deserialize_with = "number")]
        id: u64,
    }
    parse::<Response>(bytes).map(|response| Lease(response.id))
}

/// Decodes the first response to a lease keepalive: the remaining seconds, 0 if
/// the lease has expired.
///
/// # Errors
///
/// Fails if the bytes are not such a response; the error says why.
pub fn keepalive(bytes: &[u8]) -> DecodeResult<u64> {
    #[derive(Deserialize)]
    struct KeepaliveResult {
        #[serde(rename = "ID", deserialize_with = "number")]
        _id: u64,
        #[serde(rename = "TTL", default, deserialize_with = "seconds")]
        ttl: u64,
    }
    #[derive(Deserialize)]
    struct Response {
        result: KeepaliveResult,
    }
    let first = bytes.split(|b| *b == b'\n').next().unwrap_or_default();
    parse::<Response>(first).map(|response| response.result.ttl)
}

/// Decodes the response to a lease revocation.
///
/// # Errors
///
/// Fails if the bytes are not such a response; the error says why.
pub fn revocation(bytes: &[u8]) -> DecodeResult<()> {
    #[derive(Deserialize)]
    struct Response {
        #[expect(
            dead_code,
            reason = "deserialized only to check that the field is present"
        )]
        header: Header,
    }
    parse::<Response>(bytes).map(|_| ())
}

#[derive(Deserialize)]
struct EventMessage {
    #[serde(rename = "type", default)]
    kind: Option<String>,
    kv: KeyValue,
}

impl EventMessage {
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

/// Decodes one line of a watch stream.
///
/// # Errors
///
/// Fails if the line is not such a message; the error says why.
pub fn event(line: &[u8]) -> DecodeResult<Event> {
    #[derive(Deserialize)]
    struct WatchResult {
        #[serde(default)]
        canceled: bool,
        #[serde(default)]
        cancel_reason: String,
        #[serde(default)]
        events: Vec<EventMessage>,
    }
    #[derive(Deserialize)]
    struct Line {
        result: Option<WatchResult>,
        error: Option<Value>,
    }
    let line: Line = parse(line)?;
    if let Some(error) = line.error {
        return Ok(Event::Cancelled(error.to_string()));
    }
    let watch_result = line.result.ok_or("neither result nor error")?;
    if watch_result.canceled {
        return Ok(Event::Cancelled(watch_result.cancel_reason));
    }
    let changes: DecodeResult<Vec<Change>> = watch_result
        .events
        .into_iter()
        .map(EventMessage::change)
        .collect();
    changes.map(Event::Changes)
}

/// The message of an error response, or the first characters of its body if it
/// has none.
pub(crate) fn error_message(bytes: &[u8]) -> String {
    const MAX_CHARS: usize = 200;
    #[derive(Deserialize)]
    struct Response {
        message: String,
    }
    parse::<Response>(bytes)
        .map(|response| response.message)
        .unwrap_or_else(|_| String::from_utf8_lossy(bytes).into_owned())
        .chars()
        .take(MAX_CHARS)
        .collect()
}
