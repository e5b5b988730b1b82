//! Wishing that an instance, a backend server or a zone's servers leave, and taking
//! that back.
//!
//! A wish is a key that is there or not; it has no revisions. Wishing for what is
//! wished already changes nothing and is no error.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::command;
use crate::command::change;
use crate::document;
use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::platform::Entry;
use crate::platform::ResolvedWrite;

/// Who wishes that something leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wish {
    /// The operator.
    pub operator: id::Operator,
    /// Random mark of this write.
    pub write_id: String,
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The wish stands, or is gone, as ordered.
    Accepted,
    /// Another operator's order came in between; it stands and ours does not.
    Refused,
    /// Whether the order took effect, or still will, is not known.
    Unknown,
}

/// An order and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Drain {
    /// The key, as in `drain/servers/NAME` or `drain/zones/NAME`.
    pub document: String,
    /// Whether the wish was to be taken back.
    pub undo: bool,
    /// What became of the order.
    pub outcome: Outcome,
    /// The wish that stands, if one does and it can be read.
    pub wish: Option<Wish>,
    /// What the operator should know besides.
    pub notes: Vec<String>,
}

/// Wishes that an instance leaves, or takes that back.
///
/// # Errors
///
/// After an error nothing was written and nothing will be.
pub async fn instance(
    client: &Client,
    operator: &id::Operator,
    name: &id::Instance,
    undo: bool,
) -> Result<Drain> {
    let subject = path::instance(name);
    order(
        client,
        operator,
        &path::instance_drain(name),
        &subject,
        undo,
    )
    .await
}

/// Wishes that a backend server leaves, or takes that back.
///
/// # Errors
///
/// After an error nothing was written and nothing will be.
pub async fn server(
    client: &Client,
    operator: &id::Operator,
    name: &id::Server,
    undo: bool,
) -> Result<Drain> {
    let subject = path::server(name);
    order(client, operator, &path::server_drain(name), &subject, undo).await
}

/// Orders that a zone's servers get no new work, or takes that back.
///
/// # Errors
///
/// After an error nothing was written and nothing will be. [`Error::Unknown`] when
/// no server of the zone is listed, unless the order is taken back.
pub async fn zone(
    client: &Client,
    operator: &id::Operator,
    name: &id::Zone,
    undo: bool,
) -> Result<Drain> {
    if !undo {
        check_zone(client, name).await?;
    }
    let key = path::evacuation(name);
    stand(client, operator, &key, undo).await
}

/// A slip of the pen must not look like a zone that is evacuated.
async fn check_zone(client: &Client, zone: &id::Zone) -> Result<()> {
    let listing = client.list(path::SERVERS).await?;
    let servers = listing.entries.iter();
    let zones = servers.filter_map(|entry| {
        let server: document::Server = serde_json::from_slice(&entry.value).ok()?;
        Some(server.zone)
    });
    let zones: BTreeSet<id::Zone> = zones.collect();
    if zones.contains(zone) {
        return Ok(());
    }
    let known: Vec<String> = zones.iter().map(ToString::to_string).collect();
    Err(Error::Unknown {
        kind: "zone",
        name: zone.to_string(),
        known: known.join(", "),
    })
}

async fn order(
    client: &Client,
    operator: &id::Operator,
    key: &str,
    subject: &str,
    undo: bool,
) -> Result<Drain> {
    let subject_listed = client.get(subject).await?.is_some();
    let mut drain = stand(client, operator, key, undo).await?;
    // The lists lag, so a name that is not there yet is taken, but a slip of the
    // pen must not look like a drain that works.
    if !subject_listed && !undo {
        drain.notes.push(format!("{subject} is not listed now"));
    }
    Ok(drain)
}

/// Makes the key stand, or not.
async fn stand(client: &Client, operator: &id::Operator, key: &str, undo: bool) -> Result<Drain> {
    let current = client.get(key).await?;
    match (undo, current) {
        (true, Some(entry)) => erase(client, key, &entry).await,
        (true, None) => Ok(drained(key, true, Outcome::Accepted, None)),
        (false, Some(entry)) => Ok(drained(key, false, Outcome::Accepted, Some(&entry))),
        (false, None) => write(client, operator, key).await,
    }
}

async fn write(client: &Client, operator: &id::Operator, key: &str) -> Result<Drain> {
    let wish = Wish {
        operator: operator.clone(),
        write_id: command::write_id(),
    };
    let value = change::encode(key, &wish)?;
    let resolved = client
        .compare_and_swap_resolved(key, None, &value, None)
        .await?;
    Ok(match resolved {
        ResolvedWrite::Done(_) => Drain {
            wish: Some(wish),
            ..drained(key, false, Outcome::Accepted, None)
        },
        // Another operator was first with the same wish, which is what was ordered.
        ResolvedWrite::Lost(Some(entry)) | ResolvedWrite::Superseded(Some(entry)) => {
            drained(key, false, Outcome::Accepted, Some(&entry))
        }
        ResolvedWrite::Lost(None) => drained(key, false, Outcome::Refused, None),
        ResolvedWrite::Superseded(None) | ResolvedWrite::Unknown => {
            drained(key, false, Outcome::Unknown, None)
        }
    })
}

/// Takes back the wish that was seen, and no later one: an order that was late
/// on its way would otherwise undo what another operator has wished since.
async fn erase(client: &Client, key: &str, seen: &Entry) -> Result<Drain> {
    let resolved = client
        .compare_and_delete_resolved(key, seen.mod_revision)
        .await?;
    Ok(match resolved {
        ResolvedWrite::Done(_) | ResolvedWrite::Lost(None) | ResolvedWrite::Superseded(None) => {
            drained(key, true, Outcome::Accepted, None)
        }
        ResolvedWrite::Lost(Some(entry)) | ResolvedWrite::Superseded(Some(entry)) => {
            drained(key, true, Outcome::Refused, Some(&entry))
        }
        ResolvedWrite::Unknown => drained(key, true, Outcome::Unknown, None),
    })
}

fn drained(key: &str, undo: bool, outcome: Outcome, entry: Option<&Entry>) -> Drain {
    Drain {
        document: path::document(key).to_owned(),
        undo,
        outcome,
        wish: entry.and_then(|entry| serde_json::from_slice(&entry.value).ok()),
        notes: Vec::new(),
    }
}
