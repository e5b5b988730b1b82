//! From the platform's documents to the configuration in force.
//!
//! Documents arrive from the platform or from a peer, in any order and more than
//! once. Only a greater revision is applied, and a document that cannot be read
//! or is at odds with itself leaves the one before in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use siphasher::sip::SipHasher13;

use crate::document;
use crate::document::Envelope;
use crate::document::Profile;
use crate::id;
use crate::path;
use crate::platform::Entry;
use crate::server::Server;
use crate::snapshot::Service;
use crate::snapshot::Snapshot;

/// Everything of ours in the platform.
pub const KEY_PREFIX: &str = "godwitreel/";

/// The platform's own list of backend servers.
pub use crate::path::SERVERS;

const PROFILES: &str = "godwitreel/profiles/";
const SERVICES: &str = "godwitreel/services/";
const DRAINED_SERVERS: &str = "godwitreel/drain/servers/";
const DRAINED_INSTANCES: &str = "godwitreel/drain/instances/";

/// Prefixes of which peers give each other copies.
const SHARED: [&str; 5] = [
    PROFILES,
    SERVICES,
    "godwitreel/drain/",
    "godwitreel/slices/",
    SERVERS,
];

/// A document in force.
#[derive(Clone, Debug)]
struct InForce<T> {
    revision: id::Revision,
    body: Arc<T>,
}

/// All documents that this instance knows.
#[derive(Debug, Default)]
pub struct Config {
    entries: BTreeMap<String, Entry>,
    profiles: BTreeMap<id::Profile, InForce<Profile>>,
    services: BTreeMap<id::Service, InForce<document::Service>>,
    servers: BTreeMap<id::Server, Arc<Server>>,
    drained: BTreeSet<String>,
    evacuated: BTreeSet<id::Zone>,
    /// Revision of the store up to which the platform has told everything, by prefix.
    horizons: BTreeMap<String, u64>,
    /// Keys that a peer knows to be gone, with the revision up to which they are.
    gone: BTreeMap<String, u64>,
    refused: BTreeMap<String, String>,
    /// Sum of the entries' digests; it must follow every change of `entries`.
    digest: u64,
}

impl Config {
    /// Takes one entry; tells whether it is newer than what was known.
    pub fn put(&mut self, entry: &Entry) -> bool {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|known| known.mod_revision >= entry.mod_revision) {
            return false;
        }
        let replaced = self.entries.insert(entry.key.clone(), entry.clone());
        if let Some(replaced) = replaced {
            self.digest = self.digest.wrapping_sub(digest(&replaced));
        }
        self.digest = self.digest.wrapping_add(digest(entry));
        self.apply(&entry.key, &entry.value);
        true
    }

    /// The platform has told everything of a prefix up to this revision.
    pub fn mark_synced(&mut self, prefix: &str, revision: u64) {
        let horizon = self.horizons.entry(prefix.to_owned()).or_default();
        *horizon = revision.max(*horizon);
        let horizon = *horizon;
        let newer = |key: &String, gone: &mut u64| !key.starts_with(prefix) || *gone > horizon;
        self.gone.retain(newer);
    }

    /// Revision up to which a key's absence here proves that it does not exist.
    fn horizon(&self, key: &str) -> u64 {
        let of_key = |(prefix, _): &(&String, &u64)| key.starts_with(prefix.as_str());
        let told = self.horizons.iter().filter(of_key).map(|(_, told)| *told);
        let gone = self.gone.get(key).copied();
        told.chain(gone).max().unwrap_or(0)
    }

    /// Takes a peer's copy of an entry; tells whether it is newer than what was known.
    pub fn put_copy(&mut self, entry: &Entry) -> bool {
        // A peer that is cut off from the platform still has what was deleted
        // meanwhile, and would bring back what an operator has withdrawn.
        entry.mod_revision > self.horizon(&entry.key) && self.put(entry)
    }

    /// Takes a peer's word that a key was gone at this revision; tells whether it
    /// was known.
    pub fn remove_copy(&mut self, key: &str, revision: u64) -> bool {
        let known = self.entries.get(key);
        let outdated = known.is_some_and(|known| known.mod_revision <= revision);
        if outdated {
            self.remove(key);
            self.gone.insert(key.to_owned(), revision);
        }
        outdated
    }

    /// Revision at which a key is known not to exist, if that is newer than `than`.
    pub fn deleted_since(&self, key: &str, than: u64) -> Option<u64> {
        let horizon = self.horizon(key);
        (horizon >= than && !self.entries.contains_key(key)).then_some(horizon)
    }

    /// Takes the removal of a key.
    pub fn remove(&mut self, key: &str) {
        if let Some(removed) = self.entries.remove(key) {
            self.digest = self.digest.wrapping_sub(digest(&removed));
        }
        self.refused.remove(key);
        if let Some(name) = key.strip_prefix(SERVERS)
            && let Ok(id) = name.parse::<id::Server>()
        {
            self.servers.remove(&id);
        }
        if let Some(name) = key.strip_prefix(DRAINED_SERVERS) {
            self.drain(name, false);
        }
        if let Some(name) = key.strip_prefix(SERVICES)
            && let Ok(id) = name.parse::<id::Service>()
        {
            self.services.remove(&id);
        }
        self.drained.remove(key);
        if let Some(zone) = evacuated_zone(key)
            && self.evacuated.remove(&zone)
        {
            self.evacuate(&zone, false);
        }
    }

    /// Drops what is not among the platform's keys any more. What a peer gave and
    /// is newer than the listing stays.
    pub fn retain(&mut self, prefix: &str, keep: &BTreeSet<&str>) {
        let horizon = self.horizons.get(prefix).copied().unwrap_or(u64::MAX);
        let gone = |(key, entry): (&String, &Entry)| {
            let listed = !key.starts_with(prefix) || keep.contains(key.as_str());
            (!listed && entry.mod_revision <= horizon).then(|| key.clone())
        };
        let keys: Vec<String> = self.entries.iter().filter_map(gone).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn apply(&mut self, key: &str, value: &Bytes) {
        let applied = if let Some(name) = key.strip_prefix(PROFILES) {
            self.apply_profile(name, value)
        } else if let Some(name) = key.strip_prefix(SERVICES) {
            self.apply_service(name, value)
        } else if let Some(name) = key.strip_prefix(SERVERS) {
            self.apply_server(name, value)
        } else {
            self.apply_drain(key);
            Ok(())
        };
        match applied {
            Ok(()) => self.refused.remove(key),
            Err(reason) => self.refused.insert(key.to_owned(), reason),
        };
    }

    fn apply_profile(&mut self, name: &str, value: &Bytes) -> Result<(), String> {
        let id: id::Profile = name.parse().map_err(text)?;
        let envelope: Envelope<Profile> = read(value)?;
        if let Some(conflict) = envelope.body.conflict() {
            return Err(format!(
                "{}: {}: want {}",
                conflict.field, conflict.value, conflict.allowed
            ));
        }
        advance(&mut self.profiles, id, envelope);
        Ok(())
    }

    fn apply_service(&mut self, name: &str, value: &Bytes) -> Result<(), String> {
        let id: id::Service = name.parse().map_err(text)?;
        let envelope: Envelope<document::Service> = read(value)?;
        advance(&mut self.services, id, envelope);
        Ok(())
    }

    fn apply_server(&mut self, name: &str, value: &Bytes) -> Result<(), String> {
        let id: id::Server = name.parse().map_err(text)?;
        let listed: document::Server = read(value)?;
        let known = self.servers.get(&id);
        let same = known.filter(|known| {
            known.service == listed.service
                && known.address == listed.address
                && known.health == listed.health
                && known.slots == listed.slots.max(1)
        });
        match same {
            Some(server) => server.state().listed = listed.state,
            // What is known of another process under the same name is worthless.
            None => {
                let server = Arc::new(Server::new(id.clone(), &listed));
                self.servers.insert(id.clone(), server);
            }
        }
        if self.drained.contains(&format!("{DRAINED_SERVERS}{name}")) {
            self.drain(name, true);
        }
        if let Some(server) = self.servers.get(&id) {
            server.state().evacuated = self.evacuated.contains(&server.zone);
        }
        Ok(())
    }

    fn apply_drain(&mut self, key: &str) {
        if key.starts_with(DRAINED_INSTANCES) {
            self.drained.insert(key.to_owned());
        } else if let Some(name) = key.strip_prefix(DRAINED_SERVERS) {
            self.drained.insert(key.to_owned());
            self.drain(name, true);
        } else if let Some(zone) = evacuated_zone(key) {
            self.evacuate(&zone, true);
            self.evacuated.insert(zone);
        }
    }

    fn evacuate(&self, zone: &id::Zone, is_evacuated: bool) {
        let servers = self.servers.values();
        for server in servers.filter(|server| server.zone == *zone) {
            server.state().evacuated = is_evacuated;
        }
    }

    /// Zones whose servers get no new work, as operators ordered.
    pub fn evacuated(&self) -> &BTreeSet<id::Zone> {
        &self.evacuated
    }

    fn drain(&self, name: &str, drained: bool) {
        let server = name
            .parse()
            .ok()
            .and_then(|id: id::Server| self.servers.get(&id));
        if let Some(server) = server {
            server.state().drained = drained;
        }
    }

    /// Whether an operator wants this instance to hand its slices over.
    pub fn is_drained(&self, instance: &id::Instance) -> bool {
        self.drained
            .contains(&format!("{DRAINED_INSTANCES}{instance}"))
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> Snapshot {
        let mut listed = self.servers_by_service();
        let services = self.services.iter().filter_map(|(id, service)| {
            let profile = self.profiles.get(&service.body.profile)?;
            let view = Service {
                id: id.clone(),
                profile_id: service.body.profile.clone(),
                revision: profile.revision,
                profile: Arc::clone(&profile.body),
                servers: listed.remove(id).unwrap_or_default(),
            };
            Some((id.clone(), Arc::new(view)))
        });
        Snapshot {
            services: services.collect(),
        }
    }

    /// The listed servers of each service, in order of their names. One pass over
    /// all servers: a search for each service would multiply the two counts.
    fn servers_by_service(&self) -> HashMap<&id::Service, Vec<Arc<Server>>> {
        let mut listed: HashMap<&id::Service, Vec<Arc<Server>>> = HashMap::new();
        for server in self.servers.values() {
            let servers = listed.entry(&server.service).or_default();
            servers.push(Arc::clone(server));
        }
        listed
    }

    /// Addresses of the services.
    pub fn addresses(&self) -> BTreeMap<id::Service, id::Endpoint> {
        let service = |(id, service): (&id::Service, &InForce<document::Service>)| {
            (id.clone(), service.body.address)
        };
        self.services.iter().map(service).collect()
    }

    /// All listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.servers.values()
    }

    /// Revision in force of each document, by `profiles/NAME` and `services/NAME`.
    pub fn revisions(&self) -> BTreeMap<String, id::Revision> {
        let profiles = self.profiles.iter();
        let profiles = profiles.map(|(id, known)| (format!("profiles/{id}"), known.revision));
        let services = self.services.iter();
        let services = services.map(|(id, known)| (format!("services/{id}"), known.revision));
        profiles.chain(services).collect()
    }

    /// Documents that were refused, with the reason.
    pub fn refused(&self) -> &BTreeMap<String, String> {
        &self.refused
    }

    /// Entries that peers give each other.
    pub fn shared(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| is_shared(entry))
    }

    /// Digest of what peers give each other: equal if all versions are.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

fn is_shared(entry: &Entry) -> bool {
    SHARED.iter().any(|prefix| entry.key.starts_with(prefix))
}

/// An entry's part of the digest. The parts are added up, so that a change costs
/// one hash however many entries there are.
fn digest(entry: &Entry) -> u64 {
    if !is_shared(entry) {
        return 0;
    }
    let mut hasher = SipHasher13::new();
    entry.key.hash(&mut hasher);
    entry.mod_revision.hash(&mut hasher);
    hasher.finish()
}

fn text(error: crate::error::Error) -> String {
    error.to_string()
}

fn read<T: DeserializeOwned>(value: &Bytes) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|error| error.to_string())
}

/// Puts a document in force if its revision is greater.
fn advance<I: Ord, T>(known: &mut BTreeMap<I, InForce<T>>, id: I, envelope: Envelope<T>) {
    let current = known.get(&id).map(|known| known.revision);
    // A late watch event, a stale read or an old peer must not take an accepted
    // change back.
    if current.is_some_and(|current| current >= envelope.revision) {
        return;
    }
    let document = InForce {
        revision: envelope.revision,
        body: Arc::new(envelope.body),
    };
    known.insert(id, document);
}

/// The zone that a key evacuates; `None` for other keys.
fn evacuated_zone(key: &str) -> Option<id::Zone> {
    key.strip_prefix(path::EVACUATIONS)?.parse().ok()
}
