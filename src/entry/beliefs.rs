//! Log lines of what is believed, at a bounded rate.
//!
//! Load pattern: hundreds of servers announce themselves while an instance starts, and a
//! line for each of them from each instance is more than all other lines of a day. A
//! single change has a line of its own; of many at once the lines beyond the rate are
//! counted, and one line tells the counts.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::Logger;
use slog::info;
use tokio::time::Instant;

use crate::flow::ServerState;
use crate::flow::StateUpdate;
use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;

/// Lines a second. On an ordinary day servers come and go one by one.
const RATE: Rate = Rate(20);

/// Time in which counts gather for a line.
const GATHER: Duration = Duration::from_secs(1);

/// Writes beliefs as log lines.
pub(crate) struct Beliefs {
    log: Logger,
    bucket: TokenBucket,
    /// Beliefs without a line of their own, by what they say.
    counts: BTreeMap<&'static str, u64>,
    /// When the first of them came.
    since: Option<Instant>,
}

impl Beliefs {
    pub(crate) fn new(log: Logger, now: Instant) -> Self {
        Self {
            log,
            bucket: TokenBucket::new(RATE, now),
            counts: BTreeMap::new(),
            since: None,
        }
    }

    /// Tells of a belief, or counts it.
    pub(crate) fn tell(&mut self, now: Instant, told: Told, is_new: bool) {
        let has_room = match told.is_rare {
            true => self.bucket.take_urgent(now),
            false => self.bucket.take(now),
        };
        if has_room {
            info!(self.log, "belief"; "what" => told.what, "subject" => told.subject,
                "is_new" => is_new);
            return;
        }
        *self.counts.entry(told.what).or_default() += 1;
        self.since.get_or_insert(now);
    }

    /// Writes the counts that have gathered for long enough.
    pub(crate) fn flush(&mut self, now: Instant) {
        if self.since.is_none_or(|since| now < since + GATHER) {
            return;
        }
        self.since = None;
        for (what, count) in std::mem::take(&mut self.counts) {
            info!(self.log, "beliefs counted"; "what" => what, "count" => count);
        }
    }
}

/// What a belief says, for the log.
pub(crate) struct Told {
    what: &'static str,
    subject: String,
    /// Whether it goes before the others: what may fail requests.
    is_rare: bool,
}

impl Told {
    fn rare(what: &'static str, subject: impl ToString) -> Self {
        Self {
            what,
            subject: subject.to_string(),
            is_rare: true,
        }
    }

    /// What a belief says; `None` for what has lines elsewhere.
    pub(crate) fn of(belief: &StateUpdate) -> Option<Self> {
        let told = match belief {
            StateUpdate::Servers { listed, .. } => Self::rare("servers listed", listed.len()),
            StateUpdate::Server(server) => match server.state {
                ServerState::Ready => Self {
                    what: "server ready",
                    subject: server.id.to_string(),
                    is_rare: false,
                },
                ServerState::Draining => Self::rare("server draining", &server.id),
            },
            StateUpdate::ServerRemoved(server) => Self::rare("server gone", server),
            StateUpdate::ServerUnreadable(server) => Self::rare("server unreadable", server),
            StateUpdate::Routes(routes) => Self::rare("configuration", routes.version),
            StateUpdate::ZoneEvacuated(zone) => Self::rare("zone evacuated", zone),
            StateUpdate::ZoneRestored(zone) => Self::rare("zone taken back", zone),
            StateUpdate::EvacuatedZones(zones) => {
                let zones: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
                Self::rare("zones evacuated", zones.join(" "))
            }
            StateUpdate::Peers(peers) => Self {
                what: "instances",
                subject: peers.len().to_string(),
                is_rare: false,
            },
            StateUpdate::StoreContact(_)
            | StateUpdate::StoreUnreachable
            | StateUpdate::ZoneOutcomes(_) => return None,
        };
        Some(told)
    }
}
