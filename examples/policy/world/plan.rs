//! What a run is played with.

use std::sync::Arc;

use godwitreel::document::Profile;

use crate::world::World;

/// Something that goes wrong, or right again, at a time.
pub(crate) type Fault = (f64, Arc<dyn Fn(&mut World) + Send + Sync>);

/// How a server looks when it is not told what to look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    Up,
    Draining,
    Silent,
    Foreign,
}

/// What peers tell of their own counts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Gossip {
    Off,
    /// Each second, heard after a lag; the first home tells counts times a factor.
    On {
        lag: f64,
        lie: f64,
    },
}

/// One run.
#[derive(Clone)]
pub(crate) struct Plan {
    pub(crate) homes: usize,
    pub(crate) zones: &'static [&'static str],
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    pub(crate) hop: f64,
    pub(crate) caller_hop: f64,
    pub(crate) profile: Profile,
    /// Requests a second, by time.
    pub(crate) rate: Arc<dyn Fn(f64) -> f64 + Send + Sync>,
    /// Share of non-idempotent requests.
    pub(crate) once: f64,
    pub(crate) feeds: usize,
    pub(crate) notify_every: f64,
    /// Mean time of a request at a server.
    pub(crate) service: f64,
    pub(crate) length: f64,
    /// When measuring begins.
    pub(crate) from: f64,
    pub(crate) gossip: Gossip,
    pub(crate) backup: bool,
    /// Requests in a server's queue at which it sheds load.
    pub(crate) shed: usize,
    /// Times that a refused or late caller comes back by itself.
    pub(crate) comebacks: u32,
    /// Whether a caller that comes back heeds the time it was told.
    pub(crate) heeds: bool,
    /// Whether servers drop requests whose deadline has passed.
    pub(crate) honours_deadline: bool,
    pub(crate) faults: Vec<Fault>,
}
