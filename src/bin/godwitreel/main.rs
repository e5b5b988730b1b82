//! The operators' tool: profiles, services, drains and the state of instances.
//!
//! This file only parses, calls and turns results into exit codes.

mod app;
mod config;
mod exit;
mod run;

use std::process::ExitCode;

use crate::app::Call;
use crate::config::Config;
use crate::exit::Exit;

fn main() -> ExitCode {
    let call = app::options().run().merge();
    let config = match Config::load(&call.common) {
        Ok(config) => config,
        Err(error) => return fail(call.common.output.unwrap_or_default(), &error),
    };
    match start(call, &config) {
        Ok(exit) => exit.into(),
        Err(error) => fail(config.output, &error),
    }
}

fn start(call: Call, config: &Config) -> godwitreel::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| godwitreel::Error::Io {
            step: "start runtime",
            peer: "this process".to_owned(),
            source,
        })?;
    runtime.block_on(run::run(call.action, config))
}

/// Tells an error, which always means that nothing was written.
fn fail(output: godwitreel::render::Output, error: &godwitreel::Error) -> ExitCode {
    let exit = Exit::of(error);
    let failure = serde_json::json!({
        "outcome": "failed",
        "exit": exit.code(),
        "error": error.to_string(),
    });
    if output == godwitreel::render::Output::Json {
        run::say(&format!("{failure:#}"));
    }
    eprintln!("godwitreel: {error}");
    exit.into()
}
