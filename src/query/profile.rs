//! Queries for profiles: stored, earlier revisions, and differences from a file.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use crate::document;
use crate::document::Envelope;
use crate::error::Result;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::query::stored;
use crate::query::stored::ListedDocument;

/// A profile's envelope.
pub type Profile = Envelope<document::Profile>;

/// One field in which two profiles differ.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the field, joined by dots.
    pub field: String,
    /// Its value in the platform.
    pub stored: Value,
    /// Its value in the file.
    pub file: Value,
}

/// Differences between a stored profile and a file.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Diff {
    /// Name of the profile.
    pub name: id::Profile,
    /// Revision of the stored profile.
    pub revision: id::Revision,
    /// Operator who wrote that revision.
    pub operator: id::Operator,
    /// The fields that differ.
    pub differences: Vec<Difference>,
}

/// Reads one profile.
///
/// # Errors
///
/// Fails as [`stored::require`] does.
pub async fn get(client: &Client, name: &id::Profile) -> Result<Profile> {
    let stored = stored::require(client, &path::profile(name)).await?;
    Ok(stored.envelope)
}

/// Reads all profiles.
///
/// # Errors
///
/// Fails when the platform gives no answer.
pub async fn list(client: &Client) -> Result<Vec<ListedDocument<document::Profile>>> {
    stored::list(client, path::PROFILES).await
}

/// Reads the history of a profile, newest revision first.
///
/// # Errors
///
/// Fails when the platform gives no answer.
pub async fn history(
    client: &Client,
    name: &id::Profile,
) -> Result<Vec<ListedDocument<document::Profile>>> {
    let mut revisions = stored::list(client, &path::history(name)).await?;
    revisions.sort_by_key(|listed| std::cmp::Reverse(listed.name.parse::<u64>().unwrap_or(0)));
    Ok(revisions)
}

/// Compares a file's profile with the stored one.
///
/// # Errors
///
/// Fails as [`get`] does.
pub async fn diff(client: &Client, name: &id::Profile, file: &document::Profile) -> Result<Diff> {
    let stored = get(client, name).await?;
    Ok(Diff {
        name: name.clone(),
        revision: stored.revision,
        operator: stored.operator,
        differences: differences(&stored.body, file),
    })
}

fn differences(stored: &document::Profile, file: &document::Profile) -> Vec<Difference> {
    let stored = fields(stored);
    let mut file = fields(file);
    stored
        .into_iter()
        .map(|(field, stored)| Difference {
            file: file.remove(&field).unwrap_or_default(),
            field,
            stored,
        })
        .filter(|difference| difference.stored != difference.file)
        .collect()
}

/// Every field of a document, by its path joined by dots.
pub(crate) fn fields(document: &impl Serialize) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    // A document is plain data, whose conversion to JSON cannot fail.
    let value = serde_json::to_value(document).unwrap_or_default();
    flatten("", value, &mut fields);
    fields
}

fn flatten(path: &str, value: Value, fields: &mut BTreeMap<String, Value>) {
    let Value::Object(object) = value else {
        fields.insert(path.to_owned(), value);
        return;
    };
    for (name, value) in object {
        let path = match path {
            "" => name,
            path => format!("{path}.{name}"),
        };
        flatten(&path, value, fields);
    }
}
