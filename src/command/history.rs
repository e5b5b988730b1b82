//! History of a profile: its last envelopes.
//!
//! History is written after the change itself, which it must never endanger: a failed
//! write to the history is reported in a note and is not an error. Each change also
//! stores the envelope before it, in case the tool was stopped between that change
//! and its write to the history.

use serde::Serialize;

use crate::command::change;
use crate::document::Envelope;
use crate::error::Result;
use crate::path;
use crate::platform::Client;
use crate::platform::ResolvedWrite;

/// Number of envelopes kept for each profile.
const MAX_KEPT: usize = 10;

/// Adds envelopes to the history and deletes the oldest. Returns a note
/// for each failure.
pub(crate) async fn add<T: Serialize>(
    client: &Client,
    prefix: &str,
    envelopes: &[&Envelope<T>],
) -> Vec<String> {
    let mut notes = Vec::new();
    for envelope in envelopes {
        let revision = envelope.revision;
        match write(client, prefix, envelope).await {
            Ok(ResolvedWrite::Unknown) => notes.push(format!(
                "revision {revision} may be missing in history: no answer"
            )),
            // A stored envelope of that revision is identical, as each revision is
            // assigned once.
            Ok(_) => {}
            Err(error) => {
                notes.push(format!("revision {revision} not kept in history: {error}"));
            }
        }
    }
    if let Err(error) = prune(client, prefix).await {
        notes.push(format!("old revisions may still be in history: {error}"));
    }
    notes
}

async fn write<T: Serialize>(
    client: &Client,
    prefix: &str,
    envelope: &Envelope<T>,
) -> Result<ResolvedWrite> {
    let key = format!("{prefix}{}", envelope.revision);
    let value = change::encode(&key, envelope)?;
    client
        .compare_and_swap_resolved(&key, None, &value, None)
        .await
}

async fn prune(client: &Client, prefix: &str) -> Result<()> {
    let listing = client.list(prefix).await?;
    let mut revisions: Vec<u64> = listing
        .entries
        .iter()
        .filter_map(|entry| path::last_segment(&entry.key).parse().ok())
        .collect();
    revisions.sort_unstable_by(|a, b| b.cmp(a));
    for revision in revisions.into_iter().skip(MAX_KEPT) {
        client.delete(&format!("{prefix}{revision}")).await?;
    }
    Ok(())
}
