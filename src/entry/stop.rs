//! Graceful stop: the instance reports "not ready" at once and exits when packets no
//! longer arrive.
//!
//! It waits longer while its copy of the store would be lost with it, see
//! [`crate::replica::Handover`].

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time between the signal and the exit.
///
/// Routers probe readiness twice a second and need two negative results. Until then they
/// send flows here, which are still forwarded.
const MIN_STOP_TIME: Duration = Duration::from_millis(1_800);

/// Time without packets after which routers are assumed to have stopped sending here.
const QUIET_TIME: Duration = Duration::from_millis(700);

/// Time between the signal and the check whether the copy is available elsewhere. The
/// result is known by [`MIN_STOP_TIME`] even if the store does not answer, and is still
/// recent when the process exits.
pub(crate) const HANDOVER_DELAY: Duration = Duration::from_millis(1_000);

/// Part of the grace time reserved for shutting down, since the process is killed at the
/// end of the grace time.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(1_000);

/// A graceful stop in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    started_at: Instant,
    grace: Duration,
    last_packet_at: Instant,
    /// Whether instances that start later can get the copy from elsewhere.
    is_copy_available_elsewhere: bool,
}

impl Stop {
    pub(crate) fn new(now: Instant, grace: Duration) -> Self {
        Self {
            started_at: now,
            grace,
            last_packet_at: now,
            is_copy_available_elsewhere: false,
        }
    }

    /// Records that instances that start later can get the copy from elsewhere.
    pub(crate) fn note_copy_available(&mut self) {
        self.is_copy_available_elsewhere = true;
    }

    pub(crate) fn note_packet(&mut self, now: Instant) {
        self.last_packet_at = now;
    }

    /// When the process may exit; later packets postpone it.
    pub(crate) fn ends_at(&self) -> Instant {
        let latest = self.started_at + self.grace.saturating_sub(SHUTDOWN_MARGIN);
        if !self.is_copy_available_elsewhere {
            return latest;
        }
        let quiet = (self.last_packet_at + QUIET_TIME).max(self.started_at + MIN_STOP_TIME);
        quiet.min(latest)
    }
}
