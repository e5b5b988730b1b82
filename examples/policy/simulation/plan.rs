//! The parameters of a run.

use std::sync::Arc;

use godwitreel::document::Profile;

use crate::simulation::Simulation;

/// A fault, or its end, with its time in seconds.
pub(crate) type Fault = (f64, Arc<dyn Fn(&mut Simulation) + Send + Sync>);

/// The result of a server's health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    Up,
    Draining,
    Silent,
    /// The checks are answered by another service at the same address.
    OtherService,
}

/// Whether instances report the load they put on the servers to each other.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LoadReports {
    Off,
    /// Every second, received after an extra lag; the first instance multiplies its counts
    /// by a factor.
    On {
        lag: f64,
        factor: f64,
    },
}

/// Load, faults and models of one run.
#[derive(Clone)]
pub(crate) struct Plan {
    pub(crate) instances: usize,
    pub(crate) zones: &'static [&'static str],
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    /// One-way delay between zones, in seconds.
    pub(crate) zone_delay: f64,
    /// One-way delay between callers and instances, in seconds.
    pub(crate) caller_delay: f64,
    pub(crate) profile: Profile,
    /// Requests per second as a function of time.
    pub(crate) rate: Arc<dyn Fn(f64) -> f64 + Send + Sync>,
    /// Share of non-idempotent requests.
    pub(crate) non_idempotent_share: f64,
    pub(crate) feeds: usize,
    pub(crate) notify_interval: f64,
    /// Mean service time of a request, in seconds.
    pub(crate) service_time: f64,
    /// Length of the run, in seconds.
    pub(crate) duration: f64,
    /// Time at which the measurement begins.
    pub(crate) measure_from: f64,
    pub(crate) load_reports: LoadReports,
    pub(crate) has_backup: bool,
    /// Queue length at which a server refuses further requests.
    pub(crate) shed_queue_len: usize,
    /// How often a caller retries a refused request by itself.
    pub(crate) caller_retries: u32,
    /// Whether a retrying caller waits for the time that the refusal names.
    pub(crate) honours_retry_after: bool,
    /// Whether servers drop requests whose deadline has passed.
    pub(crate) honours_deadline: bool,
    pub(crate) faults: Vec<Fault>,
}
