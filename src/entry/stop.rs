//! A planned stop: not ready at once, gone when no packets come any more.
//!
//! It stays for longer while its copy of the store would be lost with it, see
//! [`crate::replica::Handover`].

use std::time::Duration;

use tokio::time::Instant;

/// Least time between the signal and the end.
///
/// Routers ask twice a second and need two refusals; flows that they still send
/// here are passed on until then.
const LEAST: Duration = Duration::from_millis(1_800);

/// Silence that shows that the routers have left.
const QUIET: Duration = Duration::from_millis(700);

/// Time after the signal at which is asked who else has the copy. Also with a store that
/// does not answer this is known at [`LEAST`], and is not much older than the end.
pub(crate) const HAND_OVER_AFTER: Duration = Duration::from_millis(1_000);

/// Part of the grace time kept for ending, in milliseconds: at the end of the
/// grace time the process is killed.
const MARGIN: Duration = Duration::from_millis(1_000);

/// A stop in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    begun: Instant,
    grace: Duration,
    last_packet: Instant,
    /// Whether whoever starts next can get elsewhere what goes with this instance.
    is_copy_kept: bool,
}

impl Stop {
    pub(crate) fn new(now: Instant, grace: Duration) -> Self {
        Self {
            begun: now,
            grace,
            last_packet: now,
            is_copy_kept: false,
        }
    }

    /// The copy is elsewhere, too.
    pub(crate) fn note_kept(&mut self) {
        self.is_copy_kept = true;
    }

    pub(crate) fn note_packet(&mut self, now: Instant) {
        self.last_packet = now;
    }

    /// When the process may end, as far as is known now.
    pub(crate) fn ends_at(&self) -> Instant {
        let latest = self.begun + self.grace.saturating_sub(MARGIN);
        if !self.is_copy_kept {
            return latest;
        }
        let quiet = (self.last_packet + QUIET).max(self.begun + LEAST);
        quiet.min(latest)
    }
}
