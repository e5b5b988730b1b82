//! Runs the `godwitreel` program with a settings file, as operators do.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use assert_cmd::cargo::cargo_bin_cmd;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::utils::Cluster;

/// Time after which a run of the program is taken for stuck and killed.
const RUN_LIMIT: Duration = Duration::from_secs(90);

/// Exit code and output of one run of the program.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Run {
    /// Standard output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e} in {self:?}"))
    }
}

/// Working directory of an operator, with the tool's settings file.
pub(crate) struct OperatorDir {
    dir: TempDir,
}

impl OperatorDir {
    /// Creates a directory that links to the repository's sample settings, so that the
    /// paths in the documentation work there.
    pub(crate) fn new() -> Self {
        let dir = TempDir::new().expect("directory");
        let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
        std::os::unix::fs::symlink(deploy, dir.path().join("deploy")).expect("symbolic link");
        Self { dir }
    }

    /// Path of a file in the directory.
    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes the settings file with a deployment's platform and the status addresses
    /// of the instances in `known`.
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

    /// Runs the program on a blocking thread, since the stand-in platform that it calls
    /// runs on the test's runtime.
    pub(crate) async fn run(&self, arguments: &[&str]) -> Run {
        let mut command = cargo_bin_cmd!("godwitreel");
        command
            .current_dir(self.dir.path())
            .env("GODWITREEL_CONFIG", self.file("tool.jsonc"))
            .args(arguments)
            .timeout(RUN_LIMIT);
        let running =
            tokio::task::spawn_blocking(move || command.output().expect("program output"));
        let output = running.await.expect("program output");
        Run {
            code: output.status.code().expect("exit code"),
            stdout: String::from_utf8(output.stdout).expect("text"),
            stderr: String::from_utf8(output.stderr).expect("text"),
        }
    }
}
