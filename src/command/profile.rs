//! Changing profiles.

use crate::command::change;
use crate::command::change::Change;
use crate::command::change::Outcome;
use crate::command::change::Place;
use crate::command::history;
use crate::document;
use crate::error::Result;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::query::stored;

/// Writes a profile, as its first revision or the one after the current.
///
/// With an expected revision the change is refused unless that one is the
/// current; 0 stands for a profile that does not exist yet.
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
    let (key, kept) = (path::profile(name), path::history(name));
    let place = Place {
        key: &key,
        history: Some(&kept),
    };
    let current = stored::read(client, &key).await?;
    let found = current.as_ref().map(|stored| stored.envelope.clone());
    let revision = found
        .as_ref()
        .map_or(id::Revision(0), |found| found.revision);
    if let Some(expected) = expect.filter(|expected| *expected != revision) {
        let mut ours = change::next(current.as_ref(), operator, body);
        // Any number may be expected on the command line, also the last one.
        ours.revision = id::Revision(expected.0.saturating_add(1));
        return Ok(place.refuse(client, ours, found).await);
    }
    let mut change = place
        .write(client, current.as_ref(), operator, body)
        .await?;
    if let Outcome::Accepted { ours, .. } = &change.outcome {
        let envelopes: Vec<_> = found.iter().chain([ours]).collect();
        change.notes = history::keep(client, &kept, &envelopes).await;
    }
    Ok(change)
}
