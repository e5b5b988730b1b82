//! The tool's own settings: a file in JSON with comments, then the command line.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use godwitreel::Error;
use godwitreel::Result;
use godwitreel::id;
use godwitreel::platform::BaseUrl;
use godwitreel::render::Output;
use godwitreel::settings;
use serde::Deserialize;

use crate::app::Common;

/// Time for an instance's answer unless the file says otherwise, in milliseconds.
const INSTANCE_TIMEOUT_MS: u64 = 2_000;
/// Longest such time, in milliseconds.
const LONGEST_TIMEOUT_MS: u64 = 60_000;

/// The file.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    /// Addresses of the platform's service, which are one store.
    platform: Vec<BaseUrl>,
    /// Who makes the changes.
    operator: Option<id::Operator>,
    /// Status addresses that are asked also when the platform is down.
    instances: BTreeMap<id::Instance, id::Endpoint>,
    /// Time for an instance's answer, in milliseconds.
    instance_timeout_ms: Option<u64>,
}

/// What holds for this call.
pub(crate) struct Config {
    pub(crate) platform: Vec<BaseUrl>,
    pub(crate) operator: Option<id::Operator>,
    pub(crate) instances: BTreeMap<id::Instance, id::Endpoint>,
    pub(crate) instance_timeout: Duration,
    pub(crate) output: Output,
}

impl Config {
    /// Reads the file, if one is given, and lets the command line override it.
    pub(crate) fn load(common: &Common) -> Result<Self> {
        let file = match &common.config {
            Some(path) => parse(path)?,
            None => File::default(),
        };
        let platform = match common.platform.as_slice() {
            [] => file.platform,
            given => given.to_vec(),
        };
        let timeout_ms = file.instance_timeout_ms.unwrap_or(INSTANCE_TIMEOUT_MS);
        if !(1..=LONGEST_TIMEOUT_MS).contains(&timeout_ms) {
            let allowed = format!("1 to {LONGEST_TIMEOUT_MS}");
            return Err(refuse("instance_timeout_ms", timeout_ms, &allowed));
        }
        Ok(Self {
            platform,
            operator: common.operator.clone().or(file.operator),
            instances: file.instances,
            instance_timeout: Duration::from_millis(timeout_ms),
            output: common.output.unwrap_or_default(),
        })
    }

    /// The operator's name, which every change carries.
    pub(crate) fn operator(&self) -> Result<&id::Operator> {
        self.operator.as_ref().ok_or_else(|| {
            let allowed = "--operator NAME, or operator in the settings";
            refuse("operator", "missing", allowed)
        })
    }

    /// The platform's addresses.
    pub(crate) fn platform(&self) -> Result<Vec<BaseUrl>> {
        if self.platform.is_empty() {
            let allowed = "--platform http://IP:PORT, or platform in the settings";
            return Err(refuse("platform", "missing", allowed));
        }
        Ok(self.platform.clone())
    }
}

fn parse(path: &Path) -> Result<File> {
    settings::parse(path, &settings::read(path)?)
}

fn refuse(field: &str, value: impl ToString, allowed: &str) -> Error {
    Error::Field {
        file: "settings".into(),
        line: 0,
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}
