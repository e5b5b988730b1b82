//! Runs the fault injection test for each seed and reports the violated guarantees.
//!
//! Exit codes: 0 without violations, 1 with violations, 2 when a run could not be
//! carried out.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use soak::Error;
use soak::Result;
use soak::net::AddressPlan;
use soak::report;
use soak::testbed;
use soak::testbed::Options;
use soak::testbed::Size;
use tokio::runtime::Runtime;

/// Inclusive range of seeds
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seeds {
    first: u64,
    last: u64,
}

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let parse_number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text:?}: {e}"));
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        Ok(Self {
            first: parse_number(first)?,
            last: parse_number(last)?,
        })
    }
}

/// Randomized faults around real entry instances
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Seeds, as in 1..50
    #[bpaf(argument("A..B"))]
    seeds: Seeds,
    /// Seconds of faults in each run
    #[bpaf(argument("S"), fallback(20))]
    seconds: u64,
    /// Entry instances
    #[bpaf(argument("N"), fallback(4))]
    instances: u8,
    /// Callers
    #[bpaf(argument("N"), fallback(12))]
    callers: u8,
    /// Adds a service with two priorities and bursts of openings
    overloads: bool,
    /// Program of the entry instances
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("target/release/godwitreel-entry"))
    )]
    program: PathBuf,
    /// Folder for settings, logs, reports and plots
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("target/soak")))]
    folder: PathBuf,
    /// Second byte of the loopback addresses; differs between runs side by side
    #[bpaf(argument("N"), fallback(60))]
    block: u8,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let mut breach_count = 0;
    for seed in arguments.seeds.first..=arguments.seeds.last {
        match run(&arguments, seed) {
            Ok(breaches) => breach_count += breaches,
            Err(error) => {
                eprintln!("soak: seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    if breach_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run(arguments: &Arguments, seed: u64) -> Result<usize> {
    let folder = arguments.folder.join(format!("seed-{seed}"));
    recreate_folder(&folder)?;
    let options = Options {
        seed,
        size: Size {
            instances: arguments.instances,
            servers: 4,
            callers: arguments.callers,
            faults_for: Duration::from_secs(arguments.seconds),
        },
        program: arguments.program.clone(),
        folder: folder.clone(),
        plan: AddressPlan {
            block: arguments.block,
            port: 7_000,
        },
        evacuates: true,
        restores: true,
        overloads: arguments.overloads,
    };
    // Dropping the runtime ends all tasks of the run and closes their sockets.
    let runtime = Runtime::new().map_err(|error| Error::Process {
        name: "runtime".to_owned(),
        reason: error.to_string(),
    })?;
    let summary = runtime.block_on(testbed::run(options))?;
    drop(runtime);
    let text = report::text(seed, &summary);
    print!("{text}");
    write_file(&folder.join("report.txt"), &text)?;
    report::plot(&folder.join("plot.svg"), &summary)?;
    Ok(summary.breaches.len())
}

fn recreate_folder(folder: &Path) -> Result<()> {
    let failed = |source| Error::File {
        path: folder.to_owned(),
        source,
    };
    if folder.exists() {
        std::fs::remove_dir_all(folder).map_err(failed)?;
    }
    std::fs::create_dir_all(folder).map_err(failed)
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}
