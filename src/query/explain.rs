//! Query for the decisions that all instances made for a caller, with their reasons.

use serde::Serialize;

use crate::error::Result;
use crate::fleet::Fleet;
use crate::fleet::UnansweredInstance;
use crate::id;
use crate::query::status;
use crate::status::Trace;

/// One decision, with the instance that made it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// The instance that made the decision.
    pub instance: id::Instance,
    /// The decision.
    #[serde(flatten)]
    pub trace: Trace,
}

/// The decisions of all instances for one caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallerHistory {
    /// The steps, newest first.
    pub steps: Vec<Step>,
    /// Instances that gave no answer.
    pub silent: Vec<UnansweredInstance>,
    /// Why the list of instances may be incomplete, or `None` if it is complete.
    pub unlisted: Option<String>,
}

impl CallerHistory {
    /// Whether every listed instance answered and the list of instances is complete.
    pub fn is_complete(&self) -> bool {
        self.silent.is_empty() && self.unlisted.is_none()
    }
}

/// Requests from every instance its decisions for a caller of a service.
///
/// # Errors
///
/// Fails when the platform gives no list of instances and none is configured.
pub async fn explain(
    fleet: &Fleet,
    service: &id::Service,
    caller: id::Endpoint,
) -> Result<CallerHistory> {
    let members = status::known_members(fleet).await?;
    let path = format!("/explain?service={service}&caller={caller}");
    let answers = fleet.ask::<Vec<Trace>>(&members, &path).await;
    let mut steps: Vec<Step> = answers
        .heard
        .into_iter()
        .flat_map(|(instance, traces)| {
            traces.into_iter().map(move |trace| Step {
                instance: instance.clone(),
                trace,
            })
        })
        .collect();
    steps.sort_by_key(|step| step.trace.age_ms);
    Ok(CallerHistory {
        steps,
        silent: answers.silent,
        unlisted: answers.unlisted,
    })
}
