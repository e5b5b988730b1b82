//! What was done for a caller, and why, from all instances.

use serde::Serialize;

use crate::error::Result;
use crate::fleet::Fleet;
use crate::fleet::UnansweredInstance;
use crate::id;
use crate::query::status;
use crate::status::Trace;

/// One thing that was done, and where.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// The instance that did it.
    pub instance: id::Instance,
    /// What it did.
    #[serde(flatten)]
    pub trace: Trace,
}

/// What the instances tell of a caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallerHistory {
    /// The steps, newest first.
    pub steps: Vec<Step>,
    /// Who was not heard from.
    pub silent: Vec<UnansweredInstance>,
    /// Why the platform's list could not be read, if so.
    pub unlisted: Option<String>,
}

impl CallerHistory {
    /// Whether every instance was heard, as far as the platform's list goes.
    pub fn is_whole(&self) -> bool {
        self.silent.is_empty() && self.unlisted.is_none()
    }
}

/// Asks every instance what it did for a caller of a service.
///
/// # Errors
///
/// Fails when no instance is known, since the platform gives no list.
pub async fn explain(
    fleet: &Fleet,
    service: &id::Service,
    caller: id::Endpoint,
) -> Result<CallerHistory> {
    let members = status::known(fleet).await?;
    let path = format!("/explain?service={service}&caller={caller}");
    let gathered = fleet.ask::<Vec<Trace>>(&members, &path).await;
    let mut steps: Vec<Step> = gathered
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
        silent: gathered.silent,
        unlisted: gathered.unlisted,
    })
}
