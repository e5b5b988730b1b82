//! Checks that the commands in docs/OPERATIONS.md and README.md do what these pages
//! say.
//!
//! Every line of a `sh` block is run as written, in the order of the page, against
//! real daemons and a stand-in platform. These commands are supported:
//!
//! - `godwitreel ...` runs the tool; the exit code must be 0, or N with `# exit N`.
//! - `godwitreeld --check FILE` checks settings; the exit code must be 0.
//! - `godwitreeld FILE` starts the instance that the file is named after.
//! - `kill -TERM ... # on INSTANCE` stops that instance; its exit code must be 0.

mod program;
mod utils;

use std::path::Path;

use assert_cmd::cargo::cargo_bin_cmd;
use nix::sys::signal::Signal;
use program::OperatorDir;
use utils::Cluster;
use utils::Plan;

/// Instances that are listed in the operator's settings.
const LISTED_INSTANCES: [&str; 3] = ["bole-1", "kality-1", "merkato-1"];

/// One line of a `sh` block.
#[derive(Debug)]
struct Step {
    command: String,
    comment: String,
}

/// A section of a page and its command lines.
#[derive(Debug, Default)]
struct Section {
    title: String,
    steps: Vec<Step>,
}

fn read_page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    std::fs::read_to_string(path).expect("page")
}

/// Parses a line.
fn parse_step(line: &str) -> Step {
    let (command, comment) = line.split_once(" # ").unwrap_or((line, ""));
    Step {
        command: command.trim().to_owned(),
        comment: comment.trim().to_owned(),
    }
}

/// Returns the sections of a page that have `sh` blocks, with their lines.
fn parse_sections(page: &str) -> Vec<Section> {
    let mut sections = vec![Section::default()];
    let mut is_in_block = false;
    for line in page.lines() {
        if line.starts_with("```") {
            is_in_block = line == "```sh";
        } else if let Some(title) = line.strip_prefix('#') {
            sections.push(Section {
                title: title.trim_start_matches('#').trim().to_owned(),
                steps: Vec::new(),
            });
        } else if is_in_block && let Some(section) = sections.last_mut() {
            section.steps.push(parse_step(line));
        }
    }
    sections.retain(|section| !section.steps.is_empty());
    sections
}

impl Step {
    /// The exit code that the page states.
    fn expected_code(&self) -> i32 {
        match self.comment.strip_prefix("exit ") {
            Some(code) => code.parse().expect("exit code"),
            None => 0,
        }
    }

    fn words(&self) -> Vec<&str> {
        self.command.split_whitespace().collect()
    }
}

/// Prepares a deployment without instances: the servers of `dispatch` are listed, and
/// the store has no documents written by operators.
async fn prepare_without_documents() -> Cluster {
    let cluster = Cluster::prepare(Plan::default()).await;
    cluster.platform.delete("godwitreel/services/dispatch");
    cluster.platform.delete("godwitreel/profiles/standard");
    cluster
}

fn instance_index(cluster: &Cluster, name: &str) -> usize {
    let found = cluster.instances.iter().position(|i| i.name == name);
    found.unwrap_or_else(|| panic!("{name} has not been started"))
}

/// Starts or restarts the instance that a settings file is named after, and waits
/// until it answers status requests.
async fn start(cluster: &mut Cluster, file: &str) {
    let name = Path::new(file).file_stem().expect("a name");
    let name = name.to_str().expect("text").to_owned();
    let known = cluster.instances.iter().position(|i| i.name == name);
    let index = match known {
        Some(index) => {
            let instance = &mut cluster.instances[index];
            instance.launch();
            cluster.fabrics["dispatch"].add(instance.listeners["dispatch"]);
            index
        }
        None => {
            let zone: String = name.rsplit_once('-').expect("a zone").0.to_owned();
            cluster.add_as(zone.leak(), name.clone()).await
        }
    };
    let instance = &cluster.instances[index];
    let has_answered = async || instance.status().await.is_some();
    cluster
        .wait_until("the instance answers status requests", has_answered)
        .await;
}

async fn stop(cluster: &mut Cluster, name: &str) {
    let index = instance_index(cluster, name);
    cluster.remove_from_fabrics(index);
    let instance = &mut cluster.instances[index];
    instance.signal(Signal::SIGTERM);
    assert_eq!(
        instance.wait_for_exit().await,
        Some(0),
        "{name} stops gracefully"
    );
}

async fn carry_out(cluster: &mut Cluster, operator_dir: &OperatorDir, step: &Step) {
    match step.words().as_slice() {
        ["godwitreel", arguments @ ..] => {
            operator_dir.configure(cluster, &LISTED_INSTANCES);
            let run = operator_dir.run(arguments).await;
            assert_eq!(run.code, step.expected_code(), "{step:?}: {run:?}");
        }
        ["godwitreeld", "--check", file] => {
            let root = env!("CARGO_MANIFEST_DIR");
            let mut command = cargo_bin_cmd!("godwitreeld");
            command.current_dir(root).args(["--check", file]);
            command.assert().code(step.expected_code());
        }
        ["godwitreeld", file] => start(cluster, file).await,
        ["kill", "-TERM", ..] => {
            let name = step.comment.strip_prefix("on ").expect("an instance");
            stop(cluster, name).await;
        }
        _ => panic!("unsupported command: {step:?}"),
    }
}

/// Begins or ends a fault.
type FaultAction = fn(&mut Cluster);

/// Titles of the sections that describe a fault, with the functions that begin and
/// end that fault.
const FAULTS: [(&str, FaultAction, FaultAction); 3] = [
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
            let index = instance_index(cluster, "kality-1");
            cluster.remove_from_fabrics(index);
            cluster.instances[index].kill();
        },
        |_| {},
    ),
];

fn signal(cluster: &Cluster, name: &str, signal: Signal) {
    cluster.instances[instance_index(cluster, name)].signal(signal);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operators_page_does_what_it_says() {
    let sections = parse_sections(&read_page("docs/OPERATIONS.md"));
    for (title, ..) in FAULTS {
        let is_found = sections.iter().any(|section| section.title == title);
        assert!(
            is_found,
            "docs/OPERATIONS.md no longer has a section titled {title:?}"
        );
    }
    let mut cluster = prepare_without_documents().await;
    let operator_dir = OperatorDir::new();
    for section in &sections {
        if !cluster.instances.is_empty() {
            cluster.wait_until_settled().await;
        }
        let fault = FAULTS.iter().find(|(title, ..)| *title == section.title);
        if let Some((_, begin, _)) = fault {
            begin(&mut cluster);
        }
        for step in &section.steps {
            println!("{}: {}", section.title, step.command);
            carry_out(&mut cluster, &operator_dir, step).await;
        }
        if let Some((_, _, end)) = fault {
            end(&mut cluster);
        }
    }
    cluster.wait_until_settled().await;
    let plot = std::fs::read_to_string(operator_dir.file("burn.svg")).expect("a plot");
    assert!(plot.contains("<svg"), "{plot}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_readme_s_commands_work() {
    let readme = read_page("README.md");
    let lines = readme.lines().filter_map(|line| line.strip_prefix("    "));
    let steps: Vec<Step> = lines
        .filter(|l| l.starts_with("godwitreel"))
        .map(parse_step)
        .collect();
    assert!(steps.len() >= 4, "{steps:?}");
    let mut cluster = prepare_without_documents().await;
    let operator_dir = OperatorDir::new();
    for step in &steps {
        carry_out(&mut cluster, &operator_dir, step).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_sample_settings_of_the_tool_are_in_order() {
    let operator_dir = OperatorDir::new();
    let sample = "deploy/abay/operators/alem.jsonc";
    let arguments = ["--config", sample, "completions", "bash"];
    let run = operator_dir.run(&arguments).await;
    assert_eq!(run.code, 0, "{run:?}");
}
