//! Waiting until every instance knows that a zone is evacuated, or is not any more.

use std::time::Duration;

use serde::Serialize;
use tokio::time;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::FleetAnswers;
use crate::fleet::UnansweredInstance;
use crate::id;
use crate::query::rollout::POLL_EVERY;
use crate::query::status;
use crate::status::Status;

/// How far an order about a zone has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: id::Zone,
    /// Whether it is to be evacuated, or to be used again.
    pub is_evacuated: bool,
    /// Instances that act on the order.
    pub in_force: Vec<id::Instance>,
    /// Instances that do not yet.
    pub behind: Vec<id::Instance>,
    /// Instances that gave no answer.
    pub silent: Vec<UnansweredInstance>,
    /// Why the platform's list of instances could not be read, if so.
    pub unlisted: Option<String>,
}

impl Evacuation {
    fn new(zone: &id::Zone, is_evacuated: bool, gathered: FleetAnswers<Status>) -> Self {
        let mut evacuation = Self {
            zone: zone.clone(),
            is_evacuated,
            in_force: Vec::new(),
            behind: Vec::new(),
            silent: gathered.silent,
            unlisted: gathered.unlisted,
        };
        for (instance, status) in gathered.heard {
            let side = match status.evacuated.contains(zone) == is_evacuated {
                true => &mut evacuation.in_force,
                false => &mut evacuation.behind,
            };
            side.push(instance);
        }
        evacuation
    }

    /// Whether every instance acts on the order, as far as the list goes.
    pub fn is_whole(&self) -> bool {
        self.behind.is_empty() && self.silent.is_empty() && self.unlisted.is_none()
    }
}

/// Asks until all instances act on the order or the time is over; the last round may
/// end later by the calls' own timeouts.
pub async fn wait(
    fleet: &Fleet,
    zone: &id::Zone,
    is_evacuated: bool,
    limit: Duration,
) -> Evacuation {
    let until = Instant::now() + limit;
    loop {
        let members = fleet.members().await;
        let gathered = status::ask(fleet, &members).await;
        let evacuation = Evacuation::new(zone, is_evacuated, gathered);
        if evacuation.is_whole() || Instant::now() + POLL_EVERY >= until {
            return evacuation;
        }
        time::sleep(POLL_EVERY).await;
    }
}
