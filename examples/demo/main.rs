//! The balancer at work, in one process over loopback.
//!
//! It starts stand-ins for the platform, the fabric and the backend servers of
//! two services, three entry instances, and two drivers that hold a feed open and
//! book pickups. Then an instance stops, a backend server drains and a profile
//! changes. It ends by itself: with code 0 if every promise held, else with 1 and
//! the reason.

mod deployment;
mod driver;
mod failure;
mod report;
mod story;

use std::process::ExitCode;
use std::time::Duration;

use crate::failure::Failure;

/// Longest run of the whole demo.
const LONGEST: Duration = Duration::from_secs(60);

#[tokio::main]
async fn main() -> ExitCode {
    let told = tokio::time::timeout(LONGEST, story::tell()).await;
    let told = told.unwrap_or(Err(Failure::Late("the end of the demo")));
    match told {
        Ok(()) => {
            println!("everything held");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            println!("did not hold: {failure}");
            ExitCode::FAILURE
        }
    }
}
