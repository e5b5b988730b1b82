//! Orders to drain an instance or a backend server or to evacuate a zone, and their
//! cancellation.
//!
//! An order is a key that exists or not; it has no revisions. Repeating an order
//! that is already in force changes nothing and is not an error.

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

/// Stored value of a drain order: the operator who gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainOrder {
    /// The operator.
    pub operator: id::Operator,
    /// Random identifier of this write.
    pub write_id: String,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The drain order is stored, or deleted if it was to be cancelled.
    Accepted,
    /// Another operator's order was accepted first and is in force instead of ours.
    Refused,
    /// It is not known whether the order took effect or still will.
    Unknown,
}

/// An order and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Drain {
    /// The key, as in `drain/servers/NAME` or `drain/zones/NAME`.
    pub document: String,
    /// Whether the order cancels a drain order.
    pub undo: bool,
    /// Outcome of the order.
    pub outcome: Outcome,
    /// The drain order in force, if there is one and it can be decoded.
    pub wish: Option<DrainOrder>,
    /// Further remarks for the operator.
    pub notes: Vec<String>,
}

/// Orders an instance to drain, or cancels that order.
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
    set_listed_order(
        client,
        operator,
        &path::instance_drain(name),
        &subject,
        undo,
    )
    .await
}

/// Orders a backend server to drain, or cancels that order.
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
    set_listed_order(client, operator, &path::server_drain(name), &subject, undo).await
}

/// Orders a zone to be evacuated, so that its servers get no new work, or cancels that
/// order.
///
/// # Errors
///
/// After an error nothing was written and nothing will be. [`Error::Unknown`] when
/// no server of the zone is listed, unless the order is cancelled.
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
    set_order(client, operator, &key, undo).await
}

/// Fails if no listed server is in the zone: an order for a misspelt zone must not be
/// reported as an evacuation.
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

async fn set_listed_order(
    client: &Client,
    operator: &id::Operator,
    key: &str,
    subject: &str,
    undo: bool,
) -> Result<Drain> {
    let subject_listed = client.get(subject).await?.is_some();
    let mut drain = set_order(client, operator, key, undo).await?;
    // The lists lag, so a name that is not listed yet is accepted. Without the note, an
    // order for a misspelt name would be reported like a working drain.
    if !subject_listed && !undo {
        drain.notes.push(format!("{subject} is not listed now"));
    }
    Ok(drain)
}

/// Creates the key of the drain order, or deletes it.
async fn set_order(
    client: &Client,
    operator: &id::Operator,
    key: &str,
    undo: bool,
) -> Result<Drain> {
    let current = client.get(key).await?;
    match (undo, current) {
        (true, Some(entry)) => delete_order(client, key, &entry).await,
        (true, None) => Ok(drain_result(key, true, Outcome::Accepted, None)),
        (false, Some(entry)) => Ok(drain_result(key, false, Outcome::Accepted, Some(&entry))),
        (false, None) => create_order(client, operator, key).await,
    }
}

async fn create_order(client: &Client, operator: &id::Operator, key: &str) -> Result<Drain> {
    let order = DrainOrder {
        operator: operator.clone(),
        write_id: command::write_id(),
    };
    let value = change::encode(key, &order)?;
    let resolved = client
        .compare_and_swap_resolved(key, None, &value, None)
        .await?;
    Ok(match resolved {
        ResolvedWrite::Done(_) => Drain {
            wish: Some(order),
            ..drain_result(key, false, Outcome::Accepted, None)
        },
        // Another operator gave the same order first, which has the effect intended.
        ResolvedWrite::Lost(Some(entry)) | ResolvedWrite::Superseded(Some(entry)) => {
            drain_result(key, false, Outcome::Accepted, Some(&entry))
        }
        ResolvedWrite::Lost(None) => drain_result(key, false, Outcome::Refused, None),
        ResolvedWrite::Superseded(None) | ResolvedWrite::Unknown => {
            drain_result(key, false, Outcome::Unknown, None)
        }
    })
}

/// Deletes the drain order that was read, and no later one: a delayed delete would
/// otherwise cancel an order that another operator has given since.
async fn delete_order(client: &Client, key: &str, seen: &Entry) -> Result<Drain> {
    let resolved = client
        .compare_and_delete_resolved(key, seen.mod_revision)
        .await?;
    Ok(match resolved {
        ResolvedWrite::Done(_) | ResolvedWrite::Lost(None) | ResolvedWrite::Superseded(None) => {
            drain_result(key, true, Outcome::Accepted, None)
        }
        ResolvedWrite::Lost(Some(entry)) | ResolvedWrite::Superseded(Some(entry)) => {
            drain_result(key, true, Outcome::Refused, Some(&entry))
        }
        ResolvedWrite::Unknown => drain_result(key, true, Outcome::Unknown, None),
    })
}

fn drain_result(key: &str, undo: bool, outcome: Outcome, entry: Option<&Entry>) -> Drain {
    Drain {
        document: path::document(key).to_owned(),
        undo,
        outcome,
        wish: entry.and_then(|entry| serde_json::from_slice(&entry.value).ok()),
        notes: Vec::new(),
    }
}
