//! Reads documents from the platform.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::document::Envelope;
use crate::error::Error;
use crate::error::Result;
use crate::path;
use crate::platform::Client;
use crate::platform::Entry;

/// A document and the revision of the store at which it was written.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored<T> {
    /// The document.
    pub envelope: Envelope<T>,
    /// Revision that a compare-and-swap has to expect.
    pub mod_revision: u64,
}

/// One entry of a list of documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedDocument<T> {
    /// Name of the document.
    pub name: String,
    /// The document, if it can be decoded.
    pub document: Option<Envelope<T>>,
    /// Decoding error, or `None` if the document was decoded.
    pub unreadable: Option<String>,
}

/// Reads one document, or `None` if it does not exist.
///
/// # Errors
///
/// Fails when the platform gives no answer or the document cannot be decoded.
pub async fn read<T: DeserializeOwned>(client: &Client, key: &str) -> Result<Option<Stored<T>>> {
    let entry = client.get(key).await?;
    entry.as_ref().map(decode).transpose()
}

/// Reads one document that must exist.
///
/// # Errors
///
/// As [`read`], and [`Error::Refused`] when the document does not exist.
pub async fn require<T: DeserializeOwned>(client: &Client, key: &str) -> Result<Stored<T>> {
    read(client, key).await?.ok_or_else(|| Error::Refused {
        step: "read",
        peer: path::document(key).to_owned(),
        reason: "it does not exist".to_owned(),
    })
}

/// Reads all documents under a prefix. A document that cannot be decoded is listed with
/// the reason and does not affect the others.
///
/// # Errors
///
/// Fails when the platform gives no answer.
pub async fn list<T: DeserializeOwned>(
    client: &Client,
    prefix: &str,
) -> Result<Vec<ListedDocument<T>>> {
    let listing = client.list(prefix).await?;
    Ok(listing.entries.iter().map(listed).collect())
}

fn listed<T: DeserializeOwned>(entry: &Entry) -> ListedDocument<T> {
    let decoded = decode(entry);
    ListedDocument {
        name: path::last_segment(&entry.key).to_owned(),
        unreadable: decoded.as_ref().err().map(ToString::to_string),
        document: decoded.ok().map(|stored| stored.envelope),
    }
}

pub(crate) fn decode<T: DeserializeOwned>(entry: &Entry) -> Result<Stored<T>> {
    let envelope = serde_json::from_slice(&entry.value).map_err(|e| Error::Decode {
        step: "document",
        peer: path::document(&entry.key).to_owned(),
        reason: e.to_string(),
    })?;
    Ok(Stored {
        envelope,
        mod_revision: entry.mod_revision,
    })
}
