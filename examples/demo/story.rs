//! What happens in the demo, in order, and what must hold at the end.

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
use crate::driver::Tally;
use crate::driver::Watched;
use crate::failure::Failure;
use crate::report;
use crate::report::Teller;

/// Time that passes between two things that happen.
const SCENE: Duration = Duration::from_secs(2);

/// Time for one answer.
const DEADLINE: Duration = Duration::from_secs(12);

/// The drivers, each with the seed of its random choices.
const DRIVERS: [(&str, u64); 2] = [("almaz", 1), ("bekele", 2)];

/// Both drivers at work.
struct Crew {
    stop: CancellationToken,
    watched: Vec<watch::Receiver<Watched>>,
    work: Vec<JoinHandle<Result<Tally, Failure>>>,
}

impl Crew {
    async fn start(deployment: &Deployment) -> Result<Self, Failure> {
        let mut crew = Self {
            stop: CancellationToken::new(),
            watched: Vec::new(),
            work: Vec::new(),
        };
        for (name, seed) in DRIVERS {
            let caller = deployment.caller("dispatch", seed).await?;
            let driver = Driver::new(name, caller, crew.stop.clone());
            crew.watched.push(driver.watched());
            crew.work.push(tokio::spawn(driver.work()));
        }
        Ok(crew)
    }

    /// The server that has the first driver's feed now.
    fn server(&self) -> String {
        self.watched[0].borrow().server.clone()
    }

    fn tell(&self, teller: &Teller) {
        for ((name, _), watched) in DRIVERS.iter().zip(&self.watched) {
            let feed = watched.borrow();
            teller.say(format_args!(
                "  {name}'s feed: {} notifications, now from {}, {} moves, longest wait {} ms",
                feed.notifications,
                feed.server,
                feed.moves,
                feed.longest.as_millis(),
            ));
        }
    }

    async fn finish(self) -> Result<Vec<Tally>, Failure> {
        self.stop.cancel();
        let mut tallies = Vec::new();
        for work in self.work {
            let done = work.await;
            tallies.push(done.map_err(|error| Failure::Broken(error.to_string()))??);
        }
        Ok(tallies)
    }
}

/// Plays the whole demo.
pub(crate) async fn tell() -> Result<(), Failure> {
    let teller = Teller::new();
    let mut deployment = Deployment::start().await?;
    teller.say("started: platform, two services with five backend servers, three instances");
    deployment.settled().await?;
    teller.say("every slice has a home and a backup");
    let crew = Crew::start(&deployment).await?;
    teller.say("two drivers open their feeds and book pickups; any packet may reach any instance");
    sleep(SCENE).await;
    crew.tell(&teller);
    upload_sheet(&deployment, &teller).await?;
    stop_instance(&mut deployment, &teller).await?;
    crew.tell(&teller);
    drain_server(&deployment, &crew, &teller).await?;
    change_profile(&deployment, &teller).await?;
    sleep(SCENE).await;
    let tallies = crew.finish().await?;
    teller.say("the drivers stop");
    report::drivers(&tallies);
    report::servers(&deployment.counts());
    for tally in &tallies {
        check(&deployment, tally)?;
    }
    if deployment.wrong_service() > 0 {
        let reason = "a packet reached a server of another service";
        return Err(Failure::Broken(reason.to_owned()));
    }
    deployment.end();
    Ok(())
}

async fn upload_sheet(deployment: &Deployment, teller: &Teller) -> Result<(), Failure> {
    const BLOCK: usize = 256;
    let depot = deployment.caller("ledger", 3).await?;
    let sheet = "weighbridge;kg\n".repeat(100);
    let mut upload = depot.upload(RequestType::Put, "/sheet", sheet, BLOCK);
    match upload.finish(DEADLINE).await {
        Outcome::Answered {
            code: ResponseType::Changed,
            ..
        } => {
            teller.say("a depot has uploaded a batch sheet in blocks");
            Ok(())
        }
        other => Err(Failure::Broken(format!("batch sheet: {other:?}"))),
    }
}

async fn stop_instance(deployment: &mut Deployment, teller: &Teller) -> Result<(), Failure> {
    const PLACE: usize = 1;
    let name = deployment.instances[PLACE].name.clone();
    teller.say(format_args!("instance {name} is told to stop"));
    let stopped = deployment.stop_instance(PLACE).await;
    teller.say(format_args!(
        "instance {name} has stopped: {} requests cut off, {} slices not handed over",
        stopped.cut, stopped.kept,
    ));
    if stopped.cut > 0 || stopped.kept > 0 {
        return Err(Failure::Broken(format!("{name}: {stopped:?}")));
    }
    Ok(())
}

async fn drain_server(
    deployment: &Deployment,
    crew: &Crew,
    teller: &Teller,
) -> Result<(), Failure> {
    let name = crew.server();
    teller.say(format_args!("backend server {name} drains"));
    deployment.drain_server(&name);
    deployment.vacated(&name).await?;
    sleep(SCENE).await;
    teller.say(format_args!("backend server {name} has no feed left"));
    crew.tell(teller);
    Ok(())
}

async fn change_profile(deployment: &Deployment, teller: &Teller) -> Result<(), Failure> {
    const REVISION: u64 = 2;
    teller.say("the profile is changed: a shorter deadline");
    deployment.change_profile(REVISION, &json!({"deadline_ms": 6_000}));
    deployment.in_force(REVISION).await?;
    teller.say("revision 2 is in force at every instance");
    Ok(())
}

/// Whether each booking ran as often as its driver was told.
fn check(deployment: &Deployment, tally: &Tally) -> Result<(), Failure> {
    if tally.bookings.is_empty() {
        return Err(Failure::Broken(format!("{}: no bookings", tally.name)));
    }
    for booking in &tally.bookings {
        let starts = deployment.starts(&booking.payload);
        if !is_true(booking, starts) {
            let Booking { payload, outcome } = booking;
            let reason = format!("booking {payload} was started {starts} times, told {outcome:?}");
            return Err(Failure::Broken(reason));
        }
    }
    Ok(())
}

fn is_true(booking: &Booking, starts: u64) -> bool {
    match booking.outcome {
        Outcome::Answered { .. } => starts == 1,
        Outcome::NotRun { .. } => starts == 0,
        // Nothing fails for good in this demo, so that every booking gets its answer.
        Outcome::Unknown | Outcome::Silent => false,
    }
}
