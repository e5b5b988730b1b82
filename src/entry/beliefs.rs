//! Rate-limited log of state updates.
//!
//! Load pattern: hundreds of servers announce themselves while an instance starts, and a
//! line for each of them from each instance would exceed all other lines of a day. A
//! single change gets its own line. When many updates come at once, those beyond the rate are
//! counted by kind, and one line per kind gives the count.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::Logger;
use slog::info;
use tokio::time::Instant;

use crate::flow::ServerState;
use crate::flow::StateUpdate;
use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;

/// Log lines per second; enough in normal operation, where servers come and go one by
/// one.
const LOG_RATE: Rate = Rate(20);

/// Time for which updates are counted before a line gives their number.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Writes state updates as log lines.
pub(crate) struct StateLog {
    log: Logger,
    bucket: TokenBucket,
    /// Number of updates without a line of their own, by kind.
    counts: BTreeMap<&'static str, u64>,
    /// When the first update in `counts` was counted.
    counting_since: Option<Instant>,
}

impl StateLog {
    pub(crate) fn new(log: Logger, now: Instant) -> Self {
        Self {
            log,
            bucket: TokenBucket::new(LOG_RATE, now),
            counts: BTreeMap::new(),
            counting_since: None,
        }
    }

    /// Logs an update, or counts it if the rate is exceeded.
    pub(crate) fn write(&mut self, now: Instant, line: StateLine, is_new: bool) {
        let has_room = match line.is_urgent {
            true => self.bucket.take_urgent(now),
            false => self.bucket.take(now),
        };
        if has_room {
            info!(self.log, "state update"; "what" => line.kind, "subject" => line.subject,
                "is_new" => is_new);
            return;
        }
        *self.counts.entry(line.kind).or_default() += 1;
        self.counting_since.get_or_insert(now);
    }

    /// Writes the counts once the counting period is over.
    pub(crate) fn flush(&mut self, now: Instant) {
        if self
            .counting_since
            .is_none_or(|since| now < since + COUNT_PERIOD)
        {
            return;
        }
        self.counting_since = None;
        for (kind, count) in std::mem::take(&mut self.counts) {
            info!(self.log, "state updates counted"; "what" => kind, "count" => count);
        }
    }
}

/// A state update as it is logged.
pub(crate) struct StateLine {
    kind: &'static str,
    subject: String,
    /// Whether the line may use the reserve of the rate limit, because the update may
    /// cause requests to fail.
    is_urgent: bool,
}

impl StateLine {
    fn urgent(kind: &'static str, subject: impl ToString) -> Self {
        Self {
            kind,
            subject: subject.to_string(),
            is_urgent: true,
        }
    }

    /// The line of an update; `None` for updates that are logged elsewhere.
    pub(crate) fn of(update: &StateUpdate) -> Option<Self> {
        let line = match update {
            StateUpdate::Servers { listed, .. } => Self::urgent("servers listed", listed.len()),
            StateUpdate::Server(server) => match server.state {
                ServerState::Ready => Self {
                    kind: "server ready",
                    subject: server.id.to_string(),
                    is_urgent: false,
                },
                ServerState::Draining => Self::urgent("server draining", &server.id),
            },
            StateUpdate::ServerRemoved(server) => Self::urgent("server gone", server),
            StateUpdate::ServerUnreadable(server) => Self::urgent("server unreadable", server),
            StateUpdate::Routes(routes) => Self::urgent("configuration", routes.version),
            StateUpdate::ZoneEvacuated(zone) => Self::urgent("zone evacuated", zone),
            StateUpdate::ZoneRestored(zone) => Self::urgent("zone taken back", zone),
            StateUpdate::EvacuatedZones(zones) => {
                let zones: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
                Self::urgent("zones evacuated", zones.join(" "))
            }
            StateUpdate::Peers(peers) => Self {
                kind: "instances",
                subject: peers.len().to_string(),
                is_urgent: false,
            },
            StateUpdate::SomeServers(servers) => Self {
                kind: "first servers",
                subject: servers.len().to_string(),
                is_urgent: false,
            },
            StateUpdate::StoreContact(_)
            | StateUpdate::StoreRestored
            | StateUpdate::StoreUnreachable
            | StateUpdate::ZoneOutcomes(_) => return None,
        };
        Some(line)
    }
}
