//! Demonstrates the balancer in one process over loopback.
//!
//! The demo starts stand-ins for the platform, the fabric and the backend servers of
//! two services, three entry instances, and two drivers that keep a feed open and
//! book pickups. Then an instance stops, a backend server drains and a profile
//! changes. The exit code is 0 if all guarantees held; otherwise the demo prints the
//! reason and exits with 1.

mod deployment;
mod driver;
mod failure;
mod report;
mod scenario;

use std::process::ExitCode;
use std::time::Duration;

use crate::failure::Failure;

/// Time limit for the whole demo.
const DEMO_TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::main]
async fn main() -> ExitCode {
    let result = tokio::time::timeout(DEMO_TIMEOUT, scenario::run()).await;
    let result = result.unwrap_or(Err(Failure::Timeout("the end of the demo")));
    match result {
        Ok(()) => {
            println!("all guarantees held");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            println!("demo failed: {failure}");
            ExitCode::FAILURE
        }
    }
}
