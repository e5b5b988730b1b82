//! The operators' tool, run as its operators run it: with a settings file.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use assert_cmd::cargo::cargo_bin_cmd;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::utils::Cluster;

/// Longest run of the program before it counts as hanging.
const RUN_LIMIT: Duration = Duration::from_secs(90);

/// How one run of the program ended.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Run {
    /// Standard output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e} in {self:?}"))
    }
}

/// An operator's desk: a directory with the settings file in it.
pub(crate) struct Desk {
    dir: TempDir,
}

impl Desk {
    /// An empty directory from which the repository's samples are reachable by the
    /// paths that its pages use.
    pub(crate) fn new() -> Self {
        let dir = TempDir::new().expect("directory");
        let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
        std::os::unix::fs::symlink(deploy, dir.path().join("deploy")).expect("link");
        Self { dir }
    }

    /// Where a file of this name is.
    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes the settings file: a deployment's platform, and the instances that
    /// the operator knows by name.
    pub(crate) fn configure(&self, cluster: &Cluster, known: &[&str]) {
        let instances = cluster.instances.iter();
        let instances = instances.filter(|instance| known.contains(&instance.name.as_str()));
        let addresses: serde_json::Map<String, Value> = instances
            .map(|instance| (instance.name.clone(), instance.status.to_string().into()))
            .collect();
        let platform = format!("http://{}", cluster.platform.address());
        let settings = json!({
            "platform": [platform], "operator": "alem", "instances": addresses,
        });
        let text = format!("// Written by a test.\n{settings}\n");
        std::fs::write(self.file("tool.jsonc"), text).expect("settings");
    }

    /// Runs the program. It blocks a thread of its own, as the platform that it
    /// talks to runs on this runtime.
    pub(crate) async fn run(&self, arguments: &[&str]) -> Run {
        let mut command = cargo_bin_cmd!("godwitreel");
        command
            .current_dir(self.dir.path())
            .env("GODWITREEL_CONFIG", self.file("tool.jsonc"))
            .args(arguments)
            .timeout(RUN_LIMIT);
        let running = tokio::task::spawn_blocking(move || command.output().expect("a run"));
        let output = running.await.expect("a run");
        Run {
            code: output.status.code().expect("the program ends by itself"),
            out: String::from_utf8(output.stdout).expect("text"),
            err: String::from_utf8(output.stderr).expect("text"),
        }
    }
}
