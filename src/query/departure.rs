//! Waiting until an instance has handed over what it decides for.

use std::time::Duration;

use serde::Serialize;
use tokio::time;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Gathered;
use crate::fleet::Members;
use crate::id;
use crate::query::rollout::POLL_EVERY;
use crate::query::status;
use crate::status::Status;

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
    judge(&members, &gathered, instance, goal)
}

/// Silence alone never counts as gone: an instance behind a broken link may
/// still be home of its slices.
fn judge(
    members: &Members,
    gathered: &Gathered<Status>,
    instance: &id::Instance,
    goal: Goal,
) -> (bool, String) {
    if let Some(status) = gathered.heard.get(instance) {
        let reached = match goal {
            Goal::Drained => status.leaving && status.homes == 0 && status.in_progress == 0,
            Goal::Staying => !status.leaving,
        };
        return (reached, describe(status));
    }
    if let Some(silence) = gathered.silent.first() {
        return (false, format!("not heard: {}", silence.reason));
    }
    if let Some(reason) = &members.unlisted {
        return (false, format!("not heard: {reason}"));
    }
    (goal == Goal::Drained, "not registered".to_owned())
}

fn describe(status: &Status) -> String {
    let leaving = if status.leaving { "leaving" } else { "staying" };
    format!(
        "{leaving}, home of {} slices, {} requests in progress",
        status.homes, status.in_progress
    )
}
