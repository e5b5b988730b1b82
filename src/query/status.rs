//! Query for the state of every instance.

use std::collections::BTreeMap;

use crate::error::Error;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::fleet::FleetAnswers;
use crate::fleet::Members;
use crate::fleet::UnansweredInstance;
use crate::status::Status;

/// Requests the state of every instance.
///
/// # Errors
///
/// Fails when the platform gives no list of instances and none is configured.
pub async fn status(fleet: &Fleet) -> Result<FleetAnswers<Status>> {
    let members = known_members(fleet).await?;
    Ok(ask(fleet, &members).await)
}

/// The instances to query.
///
/// # Errors
///
/// Fails when the platform gives no list of instances and none is configured.
pub(crate) async fn known_members(fleet: &Fleet) -> Result<Members> {
    let mut members = fleet.members().await;
    // After an outage of the platform all leases may have expired, and an empty list
    // would be mistaken for a healthy fleet.
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

/// Requests the state of these members.
///
/// Another instance may have taken over an address since it was registered. Its answer
/// is dropped, and the member is reported as silent.
pub(crate) async fn ask(fleet: &Fleet, members: &Members) -> FleetAnswers<Status> {
    let mut answers: FleetAnswers<Status> = fleet.ask(members, "/status").await;
    let (matching, foreign): (BTreeMap<_, _>, BTreeMap<_, _>) = answers
        .heard
        .into_iter()
        .partition(|(instance, status)| status.holder.instance == *instance);
    answers.heard = matching;
    let foreign = foreign
        .into_iter()
        .map(|(instance, status)| UnansweredInstance {
            instance: instance.to_string(),
            reason: format!("{} answered at its address", status.holder),
        });
    answers.silent.extend(foreign);
    answers
}
