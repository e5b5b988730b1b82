//! Rate-limited log of flow decisions.
//!
//! Each decision about a flow is one line with the flow, the inputs and the outcome.
//! Lines beyond the rate are omitted; the next written line gives their number.

use slog::Logger;
use slog::info;
use slog::o;
use slog::warn;
use tokio::time::Instant;

use crate::flow::FlowEvent;
use crate::flow::Routes;
use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;

/// Number of routes without a valid class that one line names. The status lists all.
const MAX_INVALID_CLASSES: usize = 8;

/// Values logged with every decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context {
    /// Time since the last contact with the store, in milliseconds.
    pub(crate) contact_age_ms: Option<u64>,
}

/// Writes flow events as log lines.
pub(crate) struct FlowLog {
    log: Logger,
    bucket: TokenBucket,
    omitted: u64,
}

impl FlowLog {
    pub(crate) fn new(log: Logger, rate: Rate, now: Instant) -> Self {
        Self {
            log,
            bucket: TokenBucket::new(rate, now),
            omitted: 0,
        }
    }

    /// Adds events that were dropped before they could be written.
    pub(crate) fn add_omitted(&mut self, count: u64) {
        self.omitted += count;
    }

    /// Writes an event, or counts it as omitted; returns whether it was written.
    pub(crate) fn write(&mut self, now: Instant, event: &FlowEvent, context: Context) -> bool {
        let has_room = if is_urgent(event) {
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
        write_line(&log, event);
        true
    }
}

/// Writes one line if some routes of a configuration have no valid class.
pub(crate) fn write_invalid_classes(log: &Logger, routes: &Routes) {
    let invalid = &routes.invalid_classes;
    if invalid.is_empty() {
        return;
    }
    let named: Vec<String> = invalid
        .iter()
        .take(MAX_INVALID_CLASSES)
        .map(|invalid| format!("{}: {}", invalid.route, invalid.reason))
        .collect();
    warn!(log, "routes without a valid class"; "version" => routes.version,
        "count" => invalid.len(), "routes" => named.join("; "));
}

/// Whether an event may use the reserve of the rate limit. Events that explain failures
/// take precedence over placed flows and dropped packets, which are frequent.
fn is_urgent(event: &FlowEvent) -> bool {
    !matches!(event, FlowEvent::Placed { .. } | FlowEvent::Dropped { .. })
}

/// Label value of an event for the decision counters.
pub(crate) fn kind(event: &FlowEvent) -> &'static str {
    match event {
        FlowEvent::Placed {
            is_remote: true, ..
        } => "placed_remote",
        FlowEvent::Placed { .. } => "placed",
        FlowEvent::Reopened { server: None, .. } => "reopen_failed",
        FlowEvent::Reopened { .. } => "reopened",
        FlowEvent::Evacuated { .. } => "left_evacuated",
        FlowEvent::Rerouted { .. } => "rerouted",
        FlowEvent::Refused { reason, .. } => reason.code(),
        FlowEvent::Waited { is_placed, .. } => match is_placed {
            true => "waited",
            false => "waited_in_vain",
        },
        FlowEvent::Released { .. } => "released",
        FlowEvent::AddressClaimed { .. } => "address_claimed",
        FlowEvent::TagIgnored { .. } => "tag_ignored",
        FlowEvent::Dropped { .. } => "dropped",
        FlowEvent::Suspected { .. } => "suspected",
        FlowEvent::Stalled { .. } => "stalled",
        FlowEvent::SuspicionCleared { .. } => "cleared",
    }
}

fn write_line(log: &Logger, event: &FlowEvent) {
    let kind = kind(event);
    match event {
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
        FlowEvent::Rerouted {
            flow_key,
            left,
            version,
        } => info!(log, "route changed in handshake"; "outcome" => kind, "flow" => %flow_key,
            "left" => %left, "version" => version),
        FlowEvent::Refused {
            flow_key, version, ..
        } => info!(log, "new flow refused";
            "outcome" => kind, "flow" => %flow_key, "version" => version),
        FlowEvent::Waited {
            flow_key,
            service,
            priority,
            waited_ms,
            load,
            slots,
            in_progress,
            ..
        } => info!(log, "opening not admitted on arrival"; "outcome" => kind,
            "flow" => %flow_key, "service" => %service, "priority" => priority.0,
            "waited_ms" => waited_ms, "load" => load, "slots" => slots,
            "in_progress" => in_progress),
        FlowEvent::Released {
            flow_key,
            server,
            missing_ms,
        } => info!(log, "flow of a gone server reset"; "outcome" => kind, "flow" => %flow_key,
            "server" => %server, "missing_ms" => missing_ms),
        FlowEvent::AddressClaimed { server, known } => {
            info!(log, "address claimed by another server";
            "outcome" => kind, "server" => %server, "known" => %known)
        }
        FlowEvent::TagIgnored {
            flow_key,
            server,
            tagged,
        } => info!(log, "tag of another server"; "outcome" => kind, "flow" => %flow_key,
            "server" => %server, "tagged" => %tagged),
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
