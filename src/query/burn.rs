//! The burn report over all instances.

use std::time::Duration;

use crate::burn::Gap;
use crate::burn::Report;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::query::status;
use crate::report;

/// The report, and what is missing in the list of instances itself.
#[derive(Clone, Debug)]
pub struct Gathered {
    /// Burn by service, with the instances that were not heard from.
    pub report: Report,
    /// Why the platform gave no list, if it did not: there may be more instances.
    pub unlisted: Option<String>,
}

impl Gathered {
    /// Whether every instance was heard from.
    pub fn is_whole(&self) -> bool {
        self.unlisted.is_none() && self.report.gaps.is_empty()
    }
}

/// Asks every instance for its counts and merges them.
///
/// # Errors
///
/// Fails when no instance is known, since the platform gives no list.
pub async fn report(fleet: &Fleet, timeout: Duration) -> Result<Gathered> {
    let members = status::known(fleet).await?;
    let instances: Vec<_> = members
        .addresses
        .iter()
        .map(|(instance, address)| (instance.clone(), *address))
        .collect();
    let mut report = report::burn(&instances, timeout).await?;
    for silence in members.unreadable {
        if let Ok(instance) = silence.instance.parse() {
            let reason = silence.reason;
            report.gaps.push(Gap { instance, reason });
        }
    }
    Ok(Gathered {
        report,
        unlisted: members.unlisted,
    })
}
