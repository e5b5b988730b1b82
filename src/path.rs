//! Keys in the platform that the operators' tool reads and writes.
//!
//! They are defined in one place: if a key were written under one name and read
//! under another, a change would be lost without any error.

use crate::id;

/// Prefix of all keys of this system. Without it, a document's key is the name by
/// which instances report the document's revision.
const ROOT: &str = "godwitreel/";

/// Key prefix of profiles.
pub const PROFILES: &str = "godwitreel/profiles/";
/// Key prefix of services.
pub const SERVICES: &str = "godwitreel/services/";
/// Key prefix of the entry instances' registrations.
pub const INSTANCES: &str = "godwitreel/instances/";

/// Key of a profile.
pub fn profile(name: &id::Profile) -> String {
    format!("{PROFILES}{name}")
}

/// Key of a service.
pub fn service(name: &id::Service) -> String {
    format!("{SERVICES}{name}")
}

/// Key of an entry instance's registration.
pub fn instance(name: &id::Instance) -> String {
    format!("{INSTANCES}{name}")
}

/// Key prefix of the platform's own list of backend servers.
pub const SERVERS: &str = "platform/servers/";

/// Key of a backend server in the platform's own list.
pub fn server(name: &id::Server) -> String {
    format!("{SERVERS}{name}")
}

/// Key that drains an instance.
pub fn instance_drain(name: &id::Instance) -> String {
    format!("godwitreel/drain/instances/{name}")
}

/// Key that drains a backend server.
pub fn server_drain(name: &id::Server) -> String {
    format!("godwitreel/drain/servers/{name}")
}

/// Key prefix of evacuated zones.
pub const EVACUATIONS: &str = "godwitreel/drain/zones/";

/// Key that evacuates an availability zone.
pub fn evacuation(zone: &id::Zone) -> String {
    format!("{EVACUATIONS}{zone}")
}

/// Key prefix of the revisions in a profile's history.
pub fn history(name: &id::Profile) -> String {
    format!("godwitreel/history/profiles/{name}/")
}

/// Name by which instances report a document, such as `profiles/NAME`.
pub fn document(key: &str) -> &str {
    key.strip_prefix(ROOT).unwrap_or(key)
}

/// The part of a key after the last `/`.
pub(crate) fn last_segment(key: &str) -> &str {
    key.rsplit_once('/').map_or(key, |(_, name)| name)
}
