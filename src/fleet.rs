//! The entry instances as seen from outside: who they are, and what they answer.
//!
//! Instances are found by their registrations in the platform and, should the
//! platform be down, by the addresses in the tool's own settings. One that gives
//! no answer is always named; leaving it out would make a part look like the
//! whole.

pub(crate) mod asker;

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::Registration;
use crate::error::Result;
use crate::fleet::asker::Asker;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::platform::Entry;

/// Instances asked at the same time.
const MAX_ASKED: usize = 32;

/// An instance that was not heard from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Silence {
    /// Its name.
    pub instance: String,
    /// What was seen in place of an answer.
    pub reason: String,
}

/// The instances that are to be asked.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Status address by name.
    pub addresses: BTreeMap<id::Instance, id::Endpoint>,
    /// Registrations that cannot be read.
    pub unreadable: Vec<Silence>,
    /// Why the platform's list could not be read, if so.
    pub unlisted: Option<String>,
}

/// What the instances answered.
#[derive(Clone, Debug, Serialize)]
pub struct Gathered<T> {
    /// Answers by instance.
    pub heard: BTreeMap<id::Instance, T>,
    /// Who gave none.
    pub silent: Vec<Silence>,
    /// Why the platform's list could not be read, if so: there may then be
    /// instances that nobody asked.
    pub unlisted: Option<String>,
}

impl<T> Gathered<T> {
    /// Whether every instance was heard, as far as the platform's list goes.
    pub fn is_complete(&self) -> bool {
        self.silent.is_empty() && self.unlisted.is_none()
    }
}

/// Access to the platform and the instances.
#[derive(Clone)]
pub struct Fleet {
    platform: Client,
    asker: Asker,
    known: BTreeMap<id::Instance, id::Endpoint>,
}

impl Fleet {
    /// Access through this client, with status addresses known beforehand.
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
            asker: Asker::new(timeout)?,
            known,
        })
    }

    /// The platform's client.
    pub fn platform(&self) -> &Client {
        &self.platform
    }

    /// All instances that are registered or known from the settings.
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

    /// Asks every member for the same path.
    pub async fn ask<T: DeserializeOwned>(&self, members: &Members, path: &str) -> Gathered<T> {
        let asking = members.addresses.iter().map(async |(instance, address)| {
            let answer = self.asker.get(*address, path).await;
            (instance.clone(), answer)
        });
        let answers: Vec<_> = stream::iter(asking)
            .buffer_unordered(MAX_ASKED)
            .collect()
            .await;
        let mut gathered = Gathered {
            heard: BTreeMap::new(),
            silent: members.unreadable.clone(),
            unlisted: members.unlisted.clone(),
        };
        for (instance, answer) in answers {
            match answer {
                Ok(answer) => {
                    gathered.heard.insert(instance, answer);
                }
                Err(error) => gathered.silent.push(Silence {
                    instance: instance.to_string(),
                    reason: error.to_string(),
                }),
            }
        }
        gathered.silent.sort_by(|a, b| a.instance.cmp(&b.instance));
        gathered
    }
}

impl Members {
    fn add(&mut self, entry: &Entry) {
        match serde_json::from_slice::<Registration>(&entry.value) {
            Ok(registration) => {
                let instance = registration.holder.instance;
                self.addresses.insert(instance, registration.status);
            }
            Err(error) => self.unreadable.push(Silence {
                instance: path::last_part(&entry.key).to_owned(),
                reason: format!("registration cannot be read: {error}"),
            }),
        }
    }
}
