//! Builds the loggers according to the settings.
//!
//! A separate thread writes the records, so that a slow reader of the log delays
//! no packet.

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

/// Most records that wait to be written; further records are dropped and counted.
const QUEUE_CAPACITY: usize = 4_096;

/// Waits until all records are written when it is dropped. Worker threads keep clones
/// of the logger until the process ends, so that dropping the logger would not flush
/// it. The last lines, which report the requests that a stop has cut off, would be
/// lost.
pub struct LogGuard(#[expect(dead_code, reason = "flushes the log when dropped")] AsyncGuard);

/// Builds a logger that writes to the standard error stream, and the guard that
/// flushes it.
pub fn logger(settings: &Log) -> (Logger, LogGuard) {
    match settings.format {
        Format::Json => {
            let json = slog_json::Json::new(io::stderr())
                .add_default_keys()
                .add_key_value(o!("module" => FnValue(module)))
                .build();
            async_logger(json.ignore_res(), settings)
        }
        Format::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let text = slog_term::CompactFormat::new(decorator).build();
            async_logger(text.ignore_res(), settings)
        }
    }
}

/// Builds a logger that writes JSON lines to the standard output in batches.
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

/// Module of a record. Records include it since levels are set by module.
fn module(record: &Record<'_>) -> &'static str {
    record.module()
}

fn async_logger<D>(drain: D, settings: &Log) -> (Logger, LogGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (queue, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_CAPACITY)
        .build_with_guard();
    let logger = Logger::root(filtered(queue, settings.clone()).fuse(), o!());
    (logger, LogGuard(guard))
}

/// Filters records by the level that the settings give their module.
pub fn filtered<D: Drain>(drain: D, settings: Log) -> impl Drain<Ok = Option<D::Ok>, Err = D::Err> {
    slog::Filter::new(drain, move |record: &Record<'_>| {
        let level = level_of(&settings, record.module());
        record.level().is_at_least(level)
    })
}

/// Level of the longest module path in the settings that contains the module, or the
/// default level.
fn level_of(settings: &Log, module: &str) -> slog::Level {
    let contains = |path: &str| {
        module
            .strip_prefix(path)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    };
    let longest = settings
        .modules
        .iter()
        .filter(|(path, _)| contains(path))
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
