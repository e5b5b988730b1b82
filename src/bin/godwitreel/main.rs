//! The operators' tool: profiles, services, drains and the state of instances.
//!
//! This file parses the command line, runs the command and sets the exit code.

mod app;
mod config;
mod exit;
mod run;

use std::process::ExitCode;

use crate::app::Invocation;
use crate::config::Config;
use crate::exit::Exit;

fn main() -> ExitCode {
    let invocation = app::options().run().merge();
    let config = match Config::load(&invocation.common) {
        Ok(config) => config,
        Err(error) => return fail(invocation.common.output.unwrap_or_default(), &error),
    };
    match start(invocation, &config) {
        Ok(exit) => exit.into(),
        Err(error) => fail(config.output, &error),
    }
}

fn start(invocation: Invocation, config: &Config) -> godwitreel::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| godwitreel::Error::Io {
            step: "start runtime",
            peer: "this process".to_owned(),
            source,
        })?;
    runtime.block_on(run::run(invocation.action, config))
}

/// Prints an error and returns its exit code. An error always means that nothing was
/// written.
fn fail(output: godwitreel::render::Output, error: &godwitreel::Error) -> ExitCode {
    let exit = Exit::for_error(error);
    let failure = serde_json::json!({
        "outcome": "failed",
        "exit": exit.code(),
        "error": error.to_string(),
    });
    if output == godwitreel::render::Output::Json {
        run::print_line(&format!("{failure:#}"));
    }
    eprintln!("godwitreel: {error}");
    exit.into()
}
