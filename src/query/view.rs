//! What one entry instance believes.

use std::time::Duration;

use crate::entry::Status;
use crate::error::Result;
use crate::fleet::status_client::StatusClient;
use crate::id;

/// Asks an entry instance, at its status address, what it believes.
///
/// # Errors
///
/// [`crate::Error::Unanswered`] when it gives no answer within `timeout`,
/// [`crate::Error::Decode`] when the answer is of something else.
pub async fn view(address: id::Endpoint, timeout: Duration) -> Result<Status> {
    StatusClient::new(timeout)?.get(address, "/status").await
}
