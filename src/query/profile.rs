//! Profiles as they stand, as they stood, and against a file.

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
use crate::query::stored::Line;

/// A profile's envelope.
pub type Profile = Envelope<document::Profile>;

/// One field in which two profiles differ.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The field, dotted.
    pub field: String,
    /// Its value in the platform.
    pub stored: Value,
    /// Its value in the file.
    pub file: Value,
}

/// A profile against a file.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Diff {
    /// Name of the profile.
    pub name: id::Profile,
    /// Revision that the file was compared with.
    pub revision: id::Revision,
    /// Who made that revision.
    pub operator: id::Operator,
    /// The fields that differ.
    pub differences: Vec<Difference>,
}

/// One profile.
///
/// # Errors
///
/// Fails as [`stored::require`] does.
pub async fn get(client: &Client, name: &id::Profile) -> Result<Profile> {
    let stored = stored::require(client, &path::profile(name)).await?;
    Ok(stored.envelope)
}

/// All profiles.
///
/// # Errors
///
/// Fails when the platform gives no answer.
pub async fn list(client: &Client) -> Result<Vec<Line<document::Profile>>> {
    stored::list(client, path::PROFILES).await
}

/// Kept envelopes of a profile, newest first.
///
/// # Errors
///
/// Fails when the platform gives no answer.
pub async fn history(client: &Client, name: &id::Profile) -> Result<Vec<Line<document::Profile>>> {
    let mut lines = stored::list(client, &path::history(name)).await?;
    lines.sort_by_key(|line| std::cmp::Reverse(line.name.parse::<u64>().unwrap_or(0)));
    Ok(lines)
}

/// How a file's profile differs from the stored one.
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

/// Every field of a document by its dotted name.
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
