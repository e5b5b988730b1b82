//! State of the backend servers as observed by this instance.
//!
//! A [`Server`] is shared by all workers. Its state is behind its own lock, which is
//! always acquired last and held for a few instructions only. The outcomes of this
//! instance's own requests take precedence over health responses.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::document::Profile;
use crate::document::State as ListedState;
use crate::id;

/// How long after its last confirmation a server is still assumed to run its service,
/// provided that the health endpoints of most other servers don't respond either. It
/// bounds how long requests may go to an address that another service took over
/// meanwhile.
pub const TRUST_DURATION: Duration = Duration::from_secs(60);

/// Number of consecutive "not found" answers, received while the health endpoint does
/// not respond, after which an address no longer counts as running the service.
const MAX_NOT_FOUND: u32 = 3;

/// Shortest first pause after a server refused work.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Longest first pause; a server that asks for a longer one is tried after this time.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// How often the pause doubles while the server keeps refusing.
const MAX_DOUBLINGS: u32 = 3;

/// A backend server that may be chosen for work.
#[derive(Debug)]
pub struct Server {
    /// Name of the server.
    pub id: id::Server,
    /// The service that the platform lists the server for.
    pub service: id::Service,
    /// Availability zone of the server.
    pub zone: id::Zone,
    /// Address for requests.
    pub address: id::Endpoint,
    /// Address of the health endpoint.
    pub health: id::Endpoint,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    state: Mutex<State>,
    /// Task that waits for the watched connection to close; aborted when the server is dropped.
    connection_watch: Mutex<Option<AbortOnDropHandle<()>>>,
}

/// Current state of a server.
#[derive(Clone, Debug)]
pub struct State {
    /// This instance's requests in progress at the server.
    pub outstanding: u32,
    /// Other instances' requests in progress at the server, as last reported by them.
    pub peer_outstanding: u32,
    /// This instance's open feeds at the server.
    pub feeds: u32,
    /// Other instances' open feeds at the server, as last reported by them.
    pub peer_feeds: u32,
    /// State according to the platform's list.
    pub listed: ListedState,
    /// Whether an operator has drained the server.
    pub drained: bool,
    /// Whether operators have evacuated the server's zone: its feeds stay open, but it
    /// gets no new work.
    pub evacuated: bool,
    /// Whether the server's health response says that it is draining.
    pub draining: bool,
    /// Whether a connection is open whose end indicates that the process has ended.
    pub is_connection_watched: bool,
    /// Time until which the address is confirmed to run the listed service.
    pub confirmed_until: Option<Instant>,
    /// Time until which the last health response is valid.
    pub healthy_until: Option<Instant>,
    /// Number of consecutive "not found" answers.
    pub not_found_count: u32,
    /// How long a confirmation of the service is valid.
    pub confirmation_ttl: Duration,
    /// Time of the last confirmation that the address runs the listed service; none
    /// after evidence that it does not.
    pub last_confirmed_at: Option<Instant>,
    /// Time of the first confirmation, at which the slow start begins.
    pub up_since: Option<Instant>,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Time until which the server is ejected after failures.
    pub ejected_until: Option<Instant>,
    /// Time until which the server gets no work because it refused some.
    pub paused_until: Option<Instant>,
    /// Number of refusals since the last success; refusals within one pause count once.
    pub refusals: u32,
}

impl Server {
    /// Creates a server from its entry in the platform's list; it is not confirmed yet.
    pub fn new(id: id::Server, listed: &crate::document::Server) -> Self {
        Self {
            id,
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            address: listed.address,
            health: listed.health,
            slots: listed.slots.max(1),
            connection_watch: Mutex::default(),
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
                not_found_count: 0,
                confirmation_ttl: Duration::ZERO,
                last_confirmed_at: None,
                up_since: None,
                failures: 0,
                ejected_until: None,
                paused_until: None,
                refusals: 0,
            }),
        }
    }

    /// Locks and returns the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        // A thread that panicked while holding the lock leaves the counters usable.
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records a health response that named the listed service.
    pub fn confirm(&self, now: Instant, confirmation_ttl: Duration) {
        let mut state = self.state();
        state.confirmation_ttl = confirmation_ttl;
        state.last_confirmed_at = Some(now);
        state.confirmed_until = Some(now + confirmation_ttl);
        state.healthy_until = state.confirmed_until;
        state.not_found_count = 0;
        state.up_since.get_or_insert(now);
    }

    /// Records an answer to a request that named the service and was sent at `sent`.
    ///
    /// A server of another service rejects that service name, so the answer confirms
    /// the server as well as a health response does. The confirmation counts from the
    /// time of sending because the answer may be late. It has no effect after evidence
    /// that the address runs another service; only a health response overrides that.
    pub fn confirm_by_answer(&self, sent: Instant) {
        let mut state = self.state();
        let Some(last) = state.last_confirmed_at else {
            return;
        };
        state.last_confirmed_at = Some(last.max(sent));
        state.not_found_count = 0;
        let until = sent + state.confirmation_ttl;
        state.confirmed_until = state.confirmed_until.map(|known| known.max(until));
    }

    /// Records a "not found" answer. A server of another service always answers so, but
    /// the right server does at times too; while the health response is valid, the
    /// answer is therefore ignored.
    pub fn record_not_found(&self, now: Instant) {
        let mut state = self.state();
        if state.healthy_until.is_some_and(|until| now < until) {
            return;
        }
        state.not_found_count += 1;
        if state.not_found_count >= MAX_NOT_FOUND {
            state.last_confirmed_at = None;
            state.confirmed_until = None;
        }
    }

    /// Like [`Server::confirm`], unless the process that answered may have ended since:
    /// another service may use its address by now.
    pub(crate) fn confirm_if_connected(&self, sent: Instant, confirmation_ttl: Duration) {
        if self.state().is_connection_watched {
            self.confirm(sent, confirmation_ttl);
        }
    }

    /// Stores the task that waits for the watched connection to close.
    pub(crate) fn set_connection_watch(&self, task: AbortOnDropHandle<()>) {
        let mut slot = self
            .connection_watch
            .lock()
            .unwrap_or_else(|lock| lock.into_inner());
        *slot = Some(task);
    }

    /// Records that the watched connection closed and the process may have ended. The
    /// slow start does not begin again, since usually only an idle connection was closed.
    pub(crate) fn connection_lost(&self) {
        let mut state = self.state();
        state.is_connection_watched = false;
        state.confirmed_until = None;
    }

    /// Records that the address runs something else than the listed service.
    pub fn revoke_confirmation(&self) {
        let mut state = self.state();
        state.last_confirmed_at = None;
        state.confirmed_until = None;
        state.up_since = None;
    }

    /// Records that the server refused work and asked for a pause.
    ///
    /// Refusals may be the only sign that a server is leaving. With pauses that double
    /// and a single trial request after each, such a server gets almost no new work,
    /// and a server that was only overloaded still returns to use.
    pub fn record_refusal(&self, now: Instant, requested: Duration) {
        let mut state = self.state();
        // Several requests may have been in flight when the server began to refuse.
        if state.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let pause = requested.clamp(MIN_PAUSE, MAX_PAUSE) * 2u32.pow(state.refusals);
        state.paused_until = Some(now + pause);
        state.refusals = (state.refusals + 1).min(MAX_DOUBLINGS);
    }

    /// Reserves the server for one more request; returns whether the request may be sent.
    ///
    /// After a pause, two workers may choose the server at the same time. Only the first
    /// one succeeds: a server that shows by refusals alone that it is leaving should get
    /// one trial request in total, not one per worker.
    pub fn reserve(&self) -> bool {
        let mut state = self.state();
        if state.is_on_trial() {
            return false;
        }
        state.outstanding += 1;
        true
    }

    /// Records that the server handled a request.
    pub fn record_success(&self) {
        let mut state = self.state();
        state.failures = 0;
        state.refusals = 0;
    }

    /// Records a failure and returns the number of consecutive ones, by which the caller
    /// decides about ejection.
    pub fn record_failure(&self) -> u32 {
        let mut state = self.state();
        state.failures += 1;
        state.failures
    }
}

impl State {
    /// Whether the address is confirmed to run the listed service at this time.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed_until.is_some_and(|until| now < until)
    }

    /// Whether the server is confirmed, or was confirmed recently and has no failure since
    /// its last success: trust in a server that died ends with its first failure.
    pub fn is_trusted(&self, now: Instant) -> bool {
        let recent = self
            .last_confirmed_at
            .is_some_and(|at| now < at + TRUST_DURATION);
        self.is_confirmed(now) || (recent && self.failures == 0)
    }

    /// Whether any source says that the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.drained || self.draining || self.listed == ListedState::Leaving
    }

    /// Whether the server gets no new work because it is leaving or its zone is evacuated.
    pub fn is_closed_to_new_work(&self) -> bool {
        self.evacuated || self.is_leaving()
    }

    /// Whether the server is ejected after failures or paused after a refusal.
    pub fn is_in_cooldown(&self, now: Instant) -> bool {
        let is_future = |until: Option<Instant>| until.is_some_and(|until| now < until);
        is_future(self.ejected_until) || is_future(self.paused_until)
    }

    /// Whether the server may get new work.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.is_confirmed(now)
            && !self.is_closed_to_new_work()
            && !self.is_in_cooldown(now)
            && !self.is_on_trial()
    }

    /// Whether a trial request is in progress that shows if the server still refuses.
    fn is_on_trial(&self) -> bool {
        self.refusals > 0 && self.outstanding > 0
    }

    /// Requests in progress, of this and all other instances.
    pub fn load(&self) -> u32 {
        self.outstanding + self.peer_outstanding
    }

    /// Open feeds, of this and all other instances.
    pub fn feed_load(&self) -> u32 {
        self.feeds + self.peer_feeds
    }

    /// Share of the server's full weight during slow start, rising from 0.1 to 1.
    pub fn warmth(&self, now: Instant, profile: &Profile) -> f64 {
        const MIN_WARMTH: f64 = 0.1;
        let Some(since) = self.up_since else {
            return MIN_WARMTH;
        };
        if profile.slow_start_s == 0 {
            return 1.0;
        }
        let share = now.duration_since(since).as_secs_f64() / profile.slow_start_s as f64;
        share.clamp(MIN_WARMTH, 1.0)
    }
}
