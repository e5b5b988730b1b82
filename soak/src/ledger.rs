//! What callers and backend servers saw, and the promises that it breaks.
//!
//! A promise with a time bound holds for instances that are in touch: neither
//! they nor the store were disturbed for a while before.

use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// How long after a disturbance an instance, or the store, counts as disturbed.
pub const TOUCH: Duration = Duration::from_secs(4);

/// Bound after which a draining server gets no new flows and a configuration is
/// in force.
pub const BOUND: Duration = Duration::from_secs(3);

/// How late a task of this process may run, on a machine that is busy too.
const SLACK: Duration = Duration::from_millis(300);

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// When, since the start.
    pub at: Duration,
    /// Which promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(f, "{at:8.3} s {}: {}", self.promise, self.detail)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its own whole answer.
    Served,
    /// The flow did not open or was reset.
    Refused,
    /// Nothing until the deadline.
    Silent,
}

/// A second of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Requests that were served.
    pub served: u32,
    /// Requests that were not.
    pub failed: u32,
    /// Open flows that the system reset.
    pub reset: u32,
    /// Oldest copy of the store at any instance that answered, in milliseconds.
    pub oldest_view_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    breaches: Vec<Breach>,
    seconds: Vec<Second>,
    runs: HashMap<u64, u32>,
    disturbed: HashMap<Ipv4Addr, Instant>,
    store_disturbed: Option<Instant>,
    /// Backend servers by serial: when their draining was acknowledged.
    draining: HashMap<u64, Instant>,
    /// Serials of backend servers that run.
    alive: HashMap<u64, ()>,
    /// Zones by number: when their evacuation was acknowledged.
    evacuated: HashMap<u8, Instant>,
    /// Routes by port: when they were last added (`true`) or withdrawn.
    routes: HashMap<u16, (bool, Instant)>,
    faults: Vec<(Duration, String)>,
}

/// The ledger of one run.
#[derive(Debug)]
pub struct Ledger {
    start: Instant,
    state: Mutex<State>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            state: Mutex::default(),
        }
    }
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a broken promise.
    pub fn breach(&self, promise: &'static str, detail: impl ToString) {
        let at = self.start.elapsed();
        let detail = detail.to_string();
        self.lock().breaches.push(Breach {
            at,
            promise,
            detail,
        });
    }

    /// Notes a fault, for the report.
    pub fn fault(&self, what: impl ToString) {
        let at = self.start.elapsed();
        self.lock().faults.push((at, what.to_string()));
    }

    /// An instance is disturbed until now, or until later.
    pub fn disturb(&self, instance: Ipv4Addr, for_: Duration) {
        let until = Instant::now() + for_;
        let mut state = self.lock();
        let known = state.disturbed.entry(instance).or_insert(until);
        *known = until.max(*known);
    }

    /// The store is disturbed until now, or until later.
    pub fn disturb_store(&self, for_: Duration) {
        let until = Instant::now() + for_;
        let mut state = self.lock();
        state.store_disturbed = state.store_disturbed.max(Some(until));
    }

    /// A backend server has started.
    pub fn started(&self, serial: u64) {
        self.lock().alive.insert(serial, ());
    }

    /// A backend server has ended.
    pub fn ended(&self, serial: u64) {
        self.lock().alive.remove(&serial);
    }

    /// The store has acknowledged that a backend server drains.
    pub fn draining(&self, serial: u64) {
        self.lock().draining.insert(serial, Instant::now());
    }

    /// The store has acknowledged that a zone is evacuated, or used again.
    pub fn evacuate(&self, zone: u8, is_evacuated: bool) {
        let mut state = self.lock();
        if is_evacuated {
            state.evacuated.insert(zone, Instant::now());
        } else {
            state.evacuated.remove(&zone);
        }
    }

    /// The store has acknowledged that a route was added or withdrawn.
    pub fn route(&self, port: u16, is_added: bool) {
        self.lock().routes.insert(port, (is_added, Instant::now()));
    }

    /// A backend server of a zone took an opening packet from an instance.
    pub fn opened(&self, serial: u64, zone: u8, port: u16, instance: Ipv4Addr) {
        let now = Instant::now();
        let state = self.lock();
        if !state.is_in_touch(instance, now) {
            return;
        }
        let is_late = |since: &Instant| now > *since + BOUND + SLACK;
        let draining = state.draining.get(&serial).filter(|since| is_late(since));
        let late = draining.map(|since| now - *since);
        let withdrawn = state.routes.get(&port);
        let withdrawn = withdrawn.filter(|(added, since)| !added && is_late(since));
        let dropped = withdrawn.map(|(_, since)| now - *since);
        let evacuated = state.evacuated.get(&zone).filter(|since| is_late(since));
        let emptied = evacuated.map(|since| now - *since);
        drop(state);
        if let Some(late) = emptied {
            let detail = format!("server {serial:x} after {late:?} by {instance}");
            self.breach("evacuated zone got a new flow", detail);
        }
        if let Some(late) = late {
            let detail = format!("server {serial:x} after {late:?} by {instance}");
            self.breach("draining server got a new flow", detail);
        }
        if let Some(late) = dropped {
            let detail = format!("port {port} after {late:?} by {instance}");
            self.breach("withdrawn route used", detail);
        }
    }

    /// A backend server began a request.
    pub fn ran(&self, request: u64, may_repeat: bool) {
        let mut state = self.lock();
        let runs = state.runs.entry(request).or_default();
        *runs += 1;
        let runs = *runs;
        drop(state);
        if runs > 1 && !may_repeat {
            self.breach("non-idempotent request ran twice", format!("{request:x}"));
        }
    }

    /// The system has reset a flow that was open at a server.
    pub fn reset_open(&self, serial: u64, detail: &str) {
        let second = self.second();
        let mut state = self.lock();
        let is_alive = state.alive.contains_key(&serial);
        state.at(second).reset += 1;
        let calm = state
            .disturbed
            .values()
            .all(|at| Instant::now() > *at + TOUCH);
        let calm = calm && state.is_store_calm(Instant::now());
        drop(state);
        if is_alive && calm {
            let detail = format!("server {serial:x}: {detail}");
            self.breach("open flow of a living server reset", detail);
        }
    }

    /// A new flow to a route was reset although servers take some.
    pub fn refused(&self, port: u16) {
        let now = Instant::now();
        let state = self.lock();
        let known = state.routes.get(&port);
        let is_old = known.is_some_and(|(added, since)| *added && now > *since + BOUND + SLACK);
        let calm = state.disturbed.values().all(|at| now > *at + TOUCH);
        let is_breach = is_old && calm && state.is_store_calm(now);
        drop(state);
        if is_breach {
            self.breach("known route refused", format!("port {port}"));
        }
    }

    /// A request has ended for its caller.
    pub fn settle(&self, outcome: Outcome) {
        let second = self.second();
        let mut state = self.lock();
        let row = state.at(second);
        match outcome {
            Outcome::Served => row.served += 1,
            Outcome::Refused | Outcome::Silent => row.failed += 1,
        }
    }

    /// An instance has told how old its copy of the store is.
    pub fn view_age(&self, age_ms: u64) {
        let second = self.second();
        let mut state = self.lock();
        let row = state.at(second);
        row.oldest_view_ms = row.oldest_view_ms.max(age_ms);
    }

    fn second(&self) -> usize {
        self.start.elapsed().as_secs() as usize
    }

    /// What was seen.
    pub fn summary(&self) -> Summary {
        let state = self.lock();
        Summary {
            breaches: state.breaches.clone(),
            seconds: state.seconds.clone(),
            faults: state.faults.clone(),
        }
    }
}

impl State {
    fn at(&mut self, second: usize) -> &mut Second {
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        &mut self.seconds[second]
    }

    fn is_store_calm(&self, now: Instant) -> bool {
        self.store_disturbed.is_none_or(|until| now > until + TOUCH)
    }

    fn is_in_touch(&self, instance: Ipv4Addr, now: Instant) -> bool {
        let until = self.disturbed.get(&instance);
        self.is_store_calm(now) && until.is_none_or(|until| now > *until + TOUCH)
    }
}

/// Everything that a run has shown.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Broken promises.
    pub breaches: Vec<Breach>,
    /// The run by seconds.
    pub seconds: Vec<Second>,
    /// Faults and when they began.
    pub faults: Vec<(Duration, String)>,
}
