//! Rate-limited log of flow decisions.
//!
//! Each decision about a flow is one line with the flow, the inputs and the outcome.
//! Lines beyond the rate are omitted; the next written line gives their number.

use slog::Logger;
use slog::info;
use slog::o;
use slog::warn;
use tokio::time::Instant;

use crate::flow::Note;
use crate::platform::allowance::Bucket;
use crate::platform::allowance::Rate;

/// Values logged with every decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context {
    /// Time since the last contact with the store, in milliseconds.
    pub(crate) contact_age_ms: Option<u64>,
}

/// Writes flow events as log lines.
pub(crate) struct FlowLog {
    log: Logger,
    bucket: Bucket,
    omitted: u64,
}

impl FlowLog {
    pub(crate) fn new(log: Logger, rate: Rate, now: Instant) -> Self {
        Self {
            log,
            bucket: Bucket::new(rate, now),
            omitted: 0,
        }
    }

    /// Adds events that were dropped before they could be written.
    pub(crate) fn add_omitted(&mut self, count: u64) {
        self.omitted += count;
    }

    /// Writes an event, or counts it as omitted; returns whether it was written.
    pub(crate) fn write(&mut self, now: Instant, note: &Note, context: Context) -> bool {
        let has_room = if is_urgent(note) {
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
        write_line(&log, note);
        true
    }
}

/// Whether an event may use the reserve of the rate limit. Events that explain failures
/// take precedence over placed flows and dropped packets, which are frequent.
fn is_urgent(note: &Note) -> bool {
    !matches!(note, Note::Placed { .. } | Note::Dropped { .. })
}

/// Label value of an event for the decision counters.
pub(crate) fn kind(note: &Note) -> &'static str {
    match note {
        Note::Placed {
            is_remote: true, ..
        } => "placed_remote",
        Note::Placed { .. } => "placed",
        Note::Reopened { server: None, .. } => "reopen_failed",
        Note::Reopened { .. } => "reopened",
        Note::Evacuated { .. } => "left_evacuated",
        Note::Refused { reason, .. } => reason.code(),
        Note::Released { .. } => "released",
        Note::Dropped { .. } => "dropped",
        Note::Suspected { .. } => "suspected",
        Note::Stalled { .. } => "stalled",
        Note::Cleared { .. } => "cleared",
    }
}

fn write_line(log: &Logger, note: &Note) {
    let kind = kind(note);
    match note {
        Note::Placed {
            pair,
            server,
            outstanding,
            candidates,
            version,
            ..
        } => info!(log, "new flow"; "outcome" => kind, "flow" => %pair, "server" => %server,
            "outstanding" => outstanding, "candidates" => candidates, "version" => version),
        Note::Reopened {
            pair,
            silent,
            server,
            waited_ms,
        } => info!(log, "server silent in handshake"; "outcome" => kind, "flow" => %pair,
            "silent" => %silent, "server" => server.as_ref().map(ToString::to_string),
            "waited_ms" => waited_ms),
        Note::Evacuated { pair, left } => info!(log, "server's zone evacuated in handshake";
            "outcome" => kind, "flow" => %pair, "left" => %left),
        Note::Refused { pair, version, .. } => info!(log, "new flow refused";
            "outcome" => kind, "flow" => %pair, "version" => version),
        Note::Released {
            pair,
            server,
            missing_ms,
        } => info!(log, "flow of a gone server reset"; "outcome" => kind, "flow" => %pair,
            "server" => %server, "missing_ms" => missing_ms),
        Note::Dropped { pair, reason } => info!(log, "packet dropped";
            "outcome" => kind, "flow" => %pair, "reason" => %reason),
        Note::Suspected { server, misses } => warn!(log, "server suspected";
            "outcome" => kind, "server" => %server, "misses" => misses),
        Note::Stalled {
            pair,
            server,
            waited_ms,
        } => info!(log, "request not answered"; "outcome" => kind, "flow" => %pair,
            "server" => %server, "waited_ms" => waited_ms),
        Note::Cleared { server } => info!(log, "server answers again";
            "outcome" => kind, "server" => %server),
    }
}
