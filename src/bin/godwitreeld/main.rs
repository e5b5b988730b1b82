//! The daemon: reads its settings, runs one entry instance and stops on a signal.
//!
//! Exit codes: 0 after a graceful stop that interrupted no request, 1 if the settings
//! are refused or an address cannot be bound, 2 if requests were interrupted.

mod app;

use std::process::ExitCode;

use godwitreel::Result;
use godwitreel::daemon;
use godwitreel::log;
use godwitreel::settings;
use godwitreel::signal;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

const EXIT_FAILED: u8 = 1;
const EXIT_REQUESTS_CUT: u8 = 2;

fn main() -> ExitCode {
    let arguments = app::arguments().run();
    let settings = match settings::Daemon::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if arguments.check {
        println!("{}: settings are in order", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    // Dropped last: its drop waits until all log records are written.
    let (log, _log_guard) = log::logger(&settings.log);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run(settings, log)) {
        Ok(stopped) if stopped.cut == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_REQUESTS_CUT),
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("godwitreeld: {error}");
    ExitCode::from(EXIT_FAILED)
}

async fn run(settings: settings::Daemon, log: Logger) -> Result<daemon::Stopped> {
    let mut signals = Signals::new()?;
    let mut handle = daemon::start(settings, log.clone()).await?;
    info!(log, "running");
    signals.next().await;
    let graceful = tokio::select! {
        stopped = handle.stop() => Some(stopped),
        () = signals.next() => None,
    };
    if let Some(stopped) = graceful {
        return Ok(stopped);
    }
    let stopped = handle.abort();
    warn!(log, "second signal: aborting the graceful stop"; "cut" => stopped.cut, "kept" => stopped.kept);
    Ok(stopped)
}

/// The signals that stop the daemon: SIGTERM and SIGINT.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal::listen(SignalKind::terminate())?,
            interrupt: signal::listen(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
