//! Queries for services.

use crate::document;
use crate::document::Envelope;
use crate::error::Result;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::query::stored;
use crate::query::stored::ListedDocument;

/// Reads one service.
///
/// # Errors
///
/// Fails as [`stored::require`] does.
pub async fn get(client: &Client, name: &id::Service) -> Result<Envelope<document::Service>> {
    let stored = stored::require(client, &path::service(name)).await?;
    Ok(stored.envelope)
}

/// Reads all services.
///
/// # Errors
///
/// Fails when the platform gives no answer.
pub async fn list(client: &Client) -> Result<Vec<ListedDocument<document::Service>>> {
    stored::list(client, path::SERVICES).await
}
