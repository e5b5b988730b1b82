//! Waits until an instance has handed over its slices and finished its requests.

use std::time::Duration;

use serde::Serialize;
use tokio::time;
use tokio::time::Instant;

use crate::control::SLICES_PREFIX;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::fleet::FleetAnswers;
use crate::fleet::Members;
use crate::id;
use crate::query::rollout::POLL_INTERVAL;
use crate::query::status;
use crate::status::Status;
use crate::table::Document;
use crate::table::Row;

/// State that an instance is to reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// Home of no slice and without requests in progress, or no longer registered.
    Drained,
    /// Not draining.
    Staying,
}

/// Progress of an instance toward a [`Goal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Departure {
    /// Name of the instance.
    pub instance: id::Instance,
    /// State that was waited for.
    pub goal: Goal,
    /// Whether the instance was seen in that state.
    pub reached: bool,
    /// Description of the last observation.
    pub seen: String,
}

/// Polls until the instance has reached the goal or `limit` has passed. The last round
/// may end later by the timeouts of its calls.
pub async fn wait(
    fleet: &Fleet,
    instance: &id::Instance,
    goal: Goal,
    limit: Duration,
) -> Departure {
    let until = Instant::now() + limit;
    loop {
        let (reached, seen) = check(fleet, instance, goal).await;
        if reached || Instant::now() + POLL_INTERVAL >= until {
            return Departure {
                instance: instance.clone(),
                goal,
                reached,
                seen,
            };
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn check(fleet: &Fleet, instance: &id::Instance, goal: Goal) -> (bool, String) {
    let mut members = fleet.members().await;
    members.addresses.retain(|name, _| name == instance);
    members
        .unreadable
        .retain(|unanswered| unanswered.instance == instance.as_str());
    let answers = status::ask(fleet, &members).await;
    match evaluate(&members, &answers, instance, goal) {
        Some(result) => result,
        None if goal == Goal::Staying => (false, "not registered".to_owned()),
        None => unregistered(fleet, instance).await,
    }
}

/// Determines whether an instance that is not registered has drained. Its lease may
/// have expired only because the platform was unreachable; the slice table shows
/// whether it is still home of any slice.
async fn unregistered(fleet: &Fleet, instance: &id::Instance) -> (bool, String) {
    match count_homes(fleet, instance).await {
        Ok(0) => (true, "not registered".to_owned()),
        Ok(homes) => (false, format!("not registered, but home of {homes} slices")),
        Err(error) => (false, format!("not registered; slices not known: {error}")),
    }
}

/// Number of slices that the table assigns to an instance.
async fn count_homes(fleet: &Fleet, instance: &id::Instance) -> Result<usize> {
    let listing = fleet.platform().list(SLICES_PREFIX).await?;
    let is_home = |row: &&Row| row.home.as_ref().is_some_and(|h| h.instance == *instance);
    let mut homes = 0;
    for entry in &listing.entries {
        let document: Document =
            serde_json::from_slice(&entry.value).map_err(|error| Error::Decode {
                step: "slices",
                peer: entry.key.clone(),
                reason: error.to_string(),
            })?;
        homes += document.rows.iter().filter(is_home).count();
    }
    Ok(homes)
}

/// Evaluates an instance that is or may be registered; `None` if it is known not to
/// be. A missing answer never counts as drained: an instance behind a broken
/// link may still be home of its slices.
fn evaluate(
    members: &Members,
    answers: &FleetAnswers<Status>,
    instance: &id::Instance,
    goal: Goal,
) -> Option<(bool, String)> {
    if let Some(status) = answers.heard.get(instance) {
        let reached = match goal {
            Goal::Drained => status.leaving && status.homes == 0 && status.in_progress == 0,
            Goal::Staying => !status.leaving,
        };
        return Some((reached, describe(status)));
    }
    if let Some(unanswered) = answers.silent.first() {
        return Some((false, format!("not heard: {}", unanswered.reason)));
    }
    if let Some(reason) = &members.unlisted {
        return Some((false, format!("not heard: {reason}")));
    }
    None
}

fn describe(status: &Status) -> String {
    let leaving = if status.leaving { "leaving" } else { "staying" };
    format!(
        "{leaving}, home of {} slices, {} requests in progress",
        status.homes, status.in_progress
    )
}
