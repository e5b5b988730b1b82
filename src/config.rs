//! Builds the configuration in force from the platform's documents.
//!
//! Documents arrive from the platform or from a peer, in any order and more than
//! once. Only a greater revision is applied. A document that cannot be decoded or
//! has invalid values is refused, and the previous document stays in force.

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

/// Prefix of all keys of this system in the platform.
pub const KEY_PREFIX: &str = "godwitreel/";

/// The platform's own list of backend servers.
pub use crate::path::SERVERS;

const PROFILES: &str = "godwitreel/profiles/";
const SERVICES: &str = "godwitreel/services/";
const DRAINED_SERVERS: &str = "godwitreel/drain/servers/";
const DRAINED_INSTANCES: &str = "godwitreel/drain/instances/";

/// Prefixes of the keys that peers copy from each other.
const SHARED_PREFIXES: [&str; 5] = [
    PROFILES,
    SERVICES,
    "godwitreel/drain/",
    "godwitreel/slices/",
    SERVERS,
];

/// A document in force.
#[derive(Clone, Debug)]
struct DocumentInForce<T> {
    revision: id::Revision,
    /// The write that created this revision.
    write_id: String,
    body: Arc<T>,
}

/// All documents that this instance has received.
#[derive(Debug, Default)]
pub struct Config {
    entries: BTreeMap<String, Entry>,
    profiles: BTreeMap<id::Profile, DocumentInForce<Profile>>,
    services: BTreeMap<id::Service, DocumentInForce<document::Service>>,
    servers: BTreeMap<id::Server, Arc<Server>>,
    drained: BTreeSet<String>,
    evacuated: BTreeSet<id::Zone>,
    /// Store revision up to which all changes were received from the platform, by
    /// prefix.
    synced_revisions: BTreeMap<String, u64>,
    /// Keys that a peer reported as deleted, with the revision at which they did not
    /// exist.
    deleted: BTreeMap<String, u64>,
    refused: BTreeMap<String, String>,
    /// Sum of the entries' digests; updated with every change of `entries`.
    digest: u64,
}

impl Config {
    /// Applies an entry; returns false if the known version is at least as new.
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

    /// Records that all changes of a prefix up to this revision were received from
    /// the platform.
    pub fn mark_synced(&mut self, prefix: &str, revision: u64) {
        let synced = self.synced_revisions.entry(prefix.to_owned()).or_default();
        *synced = revision.max(*synced);
        let synced = *synced;
        let is_newer =
            |key: &String, deleted: &mut u64| !key.starts_with(prefix) || *deleted > synced;
        self.deleted.retain(is_newer);
    }

    /// Greatest revision for which a key's absence from `entries` proves that the key
    /// does not exist in the platform.
    fn absence_revision(&self, key: &str) -> u64 {
        let covers_key = |(prefix, _): &(&String, &u64)| key.starts_with(prefix.as_str());
        let synced = self
            .synced_revisions
            .iter()
            .filter(covers_key)
            .map(|(_, revision)| *revision);
        let deleted = self.deleted.get(key).copied();
        synced.chain(deleted).max().unwrap_or(0)
    }

    /// Applies a peer's copy of an entry; returns false if it is not newer than the
    /// known version or deletion.
    pub fn put_copy(&mut self, entry: &Entry) -> bool {
        // A peer that is disconnected from the platform still has entries that were
        // deleted meanwhile. Accepting them would restore entries that an operator has
        // removed.
        entry.mod_revision > self.absence_revision(&entry.key) && self.put(entry)
    }

    /// Applies a peer's report that a key did not exist at this revision; returns
    /// whether an entry was removed.
    pub fn remove_copy(&mut self, key: &str, revision: u64) -> bool {
        let known = self.entries.get(key);
        let is_outdated = known.is_some_and(|known| known.mod_revision <= revision);
        if is_outdated {
            self.remove(key);
            self.deleted.insert(key.to_owned(), revision);
        }
        is_outdated
    }

    /// Revision at which a key is known not to exist, if it is at least `min_revision`.
    pub fn deleted_since(&self, key: &str, min_revision: u64) -> Option<u64> {
        let absent_at = self.absence_revision(key);
        (absent_at >= min_revision && !self.entries.contains_key(key)).then_some(absent_at)
    }

    /// Applies the deletion of a key.
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
            self.set_drained(name, false);
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
            self.set_evacuated(&zone, false);
        }
    }

    /// Removes the entries of a prefix that the platform no longer lists. Entries from
    /// a peer that are newer than the listing stay.
    pub fn retain(&mut self, prefix: &str, listed: &BTreeSet<&str>) {
        let synced = self
            .synced_revisions
            .get(prefix)
            .copied()
            .unwrap_or(u64::MAX);
        let deleted = |(key, entry): (&String, &Entry)| {
            let is_kept = !key.starts_with(prefix) || listed.contains(key.as_str());
            (!is_kept && entry.mod_revision <= synced).then(|| key.clone())
        };
        let keys: Vec<String> = self.entries.iter().filter_map(deleted).collect();
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
        let id: id::Profile = name.parse().map_err(error_text)?;
        let envelope: Envelope<Profile> = parse(value)?;
        if let Some(conflict) = envelope.body.conflict() {
            return Err(format!(
                "{}: {}: want {}",
                conflict.field, conflict.value, conflict.allowed
            ));
        }
        replace_if_newer(&mut self.profiles, id, envelope);
        Ok(())
    }

    fn apply_service(&mut self, name: &str, value: &Bytes) -> Result<(), String> {
        let id: id::Service = name.parse().map_err(error_text)?;
        let envelope: Envelope<document::Service> = parse(value)?;
        replace_if_newer(&mut self.services, id, envelope);
        Ok(())
    }

    fn apply_server(&mut self, name: &str, value: &Bytes) -> Result<(), String> {
        let id: id::Server = name.parse().map_err(error_text)?;
        let listed: document::Server = parse(value)?;
        let known = self.servers.get(&id);
        let unchanged = known.filter(|known| {
            known.service == listed.service
                && known.address == listed.address
                && known.health == listed.health
                && known.slots == listed.slots.max(1)
        });
        match unchanged {
            Some(server) => server.state().listed = listed.state,
            // Another process runs under this name now. The counts and health of the
            // previous process do not apply to it.
            None => {
                let server = Arc::new(Server::new(id.clone(), &listed));
                self.servers.insert(id.clone(), server);
            }
        }
        if self.drained.contains(&format!("{DRAINED_SERVERS}{name}")) {
            self.set_drained(name, true);
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
            self.set_drained(name, true);
        } else if let Some(zone) = evacuated_zone(key) {
            self.set_evacuated(&zone, true);
            self.evacuated.insert(zone);
        }
    }

    fn set_evacuated(&self, zone: &id::Zone, is_evacuated: bool) {
        let servers = self.servers.values();
        for server in servers.filter(|server| server.zone == *zone) {
            server.state().evacuated = is_evacuated;
        }
    }

    /// Zones that operators have evacuated: their servers get no new work.
    pub fn evacuated(&self) -> &BTreeSet<id::Zone> {
        &self.evacuated
    }

    fn set_drained(&self, name: &str, is_drained: bool) {
        let server = name
            .parse()
            .ok()
            .and_then(|id: id::Server| self.servers.get(&id));
        if let Some(server) = server {
            server.state().drained = is_drained;
        }
    }

    /// Whether an operator drains this instance, so that it hands its slices over.
    pub fn is_drained(&self, instance: &id::Instance) -> bool {
        self.drained
            .contains(&format!("{DRAINED_INSTANCES}{instance}"))
    }

    /// The configuration in force, for the workers.
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

    /// The listed servers of each service, in order of their names. This is one pass
    /// over all servers, since filtering them once per service would cost the product
    /// of the two counts.
    fn servers_by_service(&self) -> HashMap<&id::Service, Vec<Arc<Server>>> {
        let mut listed: HashMap<&id::Service, Vec<Arc<Server>>> = HashMap::new();
        for server in self.servers.values() {
            let servers = listed.entry(&server.service).or_default();
            servers.push(Arc::clone(server));
        }
        listed
    }

    /// Address of each service.
    pub fn addresses(&self) -> BTreeMap<id::Service, id::Endpoint> {
        let service = |(id, service): (&id::Service, &DocumentInForce<document::Service>)| {
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

    /// Keys of refused documents, each with the reason.
    pub fn refused(&self) -> &BTreeMap<String, String> {
        &self.refused
    }

    /// Entries that peers copy from each other.
    pub fn shared(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| is_shared(entry))
    }

    /// Digest of the entries that peers copy from each other; two instances with the
    /// same versions have the same digest.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

fn is_shared(entry: &Entry) -> bool {
    SHARED_PREFIXES
        .iter()
        .any(|prefix| entry.key.starts_with(prefix))
}

/// An entry's contribution to the digest. The digest is the sum of all of them, so
/// that a change costs one hash, regardless of the number of entries.
fn digest(entry: &Entry) -> u64 {
    if !is_shared(entry) {
        return 0;
    }
    let mut hasher = SipHasher13::new();
    entry.key.hash(&mut hasher);
    entry.mod_revision.hash(&mut hasher);
    hasher.finish()
}

fn error_text(error: crate::error::Error) -> String {
    error.to_string()
}

fn parse<T: DeserializeOwned>(value: &Bytes) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|error| error.to_string())
}

/// Replaces a document in force unless the revision of the new one is lower.
fn replace_if_newer<I: Ord, T>(
    known: &mut BTreeMap<I, DocumentInForce<T>>,
    id: I,
    envelope: Envelope<T>,
) {
    // A late watch event, a stale read or an outdated peer must not revert an
    // accepted change. A restored store may assign a lost revision to another write.
    let is_known = |known: &DocumentInForce<T>| {
        let is_same_write = known.write_id == envelope.write_id;
        known.revision > envelope.revision || known.revision == envelope.revision && is_same_write
    };
    if known.get(&id).is_some_and(is_known) {
        return;
    }
    let document = DocumentInForce {
        revision: envelope.revision,
        write_id: envelope.write_id,
        body: Arc::new(envelope.body),
    };
    known.insert(id, document);
}

/// The zone that an evacuation key names; `None` for other keys.
fn evacuated_zone(key: &str) -> Option<id::Zone> {
    key.strip_prefix(path::EVACUATIONS)?.parse().ok()
}
