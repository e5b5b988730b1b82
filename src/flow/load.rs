//! Decisions that depend on the load: which servers an instance prefers, how fast each of
//! them is, and which openings are admitted while servers are short.
//!
//! Each part is switched on by a setting of its own in [`Balancing`], and none of them
//! performs I/O.

pub(crate) mod admission;
pub(crate) mod capacity;
pub(crate) mod class;
pub(crate) mod opening;
pub(crate) mod owner;
pub(crate) mod service;
pub(crate) mod speed;
pub(crate) mod waiting;
pub(crate) mod window;

use crate::flow::load::class::Priority;
use crate::flow::load::service::Counts;
use crate::id;

/// Which of the decisions under load are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balancing {
    /// Instances of a zone that prefer the same server; 0 if all instances share all
    /// servers.
    pub owners_per_server: usize,
    /// Whether a server's speed is learned from its answers.
    pub learns_speed: bool,
    /// Whether openings are admitted by the priority of their route while a service is
    /// short of capacity.
    pub admits_by_priority: bool,
}

/// Load of a service to which admission control applies, as this instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: id::Service,
    /// Requests in progress per slot of this zone's usable servers, smoothed.
    pub load: f64,
    /// Slots of these servers.
    pub slots: u32,
    /// This instance's requests in progress there.
    pub in_progress: u32,
    /// Openings that wait for capacity.
    pub waiting: usize,
    /// Results by priority.
    pub counts: Vec<(Priority, Counts)>,
}
