//! An immutable snapshot of the configuration in force at this instance.
//!
//! Workers hold an `Arc` of the snapshot and replace it as a whole. Servers are shared
//! with the previous snapshot, so that their counts survive a change.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::Profile;
use crate::id;
use crate::server::Server;

/// A service with its profile and its backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub id: id::Service,
    /// Name of the service's profile.
    pub profile_id: id::Profile,
    /// Revision of the profile in force.
    pub revision: id::Revision,
    /// The profile in force.
    pub profile: Arc<Profile>,
    /// The listed servers, sorted by name.
    pub servers: Vec<Arc<Server>>,
}

impl Service {
    /// The server with this name.
    pub fn server(&self, id: &id::Server) -> Option<&Arc<Server>> {
        self.servers
            .binary_search_by(|server| server.id.cmp(id))
            .ok()
            .map(|index| &self.servers[index])
    }
}

/// All services.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Services by name.
    pub services: HashMap<id::Service, Arc<Service>>,
}
