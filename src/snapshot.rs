//! The configuration in force at this instance, as one immutable value.
//!
//! Workers hold an `Arc` of it and swap it whole; servers inside are shared with
//! the snapshot before, so that their counts survive a change.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::Profile;
use crate::id;
use crate::server::Server;

/// One service with its chosen profile and its backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub id: id::Service,
    /// Name of the chosen profile.
    pub profile_id: id::Profile,
    /// Revision of the profile in force.
    pub revision: id::Revision,
    /// The profile in force.
    pub profile: Arc<Profile>,
    /// The servers that may be used, in order of their names.
    pub servers: Vec<Arc<Server>>,
}

impl Service {
    /// The server of this name.
    pub fn server(&self, id: &id::Server) -> Option<&Arc<Server>> {
        self.servers
            .binary_search_by(|server| server.id.cmp(id))
            .ok()
            .map(|place| &self.servers[place])
    }
}

/// All services.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Services by name.
    pub services: HashMap<id::Service, Arc<Service>>,
}
