//! Log lines of an entry instance, at a bounded rate.
//!
//! Each decision about a flow is one line with the flow, the inputs and the
//! outcome. Lines beyond the rate are left out; the next line that is written
//! says how many.

use slog::Logger;
use slog::info;
use slog::o;
use slog::warn;
use tokio::time::Instant;

use crate::flow::FlowEvent;
use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;

/// What the lines tell beside the decision itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context {
    /// Time since the store last answered, in milliseconds.
    pub(crate) contact_age_ms: Option<u64>,
}

/// Writes notes as log lines.
pub(crate) struct Journal {
    log: Logger,
    bucket: TokenBucket,
    omitted: u64,
}

impl Journal {
    pub(crate) fn new(log: Logger, rate: Rate, now: Instant) -> Self {
        Self {
            log,
            bucket: TokenBucket::new(rate, now),
            omitted: 0,
        }
    }

    /// Counts lines that were left out before they came here.
    pub(crate) fn omit(&mut self, count: u64) {
        self.omitted += count;
    }

    /// Writes a note, or counts it; says whether it was written.
    pub(crate) fn write(&mut self, now: Instant, note: &FlowEvent, context: Context) -> bool {
        let has_room = if is_rare(note) {
            self.bucket.take_urgent(now)
        } else {
            self.bucket.take(now)
        };
        if !has_room {
            self.omitted += 1;
            return false;
        }
        let omitted = std::mem::take(&mut self.omitted);
        let age = context.contact_age_ms;
        let log = self.log.new(o!("omitted" => omitted, "view_age_ms" => age));
        line(&log, note);
        true
    }
}

/// What explains failures goes before what is usual.
fn is_rare(note: &FlowEvent) -> bool {
    !matches!(note, FlowEvent::Placed { .. } | FlowEvent::Dropped { .. })
}

/// The kind of a note, for the counters.
pub(crate) fn kind(note: &FlowEvent) -> &'static str {
    match note {
        FlowEvent::Placed {
            is_remote: true, ..
        } => "placed_remote",
        FlowEvent::Placed { .. } => "placed",
        FlowEvent::Reopened { server: None, .. } => "reopen_failed",
        FlowEvent::Reopened { .. } => "reopened",
        FlowEvent::Evacuated { .. } => "left_evacuated",
        FlowEvent::Refused { reason, .. } => reason.code(),
        FlowEvent::Released { .. } => "released",
        FlowEvent::Dropped { .. } => "dropped",
        FlowEvent::Suspected { .. } => "suspected",
        FlowEvent::Stalled { .. } => "stalled",
        FlowEvent::SuspicionCleared { .. } => "cleared",
    }
}

fn line(log: &Logger, note: &FlowEvent) {
    let kind = kind(note);
    match note {
        FlowEvent::Placed {
            flow_key,
            server,
            outstanding,
            candidates,
            version,
            ..
        } => info!(log, "new flow"; "outcome" => kind, "flow" => %flow_key, "server" => %server,
            "outstanding" => outstanding, "candidates" => candidates, "version" => version),
        FlowEvent::Reopened {
            flow_key,
            silent,
            server,
            waited_ms,
        } => info!(log, "server silent in handshake"; "outcome" => kind, "flow" => %flow_key,
            "silent" => %silent, "server" => server.as_ref().map(ToString::to_string),
            "waited_ms" => waited_ms),
        FlowEvent::Evacuated { flow_key, left } => {
            info!(log, "server's zone evacuated in handshake";
            "outcome" => kind, "flow" => %flow_key, "left" => %left)
        }
        FlowEvent::Refused {
            flow_key, version, ..
        } => info!(log, "new flow refused";
            "outcome" => kind, "flow" => %flow_key, "version" => version),
        FlowEvent::Released {
            flow_key,
            server,
            missing_ms,
        } => info!(log, "flow of a gone server reset"; "outcome" => kind, "flow" => %flow_key,
            "server" => %server, "missing_ms" => missing_ms),
        FlowEvent::Dropped { flow_key, reason } => info!(log, "packet dropped";
            "outcome" => kind, "flow" => %flow_key, "reason" => %reason),
        FlowEvent::Suspected { server, misses } => warn!(log, "server suspected";
            "outcome" => kind, "server" => %server, "misses" => misses),
        FlowEvent::Stalled {
            flow_key,
            server,
            waited_ms,
        } => info!(log, "request not answered"; "outcome" => kind, "flow" => %flow_key,
            "server" => %server, "waited_ms" => waited_ms),
        FlowEvent::SuspicionCleared { server } => info!(log, "server answers again";
            "outcome" => kind, "server" => %server),
    }
}
