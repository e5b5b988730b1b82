//! Waits until an accepted change is in force at every instance.
//!
//! Instances that do not answer, refuse the document or have an older revision are
//! named. While the platform's list of instances cannot be read or is empty, the
//! rollout is never complete: right after an outage the leases of healthy instances
//! may have expired, and an empty list would be mistaken for success.

use std::time::Duration;

use serde::Serialize;
use tokio::time;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::FleetAnswers;
use crate::fleet::Members;
use crate::fleet::UnansweredInstance;
use crate::id;
use crate::query::status;
use crate::status::Status;

/// Pause between two rounds of polling.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// An instance at which the revision is not in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Behind {
    /// Name of the instance.
    pub instance: id::Instance,
    /// The revision in force at the instance, if any.
    pub revision: Option<id::Revision>,
    /// Why the instance refused a document of this name, if it did.
    pub refused: Option<String>,
}

/// Progress of a change toward all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// The document, as in `profiles/NAME`.
    pub document: String,
    /// The revision waited for.
    pub revision: id::Revision,
    /// Instances where this revision, or a later one, is in force.
    pub in_force: Vec<id::Instance>,
    /// Instances where this revision is not in force.
    pub behind: Vec<Behind>,
    /// Instances that gave no answer.
    pub silent: Vec<UnansweredInstance>,
    /// Why the list of instances may be incomplete, or `None` if it is complete.
    pub unlisted: Option<String>,
}

impl Rollout {
    /// Whether the revision is in force at every instance and the list of instances is complete.
    pub fn is_complete(&self) -> bool {
        let complete = self.behind.is_empty() && self.silent.is_empty();
        complete && self.unlisted.is_none() && !self.in_force.is_empty()
    }

    fn new(document: &str, revision: id::Revision, answers: FleetAnswers<Status>) -> Self {
        let mut rollout = Self {
            document: document.to_owned(),
            revision,
            in_force: Vec::new(),
            behind: Vec::new(),
            silent: answers.silent,
            unlisted: answers.unlisted,
        };
        for (instance, status) in answers.heard {
            let found = status.revisions.get(document).copied();
            if found.is_some_and(|found| found >= revision) {
                rollout.in_force.push(instance);
                continue;
            }
            rollout.behind.push(Behind {
                instance,
                revision: found,
                refused: status.refused.get(document).cloned(),
            });
        }
        rollout
    }
}

/// Polls until the revision is in force at every instance or `limit` has passed. There
/// is at least one round, and the last may end later by the timeouts of its calls.
pub async fn wait(
    fleet: &Fleet,
    document: &str,
    revision: id::Revision,
    limit: Duration,
) -> Rollout {
    let until = Instant::now() + limit;
    let mut members = Members::default();
    loop {
        refresh(&mut members, fleet.members().await);
        let answers = status::ask(fleet, &members).await;
        let rollout = Rollout::new(document, revision, answers);
        if rollout.is_complete() || Instant::now() + POLL_INTERVAL >= until {
            return rollout;
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Replaces the members by the newer list. If the list could not be read, keeps the
/// earlier members and adds the addresses from the settings.
fn refresh(members: &mut Members, fresh: Members) {
    if fresh.unlisted.is_none() {
        *members = fresh;
        return;
    }
    members.unlisted = fresh.unlisted;
    for (instance, address) in fresh.addresses {
        members.addresses.entry(instance).or_insert(address);
    }
}
