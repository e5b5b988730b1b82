//! State of every instance.

use std::collections::BTreeMap;

use crate::error::Error;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::fleet::FleetAnswers;
use crate::fleet::Members;
use crate::fleet::UnansweredInstance;
use crate::status::Status;

/// Asks every instance for its state.
///
/// # Errors
///
/// Fails when no instance is known, since the platform gives no list.
pub async fn status(fleet: &Fleet) -> Result<FleetAnswers<Status>> {
    let members = known(fleet).await?;
    Ok(ask(fleet, &members).await)
}

/// The instances to ask, of which at least one has to be known.
///
/// # Errors
///
/// Fails when none is, since the platform gives no list.
pub(crate) async fn known(fleet: &Fleet) -> Result<Members> {
    let mut members = fleet.members().await;
    // After an outage of the platform all leases may have lapsed, so that an
    // empty list would pass for a fleet that is well.
    if members.unlisted.is_none() && members.addresses.is_empty() {
        members.unlisted = Some("none is registered".to_owned());
        return Ok(members);
    }
    match &members.unlisted {
        Some(reason) if members.addresses.is_empty() => Err(Error::Unreachable {
            step: "list instances",
            peer: "platform".to_owned(),
            reason: reason.clone(),
        }),
        _ => Ok(members),
    }
}

/// Asks these members.
///
/// An address may have passed to another instance since it was written down.
/// Its answer would be taken for that of an instance that is in fact silent.
pub(crate) async fn ask(fleet: &Fleet, members: &Members) -> FleetAnswers<Status> {
    let mut gathered: FleetAnswers<Status> = fleet.ask(members, "/status").await;
    let (heard, foreign): (BTreeMap<_, _>, BTreeMap<_, _>) = gathered
        .heard
        .into_iter()
        .partition(|(instance, status)| status.holder.instance == *instance);
    gathered.heard = heard;
    let foreign = foreign
        .into_iter()
        .map(|(instance, status)| UnansweredInstance {
            instance: instance.to_string(),
            reason: format!("{} answered at its address", status.holder),
        });
    gathered.silent.extend(foreign);
    gathered
}
