//! Settings of the tool: a file in JSON with comments, overridden by the command line.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use godwitreel::Error;
use godwitreel::Result;
use godwitreel::id;
use godwitreel::platform::BaseUrl;
use godwitreel::platform::EraHeader;
use godwitreel::render::Output;
use godwitreel::settings;
use serde::Deserialize;

use crate::app::CommonOptions;

/// Default timeout for an instance's answer, in milliseconds.
const DEFAULT_INSTANCE_TIMEOUT_MS: u64 = 2_000;
/// Greatest timeout for an instance's answer, in milliseconds.
const MAX_INSTANCE_TIMEOUT_MS: u64 = 60_000;

/// The settings file.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SettingsFile {
    /// Addresses of the platform's service, all of one store.
    platform: Vec<BaseUrl>,
    /// Header of the platform's responses with the number of times that its store has been
    /// restored.
    platform_era_header: Option<EraHeader>,
    /// Name recorded with each change.
    operator: Option<id::Operator>,
    /// Status addresses that are queried even if the platform is unreachable.
    instances: BTreeMap<id::Instance, id::Endpoint>,
    /// Timeout for an instance's answer, in milliseconds.
    instance_timeout_ms: Option<u64>,
}

/// Effective settings of this run.
pub(crate) struct Config {
    pub(crate) platform: Vec<BaseUrl>,
    pub(crate) platform_era_header: Option<EraHeader>,
    pub(crate) operator: Option<id::Operator>,
    pub(crate) instances: BTreeMap<id::Instance, id::Endpoint>,
    pub(crate) instance_timeout: Duration,
    pub(crate) output: Output,
}

impl Config {
    /// Reads the settings file, if one is given; the command line overrides its values.
    pub(crate) fn load(common: &CommonOptions) -> Result<Self> {
        let file = match &common.config {
            Some(path) => read_file(path)?,
            None => SettingsFile::default(),
        };
        let platform = match common.platform.as_slice() {
            [] => file.platform,
            given => given.to_vec(),
        };
        let timeout_ms = file
            .instance_timeout_ms
            .unwrap_or(DEFAULT_INSTANCE_TIMEOUT_MS);
        if !(1..=MAX_INSTANCE_TIMEOUT_MS).contains(&timeout_ms) {
            let allowed = format!("1 to {MAX_INSTANCE_TIMEOUT_MS}");
            return Err(field_error("instance_timeout_ms", timeout_ms, &allowed));
        }
        Ok(Self {
            platform,
            platform_era_header: file.platform_era_header,
            operator: common.operator.clone().or(file.operator),
            instances: file.instances,
            instance_timeout: Duration::from_millis(timeout_ms),
            output: common.output.unwrap_or_default(),
        })
    }

    /// The operator's name, recorded with every change.
    pub(crate) fn operator(&self) -> Result<&id::Operator> {
        self.operator.as_ref().ok_or_else(|| {
            let allowed = "--operator NAME, or operator in the settings";
            field_error("operator", "missing", allowed)
        })
    }

    /// The platform's addresses.
    pub(crate) fn platform(&self) -> Result<Vec<BaseUrl>> {
        if self.platform.is_empty() {
            let allowed = "--platform http://IP:PORT, or platform in the settings";
            return Err(field_error("platform", "missing", allowed));
        }
        Ok(self.platform.clone())
    }
}

fn read_file(path: &Path) -> Result<SettingsFile> {
    settings::parse(path, &settings::read(path)?)
}

fn field_error(field: &str, value: impl ToString, allowed: &str) -> Error {
    Error::Field {
        file: "settings".into(),
        line: 0,
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}
