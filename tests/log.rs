//! Which records the settings let through.

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

/// Keeps the messages that reach it.
#[derive(Clone, Default)]
struct Shelf(Arc<Mutex<Vec<String>>>);

impl Drain for Shelf {
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

    pub(super) fn speak(logger: &Logger) {
        info!(logger, "quiet info");
        warn!(logger, "quiet warning");
    }
}

fn written(settings: Log) -> Vec<String> {
    let shelf = Shelf::default();
    let logger = Logger::root(log::filtered(shelf.clone(), settings).fuse(), o!());
    debug!(logger, "debug");
    info!(logger, "info");
    warn!(logger, "warning");
    quiet::speak(&logger);
    let messages = shelf.0.lock().expect("no panic");
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
    let all = written(settings(Level::Warning, &[]));
    assert_eq!(all, ["warning", "quiet warning"]);
}

#[test]
fn longest_module_path_counts() {
    let modules = [("log", Level::Debug), ("log::quiet", Level::Warning)];
    let some = written(settings(Level::Error, &modules));
    assert_eq!(some, ["debug", "info", "warning", "quiet warning"]);
    let modules = [("lo", Level::Debug)];
    assert_eq!(written(settings(Level::Error, &modules)), [""; 0]);
}
