//! Runs one command and prints its result.

use std::io::Write;
use std::path::Path;
use std::time::Duration;

use godwitreel::Error;
use godwitreel::Result;
use godwitreel::command;
use godwitreel::command::change::Change;
use godwitreel::command::change::Outcome;
use godwitreel::document;
use godwitreel::fleet::Fleet;
use godwitreel::id;
use godwitreel::platform::Client;
use godwitreel::platform::Options;
use godwitreel::query;
use godwitreel::query::departure::Departure;
use godwitreel::query::departure::Goal;
use godwitreel::query::evacuation::Evacuation;
use godwitreel::query::rollout::Rollout;
use godwitreel::render;
use godwitreel::render::Output;
use godwitreel::settings;
use serde::Serialize;

use crate::app;
use crate::app::Action;
use crate::app::Drain;
use crate::app::Profile;
use crate::app::Service;
use crate::config::Config;
use crate::exit::Exit;

/// A command's result and, with `--wait`, the progress of its effect.
#[derive(Serialize)]
struct WithProgress<T, W> {
    #[serde(flatten)]
    result: T,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait: Option<W>,
}

/// Runs a command.
pub(crate) async fn run(action: Action, config: &Config) -> Result<Exit> {
    if let Action::Completions(shell) = action {
        print_line(&app::completion_script(shell));
        return Ok(Exit::Done);
    }
    if let Action::View(address) = action {
        let status = query::view::view(address, config.instance_timeout).await?;
        print(config, &status, render::view);
        return Ok(Exit::Done);
    }
    let fleet = connect(config)?;
    match action {
        Action::Profile(action) => profile(action, config, &fleet).await,
        Action::Service(action) => service(action, config, &fleet).await,
        Action::Drain(action) => drain(action, config, &fleet).await,
        Action::Status => {
            let status = query::status::status(&fleet).await?;
            print(config, &status, render::status);
            Ok(Exit::for_completeness(status.is_complete()))
        }
        Action::Explain { service, caller } => {
            let history = query::explain::explain(&fleet, &service, caller).await?;
            print(config, &history, render::caller_history);
            Ok(Exit::for_completeness(history.is_complete()))
        }
        Action::Burn { plot } => burn(config, &fleet, plot.as_deref()).await,
        Action::View(_) | Action::Completions(_) => Ok(Exit::Done),
    }
}

fn connect(config: &Config) -> Result<Fleet> {
    let options = Options {
        seed: rand::random(),
        ..Options::default()
    };
    let client = Client::new(config.platform()?, options)?;
    let client = match &config.platform_era_header {
        Some(header) => client.with_era_header(header.clone()),
        None => client,
    };
    Fleet::new(client, config.instances.clone(), config.instance_timeout)
}

fn print<T: Serialize>(config: &Config, result: &T, table: impl FnOnce(&T) -> String) {
    print_line(&config.output.text(result, table));
}

/// Prints text and a line end to standard output. A write error, such as a closed pipe,
/// is ignored so that it does not change the exit code.
pub(crate) fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

async fn profile(action: Profile, config: &Config, fleet: &Fleet) -> Result<Exit> {
    let client = fleet.platform();
    match action {
        Profile::Apply {
            expect,
            wait,
            name,
            file,
        } => {
            let body = read_profile(&file)?;
            let operator = config.operator()?;
            let change = command::profile::apply(client, operator, &name, body, expect).await?;
            Ok(report_change(config, fleet, change, wait).await)
        }
        Profile::Get(name) => {
            let profile = query::profile::get(client, &name).await?;
            print(config, &profile, render::envelope);
            Ok(Exit::Done)
        }
        Profile::List => {
            let profiles = query::profile::list(client).await?;
            print(config, &profiles, |profiles| render::profiles(profiles));
            Ok(Exit::Done)
        }
        Profile::Diff { name, file } => {
            let diff = query::profile::diff(client, &name, &read_profile(&file)?).await?;
            print(config, &diff, render::diff);
            Ok(Exit::Done)
        }
        Profile::History(name) => {
            let history = query::profile::history(client, &name).await?;
            print(config, &history, |history| render::profiles(history));
            Ok(Exit::Done)
        }
    }
}

fn read_profile(file: &Path) -> Result<document::Profile> {
    settings::profile(file, &settings::read(file)?)
}

async fn service(action: Service, config: &Config, fleet: &Fleet) -> Result<Exit> {
    let client = fleet.platform();
    match action {
        Service::Choose {
            wait,
            service,
            profile,
        } => {
            let operator = config.operator()?;
            let change = command::service::choose(client, operator, &service, &profile).await?;
            Ok(report_change(config, fleet, change, wait).await)
        }
        Service::Add {
            service,
            address,
            profile,
        } => {
            let body = document::Service { profile, address };
            let operator = config.operator()?;
            let change = command::service::add(client, operator, &service, body).await?;
            Ok(report_change(config, fleet, change, None).await)
        }
        Service::Get(name) => {
            let service = query::service::get(client, &name).await?;
            print(config, &service, render::envelope);
            Ok(Exit::Done)
        }
        Service::List => {
            let services = query::service::list(client).await?;
            print(config, &services, |services| render::services(services));
            Ok(Exit::Done)
        }
    }
}

/// Waits until an accepted change is in force if `limit` is given, then prints the result.
async fn report_change<T: Serialize>(
    config: &Config,
    fleet: &Fleet,
    result: Change<T>,
    limit: Option<Duration>,
) -> Exit {
    let wait = match (result.accepted(), limit) {
        (Some(revision), Some(limit)) => {
            Some(query::rollout::wait(fleet, &result.document, revision, limit).await)
        }
        _ => None,
    };
    let exit = match &result.outcome {
        Outcome::Accepted { .. } => {
            Exit::for_completeness(wait.as_ref().is_none_or(Rollout::is_complete))
        }
        Outcome::Refused { .. } => Exit::Refused,
        Outcome::Unknown { .. } => Exit::Unknown,
    };
    let progress = WithProgress { result, wait };
    print(config, &progress, |progress| {
        let rollout = progress.wait.as_ref().map(render::rollout);
        join_lines(render::change(&progress.result), rollout)
    });
    exit
}

async fn drain(action: Drain, config: &Config, fleet: &Fleet) -> Result<Exit> {
    let client = fleet.platform();
    let operator = config.operator()?;
    match action {
        Drain::Instance { undo, wait, name } => {
            let result = command::drain::instance(client, operator, &name, undo).await?;
            let accepted = result.outcome == command::drain::Outcome::Accepted;
            let wait = match wait.filter(|_| accepted) {
                Some(limit) => Some(wait_for_departure(fleet, &name, undo, limit).await),
                None => None,
            };
            Ok(report_drain(config, result, wait))
        }
        Drain::Server { undo, name } => {
            let result = command::drain::server(client, operator, &name, undo).await?;
            Ok(report_drain(config, result, None))
        }
        Drain::Zone { undo, wait, name } => {
            let result = command::drain::zone(client, operator, &name, undo).await?;
            let accepted = result.outcome == command::drain::Outcome::Accepted;
            let wait = match wait.filter(|_| accepted) {
                Some(limit) => Some(query::evacuation::wait(fleet, &name, !undo, limit).await),
                None => None,
            };
            let exit = Exit::for_completeness(wait.as_ref().is_none_or(Evacuation::is_complete));
            let exit = order_exit(result.outcome, exit);
            let progress = WithProgress { result, wait };
            print(config, &progress, |progress| {
                let evacuation = progress.wait.as_ref().map(render::evacuation);
                join_lines(render::drain(&progress.result), evacuation)
            });
            Ok(exit)
        }
    }
}

async fn wait_for_departure(
    fleet: &Fleet,
    name: &id::Instance,
    undo: bool,
    limit: Duration,
) -> Departure {
    let goal = if undo { Goal::Staying } else { Goal::Drained };
    query::departure::wait(fleet, name, goal, limit).await
}

/// Exit status of an order; `accepted` is the status of an accepted one.
fn order_exit(outcome: command::drain::Outcome, accepted: Exit) -> Exit {
    match outcome {
        command::drain::Outcome::Accepted => accepted,
        command::drain::Outcome::Refused => Exit::Refused,
        command::drain::Outcome::Unknown => Exit::Unknown,
    }
}

fn report_drain(config: &Config, result: command::drain::Drain, wait: Option<Departure>) -> Exit {
    let reached = wait.as_ref().is_none_or(|departure| departure.reached);
    let exit = order_exit(result.outcome, Exit::for_completeness(reached));
    let progress = WithProgress { result, wait };
    print(config, &progress, |progress| {
        let departure = progress.wait.as_ref().map(render::departure);
        join_lines(render::drain(&progress.result), departure)
    });
    exit
}

fn join_lines(first: String, second: Option<String>) -> String {
    match second {
        Some(second) => format!("{first}\n{second}"),
        None => first,
    }
}

async fn burn(config: &Config, fleet: &Fleet, plot: Option<&Path>) -> Result<Exit> {
    let report = query::burn::report(fleet, config.instance_timeout).await?;
    let text = match config.output {
        Output::Table => report.text(),
        Output::Json => report.json()?,
    };
    // The plot is written before the report is printed: a failure prints a JSON value of
    // its own, and standard output must hold exactly one.
    if let Some(path) = plot {
        write_plot(path, &report.svg()?)?;
    }
    print_line(&text);
    Ok(Exit::for_completeness(report.is_complete()))
}

fn write_plot(path: &Path, plot: &str) -> Result<()> {
    std::fs::write(path, plot).map_err(|source| Error::Io {
        step: "write plot",
        peer: path.display().to_string(),
        source,
    })
}
