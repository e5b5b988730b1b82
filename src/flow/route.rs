//! Which service a public address belongs to, as of one configuration.

use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::flow::FlowKey;
use crate::flow::Warmup;
use crate::id;

/// A share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Where the share goes.
    pub service: id::Service,
    /// Its weight against the route's other shares.
    pub weight: u32,
}

/// Where the new flows of one public address go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name in the configuration.
    pub name: String,
    /// Its shares.
    pub backends: Vec<Backend>,
}

impl Route {
    /// The service of a new flow.
    ///
    /// It depends on the flow alone, so that copies of an opening packet get
    /// the same service at every instance. `None` when no share has weight.
    pub fn service(&self, flow_key: &FlowKey) -> Option<&id::Service> {
        if let [only] = self.backends.as_slice() {
            return Some(&only.service);
        }
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut point = spread(flow_key).checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if point < weight {
                return Some(&backend.service);
            }
            point -= weight;
        }
        None
    }
}

fn spread(flow_key: &FlowKey) -> u64 {
    let mut hasher = SipHasher13::new();
    flow_key.hash(&mut hasher);
    hasher.finish()
}

/// The routes of one configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Routes {
    /// Version of the configuration; greater is newer.
    pub version: u64,
    /// Routes by public address.
    pub by_address: HashMap<SocketAddrV4, Route>,
    /// Silence after which a flow may be forgotten.
    pub idle_timeout: Duration,
    /// What servers bear after their start, by service.
    pub warmups: HashMap<id::Service, Warmup>,
}
