//! Backend servers as this instance sees them.
//!
//! A [`Server`] is shared by all workers. Its state sits behind a lock of its
//! own, which is always the last one taken and is held for a few instructions.
//! What this instance saw itself counts for more than what health answers say.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::document::Profile;
use crate::document::State as Listed;
use crate::id;

/// How long a server is still believed to run its service after the last proof,
/// while the health endpoints of most others are silent too. It bounds how long
/// an address that was taken over meanwhile could be mistaken.
pub const TRUST_FOR: Duration = Duration::from_secs(60);

/// Answers "not found" in a row, while health is silent, after which an address
/// is no longer taken to run the service.
const MAX_DOUBTS: u32 = 3;
/// Shortest first pause given to a server that refused.
const LEAST_PAUSE: Duration = Duration::from_millis(200);

/// Longest first pause; a server that asks for more is tried all the same.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Times that the pause doubles while it goes on refusing.
const MAX_DOUBLINGS: u32 = 3;

/// A backend server that may be chosen for work.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub id: id::Server,
    /// The service that it is listed for.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where requests are sent.
    pub address: id::Endpoint,
    /// Where health is asked.
    pub health: id::Endpoint,
    /// Requests that it runs at once.
    pub slots: u32,
    state: Mutex<State>,
    /// Ends with the server.
    witness: Mutex<Option<AbortOnDropHandle<()>>>,
}

/// What is known of a server right now.
#[derive(Clone, Debug)]
pub struct State {
    /// Requests of ours in progress there.
    pub outstanding: u32,
    /// Requests of other instances in progress there, as they last told.
    pub peer_outstanding: u32,
    /// Feeds of ours open there.
    pub feeds: u32,
    /// Feeds of other instances open there, as they last told.
    pub peer_feeds: u32,
    /// What the platform's list says.
    pub listed: Listed,
    /// Whether an operator says that it is leaving.
    pub drained: bool,
    /// Whether operators have evacuated its zone: feeds stay, and nothing new comes.
    pub evacuated: bool,
    /// Whether its own health answer says that it is leaving.
    pub draining: bool,
    /// Whether a connection is open whose end tells of the process's end.
    pub is_connection_watched: bool,
    /// Until when the address is known to run the listed service.
    pub confirmed_until: Option<Instant>,
    /// Until when the last health answer counts.
    pub healthy_until: Option<Instant>,
    /// Answers "not found" in a row.
    pub doubts: u32,
    /// How long a proof of the service counts in full.
    pub valid: Duration,
    /// Time of the last proof that the address runs the listed service; none
    /// after a sign that it does not.
    pub proven_at: Option<Instant>,
    /// When it was first confirmed; the start of its slow start.
    pub up_since: Option<Instant>,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it rests.
    pub ejected_until: Option<Instant>,
    /// Until when it has asked for a pause.
    pub paused_until: Option<Instant>,
    /// Refusals since it last handled anything, those of one pause as one.
    pub refusals: u32,
}

impl Server {
    /// A server as listed, not yet confirmed.
    pub fn new(id: id::Server, listed: &crate::document::Server) -> Self {
        Self {
            id,
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            address: listed.address,
            health: listed.health,
            slots: listed.slots.max(1),
            witness: Mutex::default(),
            state: Mutex::new(State {
                outstanding: 0,
                peer_outstanding: 0,
                feeds: 0,
                peer_feeds: 0,
                listed: listed.state,
                drained: false,
                evacuated: false,
                draining: false,
                is_connection_watched: false,
                confirmed_until: None,
                healthy_until: None,
                doubts: 0,
                valid: Duration::ZERO,
                proven_at: None,
                up_since: None,
                failures: 0,
                ejected_until: None,
                paused_until: None,
                refusals: 0,
            }),
        }
    }

    /// The state, locked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves counts that are still usable.
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Notes a health answer that named the listed service.
    pub fn confirm(&self, now: Instant, valid: Duration) {
        let mut state = self.state();
        state.valid = valid;
        state.proven_at = Some(now);
        state.confirmed_until = Some(now + valid);
        state.healthy_until = state.confirmed_until;
        state.doubts = 0;
        state.up_since.get_or_insert(now);
    }

    /// Notes an answer to a request that named the service and was sent at `sent`.
    ///
    /// A server of another service refuses that name, so the answer proves as much
    /// as a health answer. It counts from the sending, as an answer may be late,
    /// and not after a sign to the contrary, which only a health answer lifts.
    pub fn confirm_by_answer(&self, sent: Instant) {
        let mut state = self.state();
        let Some(proven) = state.proven_at else {
            return;
        };
        state.proven_at = Some(proven.max(sent));
        state.doubts = 0;
        let until = sent + state.valid;
        state.confirmed_until = state.confirmed_until.map(|known| known.max(until));
    }

    /// Notes an answer that the right server gives at times and a server of
    /// another service gives always. It says nothing while health answers.
    pub fn record_not_found(&self, now: Instant) {
        let mut state = self.state();
        if state.healthy_until.is_some_and(|until| now < until) {
            return;
        }
        state.doubts += 1;
        if state.doubts >= MAX_DOUBTS {
            state.proven_at = None;
            state.confirmed_until = None;
        }
    }

    /// As [`Server::confirm`], unless the process that answered may have ended
    /// since: its address may be another service's by now.
    pub(crate) fn confirm_if_connected(&self, asked: Instant, valid: Duration) {
        if self.state().is_connection_watched {
            self.confirm(asked, valid);
        }
    }

    /// Keeps the task that waits for the end of the process.
    pub(crate) fn set_connection_watch(&self, witness: AbortOnDropHandle<()>) {
        let mut kept = self.witness.lock().unwrap_or_else(|lock| lock.into_inner());
        *kept = Some(witness);
    }

    /// Notes that the process may have ended. What is known of its speed stays,
    /// since most often only an idle connection was closed.
    pub(crate) fn connection_lost(&self) {
        let mut state = self.state();
        state.is_connection_watched = false;
        state.confirmed_until = None;
    }

    /// Notes that the address runs something else.
    pub fn revoke_confirmation(&self) {
        let mut state = self.state();
        state.proven_at = None;
        state.confirmed_until = None;
        state.up_since = None;
    }

    /// Notes that it refused work and wants a pause.
    ///
    /// A server that is leaving may say so by its refusals alone. Pauses that
    /// double, with one trial after each, let it have almost no new work, and one
    /// that was merely overloaded is found again.
    pub fn record_refusal(&self, now: Instant, asked: Duration) {
        let mut state = self.state();
        // Several requests may have been on their way when it began to refuse.
        if state.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let pause = asked.clamp(LEAST_PAUSE, LONGEST_PAUSE) * 2u32.pow(state.refusals);
        state.paused_until = Some(now + pause);
        state.refusals = (state.refusals + 1).min(MAX_DOUBLINGS);
    }

    /// Counts one more request in progress; tells whether it may be sent.
    ///
    /// Two workers may choose a server at the same moment that one of them is to
    /// try again after a pause. Only the first gets it, since a server that leaves
    /// by its refusals alone is owed one trial, not one of each worker.
    pub fn reserve(&self) -> bool {
        let mut state = self.state();
        if state.is_on_trial() {
            return false;
        }
        state.outstanding += 1;
        true
    }

    /// Notes that it handled something.
    pub fn record_success(&self) {
        let mut state = self.state();
        state.failures = 0;
        state.refusals = 0;
    }

    /// Notes a failure; the caller of this decides about ejection.
    pub fn record_failure(&self) -> u32 {
        let mut state = self.state();
        state.failures += 1;
        state.failures
    }
}

impl State {
    /// Whether the address is known to run the listed service at this moment.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed_until.is_some_and(|until| now < until)
    }

    /// Whether it was known to run the service not long ago and has answered since
    /// what it was sent: a server that died is given up at its first failure.
    pub fn is_trusted(&self, now: Instant) -> bool {
        let recent = self.proven_at.is_some_and(|at| now < at + TRUST_FOR);
        self.is_confirmed(now) || (recent && self.failures == 0)
    }

    /// Whether it is leaving, by any signal.
    pub fn is_leaving(&self) -> bool {
        self.drained || self.draining || self.listed == Listed::Leaving
    }

    /// Whether it is to get nothing new, for good or until its zone is back.
    pub fn is_closed(&self) -> bool {
        self.evacuated || self.is_leaving()
    }

    /// Whether it rests after failures or asked for a pause.
    pub fn is_in_cooldown(&self, now: Instant) -> bool {
        let later = |until: Option<Instant>| until.is_some_and(|until| now < until);
        later(self.ejected_until) || later(self.paused_until)
    }

    /// Whether new work may be sent.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.is_confirmed(now)
            && !self.is_closed()
            && !self.is_in_cooldown(now)
            && !self.is_on_trial()
    }

    /// Whether one request is finding out if it still refuses.
    fn is_on_trial(&self) -> bool {
        self.refusals > 0 && self.outstanding > 0
    }

    /// Requests in progress, everyone's.
    pub fn load(&self) -> u32 {
        self.outstanding + self.peer_outstanding
    }

    /// Feeds open, everyone's.
    pub fn feed_load(&self) -> u32 {
        self.feeds + self.peer_feeds
    }

    /// Share of its full weight, from 0.1 at the start to 1 when warm.
    pub fn warmth(&self, now: Instant, profile: &Profile) -> f64 {
        const LEAST: f64 = 0.1;
        let Some(since) = self.up_since else {
            return LEAST;
        };
        if profile.slow_start_s == 0 {
            return 1.0;
        }
        let share = now.duration_since(since).as_secs_f64() / profile.slow_start_s as f64;
        share.clamp(LEAST, 1.0)
    }
}
