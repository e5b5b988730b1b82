//! Discovery and queries of the entry instances, for the operators' tool.
//!
//! Instances are found by their registrations in the platform and, in case the
//! platform is down, by the addresses in the tool's own settings. Results always
//! name the instances that did not answer: without them, a partial result would
//! look complete.

pub(crate) mod status_client;

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::Registration;
use crate::error::Result;
use crate::fleet::status_client::StatusClient;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::platform::Entry;

/// Maximum number of instances that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// An instance that gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnansweredInstance {
    /// The instance's name.
    pub instance: String,
    /// The error in place of an answer.
    pub reason: String,
}

/// The known instances of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Status address by instance.
    pub addresses: BTreeMap<id::Instance, id::Endpoint>,
    /// Registrations that cannot be decoded.
    pub unreadable: Vec<UnansweredInstance>,
    /// Error while reading the platform's list of instances, if any.
    pub unlisted: Option<String>,
}

/// Answers of the instances to one query.
#[derive(Clone, Debug, Serialize)]
pub struct FleetAnswers<T> {
    /// Answers by instance.
    pub heard: BTreeMap<id::Instance, T>,
    /// Instances without an answer.
    pub silent: Vec<UnansweredInstance>,
    /// Error while reading the platform's list of instances, if any: in that case,
    /// instances may be missing from this result.
    pub unlisted: Option<String>,
}

impl<T> FleetAnswers<T> {
    /// Whether the list of instances was read and every instance on it answered.
    pub fn is_complete(&self) -> bool {
        self.silent.is_empty() && self.unlisted.is_none()
    }
}

/// Access to the platform and the instances.
#[derive(Clone)]
pub struct Fleet {
    platform: Client,
    status_client: StatusClient,
    known: BTreeMap<id::Instance, id::Endpoint>,
}

impl Fleet {
    /// Creates access through this client, with the status addresses from the settings.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be set up.
    pub fn new(
        platform: Client,
        known: BTreeMap<id::Instance, id::Endpoint>,
        timeout: Duration,
    ) -> Result<Self> {
        Ok(Self {
            platform,
            status_client: StatusClient::new(timeout)?,
            known,
        })
    }

    /// The platform's client.
    pub fn platform(&self) -> &Client {
        &self.platform
    }

    /// All instances that are registered in the platform or named in the settings.
    pub async fn members(&self) -> Members {
        let mut members = Members {
            addresses: self.known.clone(),
            ..Members::default()
        };
        match self.platform.list(path::INSTANCES).await {
            Ok(listing) => {
                for entry in &listing.entries {
                    members.add(entry);
                }
            }
            Err(error) => members.unlisted = Some(error.to_string()),
        }
        members
    }

    /// Requests this path from every member.
    pub async fn ask<T: DeserializeOwned>(&self, members: &Members, path: &str) -> FleetAnswers<T> {
        let requests = members.addresses.iter().map(async |(instance, address)| {
            let answer = self.status_client.get(*address, path).await;
            (instance.clone(), answer)
        });
        let answers: Vec<_> = stream::iter(requests)
            .buffer_unordered(MAX_CONCURRENT_REQUESTS)
            .collect()
            .await;
        let mut fleet_answers = FleetAnswers {
            heard: BTreeMap::new(),
            silent: members.unreadable.clone(),
            unlisted: members.unlisted.clone(),
        };
        for (instance, answer) in answers {
            match answer {
                Ok(answer) => {
                    fleet_answers.heard.insert(instance, answer);
                }
                Err(error) => fleet_answers.silent.push(UnansweredInstance {
                    instance: instance.to_string(),
                    reason: error.to_string(),
                }),
            }
        }
        fleet_answers
            .silent
            .sort_by(|a, b| a.instance.cmp(&b.instance));
        fleet_answers
    }
}

impl Members {
    fn add(&mut self, entry: &Entry) {
        match serde_json::from_slice::<Registration>(&entry.value) {
            Ok(registration) => {
                let instance = registration.holder.instance;
                self.addresses.insert(instance, registration.status);
            }
            Err(error) => self.unreadable.push(UnansweredInstance {
                instance: path::last_segment(&entry.key).to_owned(),
                reason: format!("registration cannot be decoded: {error}"),
            }),
        }
    }
}
