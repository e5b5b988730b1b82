//! Waiting until an accepted change is in force at every instance.
//!
//! Instances that do not answer, refuse the document or have an older revision
//! are named. While the platform's list cannot be read, or is empty, nothing can
//! be said of all instances: right after an outage the leases of healthy
//! instances may have lapsed, and an empty list would pass for success.

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

/// Time between two rounds of questions.
pub(crate) const POLL_EVERY: Duration = Duration::from_millis(250);

/// An instance at which the revision is not in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Behind {
    /// Its name.
    pub instance: id::Instance,
    /// The revision in force there, if any.
    pub revision: Option<id::Revision>,
    /// Why it refused a document of this name, if it did.
    pub refused: Option<String>,
}

/// How far a change has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// The document, as in `profiles/NAME`.
    pub document: String,
    /// The revision waited for.
    pub revision: id::Revision,
    /// Where it, or a later one, is in force.
    pub in_force: Vec<id::Instance>,
    /// Where it is not.
    pub behind: Vec<Behind>,
    /// Who was not heard from.
    pub silent: Vec<UnansweredInstance>,
    /// Why the platform's list could not be read, if so.
    pub unlisted: Option<String>,
}

impl Rollout {
    /// Whether the revision is in force everywhere.
    pub fn is_whole(&self) -> bool {
        let complete = self.behind.is_empty() && self.silent.is_empty();
        complete && self.unlisted.is_none() && !self.in_force.is_empty()
    }

    fn new(document: &str, revision: id::Revision, gathered: FleetAnswers<Status>) -> Self {
        let mut rollout = Self {
            document: document.to_owned(),
            revision,
            in_force: Vec::new(),
            behind: Vec::new(),
            silent: gathered.silent,
            unlisted: gathered.unlisted,
        };
        for (instance, status) in gathered.heard {
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

/// Asks until the revision is in force everywhere or the time is over; at least
/// one round is made, and the last one may end later by the calls' own timeouts.
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
        let gathered = status::ask(fleet, &members).await;
        let rollout = Rollout::new(document, revision, gathered);
        if rollout.is_whole() || Instant::now() + POLL_EVERY >= until {
            return rollout;
        }
        time::sleep(POLL_EVERY).await;
    }
}

/// Takes the newer list over; if it could not be read, keeps who was listed.
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
