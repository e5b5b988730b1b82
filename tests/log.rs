//! Filtering of log records by the level settings of their modules.

use std::sync::Arc;
use std::sync::Mutex;

use godwitreel::log;
use godwitreel::settings::Level;
use godwitreel::settings::Log;
use slog::Drain;
use slog::Logger;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog::debug;
use slog::info;
use slog::o;
use slog::warn;

/// A drain that collects the messages of all records it receives.
#[derive(Clone, Default)]
struct MessageCollector(Arc<Mutex<Vec<String>>>);

impl Drain for MessageCollector {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut messages = self.0.lock().expect("no panic");
        messages.push(record.msg().to_string());
        Ok(())
    }
}

mod quiet {
    use slog::Logger;
    use slog::info;
    use slog::warn;

    pub(super) fn log_messages(logger: &Logger) {
        info!(logger, "quiet info");
        warn!(logger, "quiet warning");
    }
}

fn logged_messages(settings: Log) -> Vec<String> {
    let collector = MessageCollector::default();
    let logger = Logger::root(log::filtered(collector.clone(), settings).fuse(), o!());
    debug!(logger, "debug");
    info!(logger, "info");
    warn!(logger, "warning");
    quiet::log_messages(&logger);
    let messages = collector.0.lock().expect("no panic");
    messages.clone()
}

fn settings(level: Level, modules: &[(&str, Level)]) -> Log {
    Log {
        level,
        modules: modules
            .iter()
            .map(|(module, level)| ((*module).to_owned(), *level))
            .collect(),
        ..Log::default()
    }
}

#[test]
fn level_holds_for_all_modules() {
    let messages = logged_messages(settings(Level::Warning, &[]));
    assert_eq!(messages, ["warning", "quiet warning"]);
}

#[test]
fn longest_module_path_counts() {
    let modules = [("log", Level::Debug), ("log::quiet", Level::Warning)];
    let messages = logged_messages(settings(Level::Error, &modules));
    assert_eq!(messages, ["debug", "info", "warning", "quiet warning"]);
    let modules = [("lo", Level::Debug)];
    assert_eq!(logged_messages(settings(Level::Error, &modules)), [""; 0]);
}
