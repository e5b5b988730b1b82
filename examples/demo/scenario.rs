//! The sequence of the demo and the checks at its end.

use std::time::Duration;

use coap_lite::RequestType;
use coap_lite::ResponseType;
use serde_json::json;
use standin::caller::Outcome;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::deployment::Deployment;
use crate::driver::Booking;
use crate::driver::Driver;
use crate::driver::DriverReport;
use crate::driver::FeedStats;
use crate::failure::Failure;
use crate::report;
use crate::report::Printer;

/// Pause between two steps of the demo.
const STEP_PAUSE: Duration = Duration::from_secs(2);

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(12);

/// The drivers, each with the seed of its random choices.
const DRIVERS: [(&str, u64); 2] = [("almaz", 1), ("bekele", 2)];

/// The running drivers.
struct Drivers {
    stop: CancellationToken,
    feed_stats: Vec<watch::Receiver<FeedStats>>,
    tasks: Vec<JoinHandle<Result<DriverReport, Failure>>>,
}

impl Drivers {
    async fn start(deployment: &Deployment) -> Result<Self, Failure> {
        let mut drivers = Self {
            stop: CancellationToken::new(),
            feed_stats: Vec::new(),
            tasks: Vec::new(),
        };
        for (name, seed) in DRIVERS {
            let caller = deployment.caller("dispatch", seed).await?;
            let driver = Driver::new(name, caller, drivers.stop.clone());
            drivers.feed_stats.push(driver.feed_stats());
            drivers.tasks.push(tokio::spawn(driver.run()));
        }
        Ok(drivers)
    }

    /// The server that now serves the first driver's feed.
    fn first_feed_server(&self) -> String {
        self.feed_stats[0].borrow().server.clone()
    }

    fn print(&self, printer: &Printer) {
        for ((name, _), feed_stats) in DRIVERS.iter().zip(&self.feed_stats) {
            let feed = feed_stats.borrow();
            printer.print(format_args!(
                "  {name}'s feed: {} notifications, now from {}, {} moves, longest wait {} ms",
                feed.notifications,
                feed.server,
                feed.moves,
                feed.longest_wait.as_millis(),
            ));
        }
    }

    async fn finish(self) -> Result<Vec<DriverReport>, Failure> {
        self.stop.cancel();
        let mut reports = Vec::new();
        for task in self.tasks {
            let result = task.await;
            reports.push(result.map_err(|error| Failure::Violation(error.to_string()))??);
        }
        Ok(reports)
    }
}

/// Runs the whole demo.
pub(crate) async fn run() -> Result<(), Failure> {
    let printer = Printer::new();
    let mut deployment = Deployment::start().await?;
    printer.print("started: platform, two services with five backend servers, three instances");
    deployment.wait_until_settled().await?;
    printer.print("every slice has a home and a backup");
    let drivers = Drivers::start(&deployment).await?;
    printer
        .print("two drivers open their feeds and book pickups; any packet may reach any instance");
    sleep(STEP_PAUSE).await;
    drivers.print(&printer);
    upload_sheet(&deployment, &printer).await?;
    stop_instance(&mut deployment, &printer).await?;
    drivers.print(&printer);
    drain_server(&deployment, &drivers, &printer).await?;
    change_profile(&deployment, &printer).await?;
    sleep(STEP_PAUSE).await;
    let reports = drivers.finish().await?;
    printer.print("the drivers have stopped");
    report::drivers(&reports);
    report::servers(&deployment.counts());
    for report in &reports {
        check_bookings(&deployment, report)?;
    }
    if deployment.wrong_service() > 0 {
        let reason = "a packet reached a server of another service";
        return Err(Failure::Violation(reason.to_owned()));
    }
    deployment.abort();
    Ok(())
}

async fn upload_sheet(deployment: &Deployment, printer: &Printer) -> Result<(), Failure> {
    const BLOCK: usize = 256;
    let depot = deployment.caller("ledger", 3).await?;
    let sheet = "weighbridge;kg\n".repeat(100);
    let mut upload = depot.upload(RequestType::Put, "/sheet", sheet, BLOCK);
    match upload.finish(DEADLINE).await {
        Outcome::Answered {
            code: ResponseType::Changed,
            ..
        } => {
            printer.print("a depot has uploaded a batch sheet in blocks");
            Ok(())
        }
        other => Err(Failure::Violation(format!("batch sheet: {other:?}"))),
    }
}

async fn stop_instance(deployment: &mut Deployment, printer: &Printer) -> Result<(), Failure> {
    const INDEX: usize = 1;
    let name = deployment.instances[INDEX].name.clone();
    printer.print(format_args!("instance {name} is asked to stop"));
    let stopped = deployment.stop_instance(INDEX).await;
    printer.print(format_args!(
        "instance {name} has stopped: {} requests cut off, {} slices not handed over",
        stopped.cut, stopped.kept,
    ));
    if stopped.cut > 0 || stopped.kept > 0 {
        return Err(Failure::Violation(format!("{name}: {stopped:?}")));
    }
    Ok(())
}

async fn drain_server(
    deployment: &Deployment,
    drivers: &Drivers,
    printer: &Printer,
) -> Result<(), Failure> {
    let name = drivers.first_feed_server();
    printer.print(format_args!("backend server {name} drains"));
    deployment.drain_server(&name);
    deployment.wait_until_vacated(&name).await?;
    sleep(STEP_PAUSE).await;
    printer.print(format_args!("backend server {name} has no feed left"));
    drivers.print(printer);
    Ok(())
}

async fn change_profile(deployment: &Deployment, printer: &Printer) -> Result<(), Failure> {
    const REVISION: u64 = 2;
    printer.print("the profile is changed: a shorter deadline");
    deployment.change_profile(REVISION, &json!({"deadline_ms": 6_000}));
    deployment.wait_until_in_force(REVISION).await?;
    printer.print("revision 2 is in force at every instance");
    Ok(())
}

/// Checks that each booking was run as often as its outcome says.
fn check_bookings(deployment: &Deployment, report: &DriverReport) -> Result<(), Failure> {
    if report.bookings.is_empty() {
        return Err(Failure::Violation(format!("{}: no bookings", report.name)));
    }
    for booking in &report.bookings {
        let starts = deployment.starts(&booking.payload);
        if !matches_outcome(booking, starts) {
            let Booking { payload, outcome } = booking;
            let reason = format!(
                "booking {payload} was started {starts} times, but its driver received {outcome:?}"
            );
            return Err(Failure::Violation(reason));
        }
    }
    Ok(())
}

fn matches_outcome(booking: &Booking, starts: u64) -> bool {
    match booking.outcome {
        Outcome::Answered { .. } => starts == 1,
        Outcome::NotRun { .. } => starts == 0,
        // Nothing in this demo fails permanently, so every booking must be answered.
        Outcome::Unknown | Outcome::Silent => false,
    }
}
