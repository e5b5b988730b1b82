//! Mapping from public addresses to services in one configuration.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::flow::Class;
use crate::flow::ClassError;
use crate::flow::FlowKey;
use crate::flow::Warmup;
use crate::id;

/// A service that gets a share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: id::Service,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Destination of the new flows of one public address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: String,
    /// Weighted services of the route.
    pub backends: Vec<Backend>,
    /// The requests on the route; `None` if the configuration has no valid description of
    /// them.
    pub class: Option<Class>,
}

impl Route {
    /// Whether new flows may go to this service.
    pub(crate) fn allows(&self, service: &id::Service) -> bool {
        let mut backends = self.backends.iter();
        backends.any(|backend| backend.weight > 0 && backend.service == *service)
    }

    /// The service of a new flow; `None` if all services have weight 0.
    ///
    /// The result depends on the flow alone, so that every instance selects the same service
    /// for retransmissions of a SYN.
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

/// A route whose description of its requests is not a valid class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidClass {
    /// Name of the route in the configuration.
    pub route: String,
    /// Why the description is not valid.
    pub reason: ClassError,
}

/// The routes of one configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Routes {
    /// Version of the configuration; greater is newer.
    pub version: u64,
    /// Routes by public address.
    pub by_address: HashMap<SocketAddrV4, Route>,
    /// Idle timeout of a flow.
    pub idle_timeout: Duration,
    /// Load limits of cold servers, by service.
    pub warmups: HashMap<id::Service, Warmup>,
    /// Routes without a valid class, in the order of the configuration.
    pub invalid_classes: Vec<InvalidClass>,
}

impl Routes {
    /// The services that the configuration names.
    pub(crate) fn services(&self) -> HashSet<id::Service> {
        let routes = self.by_address.values();
        let routed = routes.flat_map(|route| &route.backends);
        let routed = routed.map(|backend| &backend.service);
        routed.chain(self.warmups.keys()).cloned().collect()
    }
}
