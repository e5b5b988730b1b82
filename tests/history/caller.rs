//! Callers: copies until something is heard, and what they were told.

use std::collections::HashMap;
use std::time::Duration;

use godwitreel::request::Flow;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;

/// Waits between the copies of a request.
pub(crate) const COPY_WAITS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(8),
];

/// Silence after which a caller opens its feed anew, as with Max-Age.
pub(crate) const REOPEN_AFTER: Duration = Duration::from_secs(20);

/// One request through its whole life.
pub(crate) struct Ticket {
    pub(crate) flow: Flow,
    pub(crate) kind: Kind,
    pub(crate) sent: Duration,
    pub(crate) copies: usize,
    pub(crate) is_acknowledged: bool,
    pub(crate) starts: u32,
    /// Outcomes that some instance gave, with the time.
    pub(crate) given: Vec<(Duration, Outcome)>,
    /// Outcomes that reached the caller.
    pub(crate) told: Vec<Outcome>,
    /// When an engine first had it.
    pub(crate) handled: Option<Duration>,
    /// Engines that had it.
    pub(crate) holders: Vec<(usize, u64)>,
    /// Whether something that carried it was lost, killed or frozen.
    pub(crate) excused: bool,
}

/// The feed that a caller keeps open.
#[derive(Clone, Debug)]
pub(crate) struct Board {
    pub(crate) flow: Flow,
    pub(crate) number: u64,
    pub(crate) newest: u32,
    pub(crate) at: Duration,
    pub(crate) reopened: u32,
    /// Message numbers seen, with the time: a caller drops what looks like a copy.
    pub(crate) messages: HashMap<u16, Duration>,
    /// Longest time without a fresh notification.
    pub(crate) gap: Duration,
}

/// How long a message number is remembered (RFC 7252, section 4.8.2).
const MESSAGE_LIFETIME: Duration = Duration::from_secs(145);

impl Board {
    /// Whether a message is a copy by its number.
    pub(crate) fn is_copy(&mut self, now: Duration, message: u16) -> bool {
        let seen = self.messages.insert(message, now);
        seen.is_some_and(|at| now < at + MESSAGE_LIFETIME)
    }

    /// Notes a sign of life.
    pub(crate) fn refresh(&mut self, now: Duration, sequence: u32) {
        self.gap = self.gap.max(now - self.at);
        self.newest = sequence;
        self.at = now;
    }
}

/// Whether a notification is newer than the newest seen (RFC 7641, section 3.4).
pub(crate) fn is_fresh(old: (u32, Duration), new: (u32, Duration)) -> bool {
    const HALF: u32 = 1 << 23;
    const LONG: Duration = Duration::from_secs(128);
    let (v1, v2) = (old.0, new.0);
    (v1 < v2 && v2 - v1 < HALF) || (v1 > v2 && v1 - v2 > HALF) || new.1 > old.1 + LONG
}
