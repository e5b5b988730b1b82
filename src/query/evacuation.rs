//! Waits until every instance acts on a zone's evacuation or on its end.

use std::time::Duration;

use serde::Serialize;
use tokio::time;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::FleetAnswers;
use crate::fleet::UnansweredInstance;
use crate::id;
use crate::query::rollout::POLL_INTERVAL;
use crate::query::status;
use crate::status::Status;

/// Progress of an order to evacuate a zone or to use it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: id::Zone,
    /// Whether the zone is to be evacuated (else used again).
    pub is_evacuated: bool,
    /// Instances that act on the order.
    pub in_force: Vec<id::Instance>,
    /// Instances that do not act on the order yet.
    pub behind: Vec<id::Instance>,
    /// Instances that gave no answer.
    pub silent: Vec<UnansweredInstance>,
    /// Why the list of instances may be incomplete, or `None` if it is complete.
    pub unlisted: Option<String>,
}

impl Evacuation {
    fn new(zone: &id::Zone, is_evacuated: bool, answers: FleetAnswers<Status>) -> Self {
        let mut evacuation = Self {
            zone: zone.clone(),
            is_evacuated,
            in_force: Vec::new(),
            behind: Vec::new(),
            silent: answers.silent,
            unlisted: answers.unlisted,
        };
        for (instance, status) in answers.heard {
            let group = match status.evacuated.contains(zone) == is_evacuated {
                true => &mut evacuation.in_force,
                false => &mut evacuation.behind,
            };
            group.push(instance);
        }
        evacuation
    }

    /// Whether every listed instance acts on the order and the list of instances is complete.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && self.silent.is_empty() && self.unlisted.is_none()
    }
}

/// Polls until all instances act on the order or `limit` has passed. The last round may
/// end later by the timeouts of its calls.
pub async fn wait(
    fleet: &Fleet,
    zone: &id::Zone,
    is_evacuated: bool,
    limit: Duration,
) -> Evacuation {
    let until = Instant::now() + limit;
    loop {
        let members = fleet.members().await;
        let answers = status::ask(fleet, &members).await;
        let evacuation = Evacuation::new(zone, is_evacuated, answers);
        if evacuation.is_complete() || Instant::now() + POLL_INTERVAL >= until {
            return evacuation;
        }
        time::sleep(POLL_INTERVAL).await;
    }
}
