//! Status of an entry instance, as its HTTP port reports it.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::ServiceLoad;
use crate::flow::Repeatability;
use crate::flow::Route;
use crate::flow::Routes;
use crate::id;
use crate::platform::poll::UnreadableEntry;

/// Status of an entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// Whether routers should send packets to the instance.
    pub is_ready: bool,
    /// Version of the configuration in force; 0 before the first one.
    pub version: u64,
    /// Number of flows in the flow table.
    pub flows: usize,
    /// Time since the instance's copy was last known to match the store, in
    /// milliseconds.
    pub contact_age_ms: Option<u64>,
    /// The instance that changes come from; `None` for the store itself.
    pub upstream: Option<id::Instance>,
    /// Zones that operators have evacuated; their servers get no new flows.
    #[serde(default)]
    pub evacuated: Vec<EvacuatedZone>,
    /// The backend servers, including those whose store entry is gone.
    pub servers: Vec<Server>,
    /// Services to which admission control applies.
    #[serde(default)]
    pub load: Vec<ServiceLoad>,
    /// Entries of the store that cannot be decoded at present, 32 at most.
    #[serde(default)]
    pub refused: Vec<UnreadableEntry>,
    /// Classes of the routes in force, by name of the route.
    #[serde(default)]
    pub classes: Vec<RouteClass>,
    /// Routes in force that have no valid class, by name.
    #[serde(default)]
    pub invalid_classes: Vec<InvalidClass>,
}

/// The class of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteClass {
    /// Name of the route.
    pub route: String,
    /// Public address of the route.
    pub address: SocketAddrV4,
    /// Priority of its requests; 0 is highest.
    pub priority: u8,
    /// Response time that callers expect, in milliseconds.
    pub objective_ms: u64,
    /// Time after which a caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Whether its requests may run several times.
    pub is_idempotent: bool,
}

/// A route without a valid class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvalidClass {
    /// Name of the route.
    pub route: String,
    /// Why its description is not a valid class.
    pub reason: String,
}

/// Classes of the routes, by name of the route.
pub(crate) fn classes(routes: &Routes) -> Vec<RouteClass> {
    let row = |(address, route): (&SocketAddrV4, &Route)| {
        let class = route.class?;
        Some(RouteClass {
            route: route.name.clone(),
            address: *address,
            priority: class.priority.0,
            objective_ms: class.objective.as_millis() as u64,
            deadline_ms: class.deadline.as_millis() as u64,
            is_idempotent: class.repeatability == Repeatability::Idempotent,
        })
    };
    let mut classes: Vec<RouteClass> = routes.by_address.iter().filter_map(row).collect();
    classes.sort_by(|a, b| (&a.route, a.address).cmp(&(&b.route, b.address)));
    classes
}

/// Routes without a valid class, by name.
pub(crate) fn invalid_classes(routes: &Routes) -> Vec<InvalidClass> {
    let rows = routes.invalid_classes.iter();
    let mut invalid: Vec<InvalidClass> = rows
        .map(|invalid| InvalidClass {
            route: invalid.route.clone(),
            reason: invalid.reason.to_string(),
        })
        .collect();
    invalid.sort_by(|a, b| a.route.cmp(&b.route));
    invalid
}

/// A zone that operators have evacuated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: id::Zone,
    /// Time for which the instance has known of the evacuation, in milliseconds.
    pub known_ms: u64,
}

/// State of a backend server, as the instance knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server.
    pub server: id::Server,
    /// Service that the server runs.
    pub service: id::Service,
    /// Availability zone of the server.
    pub zone: id::Zone,
    /// Start time that the server reports, in Unix milliseconds.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Whether its store entry cannot be decoded, so that it gets no new flows.
    #[serde(default)]
    pub is_unreadable: bool,
    /// Whether the server has announced that it drains.
    pub is_draining: bool,
    /// Whether its zone is evacuated.
    #[serde(default)]
    pub is_evacuated: bool,
    /// Time since its store entry disappeared, in milliseconds.
    pub missing_ms: Option<u64>,
    /// Whether new flows avoid the server because it did not answer callers.
    pub is_suspected: bool,
    /// Number of missed answers in a row.
    pub misses: u32,
    /// Estimated share of failed requests, in percent: those that fail at once and those
    /// that are never answered.
    #[serde(default)]
    pub bad_percent: u32,
    /// Time since the server last answered a caller of this instance, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Number of this instance's requests in progress at the server.
    pub outstanding: u32,
    /// Number of this instance's open flows to the server.
    pub flows: u32,
}

impl Server {
    /// State of the server in one word: the main reason why it gets no new flows, or
    /// "ready".
    pub fn state(&self) -> &'static str {
        match self {
            Self {
                missing_ms: Some(_),
                ..
            } => "missing",
            Self {
                is_unreadable: true,
                ..
            } => "unreadable",
            Self {
                is_draining: true, ..
            } => "draining",
            Self {
                is_evacuated: true, ..
            } => "evacuated",
            Self {
                is_suspected: true, ..
            } => "suspected",
            _ => "ready",
        }
    }
}
