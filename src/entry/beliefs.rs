//! Rate-limited log of state updates.
//!
//! Load pattern: hundreds of servers announce themselves while an instance starts, and a
//! line for each of them from each instance would exceed all other lines of a day. A
//! single change gets its own line. When many come at once, those beyond the rate are
//! counted by kind, and one line per kind gives the count.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::Logger;
use slog::info;
use tokio::time::Instant;

use crate::flow::Belief;
use crate::flow::Presence;
use crate::platform::allowance::Bucket;
use crate::platform::allowance::Rate;

/// Log lines per second; enough in normal operation, where servers come and go one by
/// one.
const LOG_RATE: Rate = Rate(20);

/// Time for which updates are counted before a line gives their number.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Writes state updates as log lines.
pub(crate) struct StateLog {
    log: Logger,
    bucket: Bucket,
    /// Number of updates without a line of their own, by kind.
    counts: BTreeMap<&'static str, u64>,
    /// When the first of them was counted.
    counting_since: Option<Instant>,
}

impl StateLog {
    pub(crate) fn new(log: Logger, now: Instant) -> Self {
        Self {
            log,
            bucket: Bucket::new(LOG_RATE, now),
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
    pub(crate) fn of(belief: &Belief) -> Option<Self> {
        let line = match belief {
            Belief::Servers { listed, .. } => Self::urgent("servers listed", listed.len()),
            Belief::Server(server) => match server.presence {
                Presence::Ready => Self {
                    kind: "server ready",
                    subject: server.id.to_string(),
                    is_urgent: false,
                },
                Presence::Draining => Self::urgent("server draining", &server.id),
            },
            Belief::Gone(server) => Self::urgent("server gone", server),
            Belief::Unreadable(server) => Self::urgent("server unreadable", server),
            Belief::Routes(routes) => Self::urgent("configuration", routes.version),
            Belief::Evacuated(zone) => Self::urgent("zone evacuated", zone),
            Belief::Returned(zone) => Self::urgent("zone taken back", zone),
            Belief::Evacuation(zones) => {
                let zones: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
                Self::urgent("zones evacuated", zones.join(" "))
            }
            Belief::Peers(peers) => Self {
                kind: "instances",
                subject: peers.len().to_string(),
                is_urgent: false,
            },
            Belief::Contact(_) | Belief::Silence | Belief::Testimony(_) => return None,
        };
        Some(line)
    }
}
