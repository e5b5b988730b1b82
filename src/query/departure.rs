//! Waiting until an instance has handed over what it decides for.

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
use crate::query::rollout::POLL_EVERY;
use crate::query::status;
use crate::status::Status;
use crate::table::Document;
use crate::table::Row;

/// What an instance is to become.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// Home of no slice and without requests in progress, or gone.
    Drained,
    /// Not leaving.
    Staying,
}

/// How far an instance has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Departure {
    /// Its name.
    pub instance: id::Instance,
    /// What was waited for.
    pub goal: Goal,
    /// Whether that was seen.
    pub reached: bool,
    /// What was seen last.
    pub seen: String,
}

/// Asks until the instance is there or the time is over; the last round may end
/// later by the calls' own timeouts.
pub async fn wait(
    fleet: &Fleet,
    instance: &id::Instance,
    goal: Goal,
    limit: Duration,
) -> Departure {
    let until = Instant::now() + limit;
    loop {
        let (reached, seen) = look(fleet, instance, goal).await;
        if reached || Instant::now() + POLL_EVERY >= until {
            return Departure {
                instance: instance.clone(),
                goal,
                reached,
                seen,
            };
        }
        time::sleep(POLL_EVERY).await;
    }
}

async fn look(fleet: &Fleet, instance: &id::Instance, goal: Goal) -> (bool, String) {
    let mut members = fleet.members().await;
    members.addresses.retain(|name, _| name == instance);
    members
        .unreadable
        .retain(|silence| silence.instance == instance.as_str());
    let gathered = status::ask(fleet, &members).await;
    match judge(&members, &gathered, instance, goal) {
        Some(judged) => judged,
        None if goal == Goal::Staying => (false, "not registered".to_owned()),
        None => unregistered(fleet, instance).await,
    }
}

/// Whether an instance that is not registered is gone. Its lease may just have
/// lapsed while the platform was away; the slice table tells whether it would
/// still decide for anything.
async fn unregistered(fleet: &Fleet, instance: &id::Instance) -> (bool, String) {
    match homes(fleet, instance).await {
        Ok(0) => (true, "not registered".to_owned()),
        Ok(homes) => (false, format!("not registered, but home of {homes} slices")),
        Err(error) => (false, format!("not registered; slices not known: {error}")),
    }
}

async fn homes(fleet: &Fleet, instance: &id::Instance) -> Result<usize> {
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

/// Judges an instance that is listed, or that nobody can tell of. Silence alone
/// never counts as gone: an instance behind a broken link may still be home of its
/// slices.
fn judge(
    members: &Members,
    gathered: &FleetAnswers<Status>,
    instance: &id::Instance,
    goal: Goal,
) -> Option<(bool, String)> {
    if let Some(status) = gathered.heard.get(instance) {
        let reached = match goal {
            Goal::Drained => status.leaving && status.homes == 0 && status.in_progress == 0,
            Goal::Staying => !status.leaving,
        };
        return Some((reached, describe(status)));
    }
    if let Some(silence) = gathered.silent.first() {
        return Some((false, format!("not heard: {}", silence.reason)));
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
