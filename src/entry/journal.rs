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

use crate::flow::Note;
use crate::platform::rate_limit::Bucket;
use crate::platform::rate_limit::Rate;

/// What the lines tell beside the decision itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context {
    /// Time since the store last answered, in milliseconds.
    pub(crate) contact_age_ms: Option<u64>,
}

/// Writes notes as log lines.
pub(crate) struct Journal {
    log: Logger,
    bucket: Bucket,
    omitted: u64,
}

impl Journal {
    pub(crate) fn new(log: Logger, rate: Rate, now: Instant) -> Self {
        Self {
            log,
            bucket: Bucket::new(rate, now),
            omitted: 0,
        }
    }

    /// Counts lines that were left out before they came here.
    pub(crate) fn omit(&mut self, count: u64) {
        self.omitted += count;
    }

    /// Writes a note, or counts it; says whether it was written.
    pub(crate) fn write(&mut self, now: Instant, note: &Note, context: Context) -> bool {
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
fn is_rare(note: &Note) -> bool {
    !matches!(note, Note::Placed { .. } | Note::Dropped { .. })
}

/// The kind of a note, for the counters.
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

fn line(log: &Logger, note: &Note) {
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
