//! Query for the burn report over all instances.

use std::time::Duration;

use crate::burn::Gap;
use crate::burn::Report;
use crate::burn::report;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::query::status;

/// Requests the event counts of every instance and merges them.
///
/// # Errors
///
/// Fails when the platform gives no list of instances and none is configured.
pub async fn report(fleet: &Fleet, timeout: Duration) -> Result<Report> {
    let members = status::known_members(fleet).await?;
    let instances: Vec<_> = members
        .addresses
        .iter()
        .map(|(instance, address)| (instance.clone(), *address))
        .collect();
    let mut report = report::burn(&instances, timeout).await?;
    let gaps = members.unreadable.into_iter().filter_map(|unanswered| {
        let instance = unanswered.instance.parse().ok()?;
        let reason = unanswered.reason;
        Some(Gap { instance, reason })
    });
    report.add_missing(gaps.collect(), members.unlisted);
    Ok(report)
}
