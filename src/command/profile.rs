//! Commands that change profiles.

use crate::command::change;
use crate::command::change::Change;
use crate::command::change::DocumentKeys;
use crate::command::change::Outcome;
use crate::command::history;
use crate::document;
use crate::error::Result;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::query::stored;

/// Writes a profile as its next revision, or as revision 1 if it does not exist yet.
///
/// With `expect`, the change is refused unless that is the current revision; 0 means
/// that the profile does not exist yet.
///
/// # Errors
///
/// After an error nothing was written and nothing will be.
pub async fn apply(
    client: &Client,
    operator: &id::Operator,
    name: &id::Profile,
    body: document::Profile,
    expect: Option<id::Revision>,
) -> Result<Change<document::Profile>> {
    let (key, history_prefix) = (path::profile(name), path::history(name));
    let keys = DocumentKeys {
        key: &key,
        history: Some(&history_prefix),
    };
    let current = stored::read(client, &key).await?;
    let found = current.as_ref().map(|stored| stored.envelope.clone());
    let revision = found
        .as_ref()
        .map_or(id::Revision(0), |found| found.revision);
    if let Some(expected) = expect.filter(|expected| *expected != revision) {
        let mut ours = change::next_envelope(current.as_ref(), operator, body);
        // The command line accepts any number, also the greatest.
        ours.revision = id::Revision(expected.0.saturating_add(1));
        return Ok(keys.refuse(client, ours, found).await);
    }
    let mut change = keys.write(client, current.as_ref(), operator, body).await?;
    if let Outcome::Accepted { ours, .. } = &change.outcome {
        let envelopes: Vec<_> = found.iter().chain([ours]).collect();
        change.notes = history::add(client, &history_prefix, &envelopes).await;
    }
    Ok(change)
}
