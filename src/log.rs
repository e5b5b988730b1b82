//! The logger, as the settings want it.
//!
//! Records go to the standard error stream from a thread of their own, so that
//! a slow reader of the log holds up no packet.

use std::io;
use std::sync::Mutex;

use slog::Drain;
use slog::FnValue;
use slog::Logger;
use slog::Record;
use slog::o;
use slog_async::AsyncGuard;

use crate::error::Error;
use crate::error::Result;
use crate::settings::Format;
use crate::settings::Level;
use crate::settings::Log;
use crate::sink;

pub use crate::sink::Guard;

/// Records that may wait for being written; more are dropped and counted.
const QUEUE: usize = 4_096;

/// Waits, when it is dropped, until all records are written. Worker threads keep
/// clones of the logger to the end, so that without it the last lines would be
/// lost, which are those that tell what a stop has cut off.
pub struct LogGuard(#[expect(dead_code, reason = "it acts when it is dropped")] AsyncGuard);

/// Builds the logger and what completes its records.
pub fn logger(settings: &Log) -> (Logger, LogGuard) {
    match settings.format {
        Format::Json => {
            let json = slog_json::Json::new(io::stderr())
                .add_default_keys()
                .add_key_value(o!("module" => FnValue(module)))
                .build();
            queued(json.ignore_res(), settings)
        }
        Format::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let text = slog_term::CompactFormat::new(decorator).build();
            queued(text.ignore_res(), settings)
        }
    }
}

/// Builds a logger that writes JSON lines to the standard output, many at once.
///
/// # Errors
///
/// Fails when its thread cannot be started.
pub fn stdout_logger(settings: &Log) -> Result<(Logger, Guard)> {
    let (sink, guard) = sink::sink(io::stdout()).map_err(|source| Error::Io {
        step: "start log thread",
        peer: "system".to_owned(),
        source,
    })?;
    let json = slog_json::Json::new(sink)
        .add_default_keys()
        .add_key_value(o!("module" => FnValue(module)))
        .build();
    let drain = filtered(Mutex::new(json).ignore_res(), settings.clone());
    Ok((Logger::root(drain.fuse(), o!()), guard))
}

/// The module is what levels are set by, so each record names its own.
fn module(record: &Record<'_>) -> &'static str {
    record.module()
}

fn queued<D>(drain: D, settings: &Log) -> (Logger, LogGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (queue, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .build_with_guard();
    let logger = Logger::root(filtered(queue, settings.clone()).fuse(), o!());
    (logger, LogGuard(guard))
}

/// Passes on what the settings of a record's module allow.
pub fn filtered<D: Drain>(drain: D, settings: Log) -> impl Drain<Ok = Option<D::Ok>, Err = D::Err> {
    slog::Filter::new(drain, move |record: &Record<'_>| {
        let level = level_of(&settings, record.module());
        record.level().is_at_least(level)
    })
}

/// The level of the module, or of the longest path that holds it.
fn level_of(settings: &Log, module: &str) -> slog::Level {
    let holds = |path: &str| {
        module
            .strip_prefix(path)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    };
    let longest = settings
        .modules
        .iter()
        .filter(|(path, _)| holds(path))
        .max_by_key(|(path, _)| path.len());
    longest.map_or(settings.level, |(_, level)| *level).into()
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Critical => Self::Critical,
            Level::Error => Self::Error,
            Level::Warning => Self::Warning,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}
