//! Backend servers: slots, refusals, silence; every start is counted and no copy
//! is recognised, so that a second sending shows.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitreel::id;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mood {
    Well,
    /// Refuses everything.
    Shedding,
    /// Takes three seconds for each request.
    Slow,
    /// Takes requests, starts none, says nothing.
    Deaf,
    /// Runs requests, and all its answers are lost.
    Mute,
    /// Refuses new work; its feeds go on for a while.
    Draining,
}

/// A registration of a feed.
#[derive(Clone, Debug)]
pub(crate) struct Registration {
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) number: u64,
}

/// One server.
pub(crate) struct Backend {
    pub(crate) id: id::Server,
    pub(crate) service: &'static str,
    pub(crate) address: id::Endpoint,
    pub(crate) mood: Mood,
    pub(crate) busy: u32,
    pub(crate) feeds: BTreeMap<(usize, id::Attempt), Registration>,
}

const SLOTS: u32 = 2;
const MOST_WAITING: u32 = 10;

impl Backend {
    /// Whether it refuses new work now.
    pub(crate) fn refuses(&self) -> bool {
        matches!(self.mood, Mood::Shedding | Mood::Draining) || self.busy >= SLOTS + MOST_WAITING
    }

    pub(crate) fn work_time(&self) -> Duration {
        let own = match self.mood {
            Mood::Slow => Duration::from_secs(3),
            _ => Duration::from_millis(30),
        };
        own * (1 + self.busy / SLOTS)
    }
}
