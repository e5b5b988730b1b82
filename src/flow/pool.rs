//! The backend servers of one service.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::flow::baseline::ResponseBaseline;
use crate::flow::load::speed::Mean;
use crate::flow::load::speed::Usual;
use crate::flow::record::ServerHandle;

/// The servers of one service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Servers in this instance's availability zone.
    pub(crate) local: Vec<ServerHandle>,
    /// Those of them that this instance owns.
    pub(crate) owned: Vec<ServerHandle>,
    /// Whether servers of this zone came or left since the owned ones were computed.
    pub(crate) has_changed: bool,
    /// Servers in other zones.
    pub(crate) remote: Vec<ServerHandle>,
    /// Typical duration and size of the service's answers.
    pub(crate) baseline: ResponseBaseline,
    /// Usual response times by the public address of the route.
    pub(crate) usual: HashMap<SocketAddrV4, Usual>,
    /// Recent response times at all servers, relative to the usual ones.
    pub(crate) recent: Mean,
}

impl Pool {
    pub(super) fn list_mut(&mut self, is_local: bool) -> &mut Vec<ServerHandle> {
        if is_local {
            &mut self.local
        } else {
            &mut self.remote
        }
    }
}
