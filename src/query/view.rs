//! Query for the state of one entry instance.

use std::time::Duration;

use crate::entry::Status;
use crate::error::Result;
use crate::fleet::status_client::StatusClient;
use crate::id;

/// Requests the state of an entry instance from its status address.
///
/// # Errors
///
/// [`crate::Error::Unanswered`] when it gives no answer within `timeout`,
/// [`crate::Error::Decode`] when the answer has another form.
pub async fn view(address: id::Endpoint, timeout: Duration) -> Result<Status> {
    StatusClient::new(timeout)?.get(address, "/status").await
}
