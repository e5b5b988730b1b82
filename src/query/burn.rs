//! Service-level burn as the instances report it.

use serde_json::Value;

use crate::error::Result;
use crate::fleet::Fleet;
use crate::fleet::Gathered;
use crate::query::status;

/// Asks every instance for its counts.
///
/// # Errors
///
/// Fails when no instance is known, since the platform gives no list.
pub async fn report(fleet: &Fleet) -> Result<Gathered<Value>> {
    let members = status::known(fleet).await?;
    Ok(fleet.ask(&members, "/burn").await)
}
