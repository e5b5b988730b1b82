//! The commands on the operators' page and in the README do what the pages say.
//!
//! Every line of a `sh` block is carried out as written, in the order of the page,
//! against real daemons and a stand-in platform. Lines are of these kinds:
//!
//! - `godwitreel ...`: run; its exit code must be 0 or what `# exit N` says,
//! - `godwitreeld --check FILE`: run; its exit code must be 0,
//! - `godwitreeld FILE`: starts the instance that the file is named after,
//! - `kill -TERM ... # on INSTANCE`: stops that instance, which must exit with 0.

mod program;
mod utils;

use std::path::Path;

use assert_cmd::cargo::cargo_bin_cmd;
use nix::sys::signal::Signal;
use program::Desk;
use utils::Cluster;
use utils::Plan;

/// Instances that the operator's settings name.
const KNOWN: [&str; 3] = ["bole-1", "kality-1", "merkato-1"];

/// One line that is to be carried out.
#[derive(Debug)]
struct Step {
    command: String,
    comment: String,
}

/// A part of a page and its lines.
#[derive(Debug, Default)]
struct Situation {
    title: String,
    steps: Vec<Step>,
}

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    std::fs::read_to_string(path).expect("the page")
}

/// A line, without its indentation, as a step.
fn step(line: &str) -> Step {
    let (command, comment) = line.split_once(" # ").unwrap_or((line, ""));
    Step {
        command: command.trim().to_owned(),
        comment: comment.trim().to_owned(),
    }
}

/// The steps of each part of a page, from its `sh` blocks.
fn situations(page: &str) -> Vec<Situation> {
    let mut situations = vec![Situation::default()];
    let mut inside = false;
    for line in page.lines() {
        if line.starts_with("```") {
            inside = line == "```sh";
        } else if let Some(title) = line.strip_prefix('#') {
            situations.push(Situation {
                title: title.trim_start_matches('#').trim().to_owned(),
                steps: Vec::new(),
            });
        } else if inside && let Some(situation) = situations.last_mut() {
            situation.steps.push(step(line));
        }
    }
    situations.retain(|situation| !situation.steps.is_empty());
    situations
}

impl Step {
    /// The exit code that the page promises.
    fn code(&self) -> i32 {
        match self.comment.strip_prefix("exit ") {
            Some(code) => code.parse().expect("a code"),
            None => 0,
        }
    }

    fn words(&self) -> Vec<&str> {
        self.command.split_whitespace().collect()
    }
}

/// A deployment that is not started yet, with the servers of `dispatch` listed and
/// no document of an operator.
async fn bare() -> Cluster {
    let cluster = Cluster::prepare(Plan::default()).await;
    cluster.platform.delete("godwitreel/services/dispatch");
    cluster.platform.delete("godwitreel/profiles/standard");
    cluster
}

fn place(cluster: &Cluster, name: &str) -> usize {
    let found = cluster.instances.iter().position(|i| i.name == name);
    found.unwrap_or_else(|| panic!("{name} was never started"))
}

/// Starts the instance that a settings file is named after, for the first time or
/// again, and waits until it tells of itself.
async fn start(cluster: &mut Cluster, file: &str) {
    let name = Path::new(file).file_stem().expect("a name");
    let name = name.to_str().expect("text").to_owned();
    let known = cluster.instances.iter().position(|i| i.name == name);
    let place = match known {
        Some(place) => {
            let instance = &mut cluster.instances[place];
            instance.launch();
            cluster.fabrics["dispatch"].add(instance.listeners["dispatch"]);
            place
        }
        None => {
            let zone: String = name.rsplit_once('-').expect("a zone").0.to_owned();
            cluster.add_as(zone.leak(), name.clone()).await
        }
    };
    let instance = &cluster.instances[place];
    let here = async || instance.status().await.is_some();
    cluster.until("an instance answers", here).await;
}

async fn stop(cluster: &mut Cluster, name: &str) {
    let place = place(cluster, name);
    cluster.unlist(place);
    let instance = &mut cluster.instances[place];
    instance.signal(Signal::SIGTERM);
    assert_eq!(instance.exited().await, Some(0), "{name} stops gracefully");
}

async fn carry_out(cluster: &mut Cluster, desk: &Desk, step: &Step) {
    match step.words().as_slice() {
        ["godwitreel", arguments @ ..] => {
            desk.configure(cluster, &KNOWN);
            let run = desk.run(arguments).await;
            assert_eq!(run.code, step.code(), "{step:?}: {run:?}");
        }
        ["godwitreeld", "--check", file] => {
            let root = env!("CARGO_MANIFEST_DIR");
            let mut command = cargo_bin_cmd!("godwitreeld");
            command.current_dir(root).args(["--check", file]);
            command.assert().code(step.code());
        }
        ["godwitreeld", file] => start(cluster, file).await,
        ["kill", "-TERM", ..] => {
            let name = step.comment.strip_prefix("on ").expect("an instance");
            stop(cluster, name).await;
        }
        _ => panic!("not understood: {step:?}"),
    }
}

/// Something that a situation of the page begins or ends with.
type Fault = fn(&mut Cluster);

/// The situations that are about a fault: how it comes, and how it goes.
const FAULTS: [(&str, Fault, Fault); 3] = [
    (
        "The platform is down",
        |cluster| cluster.platform.down(true),
        |cluster| cluster.platform.down(false),
    ),
    (
        "A zone is cut off",
        |cluster| signal(cluster, "merkato-1", Signal::SIGSTOP),
        |cluster| signal(cluster, "merkato-1", Signal::SIGCONT),
    ),
    (
        "An instance is replaced under the same name",
        |cluster| {
            let place = place(cluster, "kality-1");
            cluster.unlist(place);
            cluster.instances[place].kill();
        },
        |_| {},
    ),
];

fn signal(cluster: &Cluster, name: &str, signal: Signal) {
    cluster.instances[place(cluster, name)].signal(signal);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operators_page_does_what_it_says() {
    let situations = situations(&page("docs/OPERATIONS.md"));
    for (title, ..) in FAULTS {
        let told = situations.iter().any(|situation| situation.title == title);
        assert!(told, "the page has no longer a part about: {title}");
    }
    let mut cluster = bare().await;
    let desk = Desk::new();
    for situation in &situations {
        if !cluster.instances.is_empty() {
            cluster.settled().await;
        }
        let fault = FAULTS.iter().find(|(title, ..)| *title == situation.title);
        if let Some((_, begin, _)) = fault {
            begin(&mut cluster);
        }
        for step in &situation.steps {
            println!("{}: {}", situation.title, step.command);
            carry_out(&mut cluster, &desk, step).await;
        }
        if let Some((_, _, end)) = fault {
            end(&mut cluster);
        }
    }
    cluster.settled().await;
    let plot = std::fs::read_to_string(desk.file("burn.svg")).expect("a plot");
    assert!(plot.contains("<svg"), "{plot}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_readme_s_commands_work() {
    let readme = page("README.md");
    let lines = readme.lines().filter_map(|line| line.strip_prefix("    "));
    let steps: Vec<Step> = lines
        .filter(|l| l.starts_with("godwitreel"))
        .map(step)
        .collect();
    assert!(steps.len() >= 4, "{steps:?}");
    let mut cluster = bare().await;
    let desk = Desk::new();
    for step in &steps {
        carry_out(&mut cluster, &desk, step).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_sample_settings_of_the_tool_are_in_order() {
    let desk = Desk::new();
    let sample = "deploy/abay/operators/alem.jsonc";
    let arguments = ["--config", sample, "completions", "bash"];
    let run = desk.run(&arguments).await;
    assert_eq!(run.code, 0, "{run:?}");
}
