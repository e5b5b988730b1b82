//! Names of the platform's keys that the operators' tool reads and writes.
//!
//! They stand in one place, since a key that is written under one name and read
//! under another loses a change without any error.

use crate::id;

/// Before every key of this system; without it, a document's key is the name
/// by which instances report its revision.
const ROOT: &str = "godwitreel/";

/// Before the name of a profile.
pub const PROFILES: &str = "godwitreel/profiles/";
/// Before the name of a service.
pub const SERVICES: &str = "godwitreel/services/";
/// Before the name of an entry instance.
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

/// Before the name of a backend server in the platform's own list.
pub const SERVERS: &str = "platform/servers/";

/// Key of a backend server in the platform's own list.
pub fn server(name: &id::Server) -> String {
    format!("{SERVERS}{name}")
}

/// Key of the wish that an instance leaves.
pub fn instance_drain(name: &id::Instance) -> String {
    format!("godwitreel/drain/instances/{name}")
}

/// Key of the wish that a backend server leaves.
pub fn server_drain(name: &id::Server) -> String {
    format!("godwitreel/drain/servers/{name}")
}

/// Before the names of evacuated zones.
pub const EVACUATIONS: &str = "godwitreel/drain/zones/";

/// Key of the order to evacuate an availability zone.
pub fn evacuation(zone: &id::Zone) -> String {
    format!("{EVACUATIONS}{zone}")
}

/// Before the revisions in a profile's history.
pub fn history(name: &id::Profile) -> String {
    format!("godwitreel/history/profiles/{name}/")
}

/// Name by which instances report a document, as in `profiles/NAME`.
pub fn document(key: &str) -> &str {
    key.strip_prefix(ROOT).unwrap_or(key)
}

/// What follows the last `/`.
pub(crate) fn last_segment(key: &str) -> &str {
    key.rsplit_once('/').map_or(key, |(_, name)| name)
}
