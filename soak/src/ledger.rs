//! Records what callers and backend servers observe, and checks it against the
//! guarantees of the system.
//!
//! A guarantee with a time bound is checked only for an instance that is undisturbed:
//! neither the instance nor the store had a fault within the last few seconds.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use godwitreel::flow::FlowKey;
use godwitreel::flow::Priority;

use crate::opening;
use crate::starvation;
use crate::starvation::Counts;

/// How long an instance or the store still counts as disturbed after a fault has ended.
pub const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time within which all instances must apply a change of the store: a draining server
/// gets no new flows, and a new configuration is applied.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(3);

/// Allowance for tasks of this process that run late on a busy machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(300);

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Time since the start of the run.
    pub at: Duration,
    /// Description of the violation.
    pub violation: &'static str,
    /// The flow, server or request that shows it.
    pub detail: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(f, "{at:8.3} s {}: {}", self.violation, self.detail)
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller received a response.
    Served,
    /// The opening of the flow was refused, or the flow was reset.
    Refused,
    /// No response came before the deadline.
    TimedOut,
}

/// Counts of one second of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Requests that were served.
    pub served: u32,
    /// Requests that were not served.
    pub failed: u32,
    /// Open flows that the system reset.
    pub reset: u32,
    /// Age of the oldest copy of the store that an instance reported, in milliseconds.
    pub oldest_view_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    breaches: Vec<Breach>,
    seconds: Vec<SecondCounts>,
    /// How often each request was run, by its number.
    run_counts: HashMap<u64, u32>,
    disturbed_until: HashMap<Ipv4Addr, Instant>,
    store_disturbed_until: Option<Instant>,
    /// When the store acknowledged that a server drains, by the serial of the server.
    draining: HashMap<u64, Instant>,
    /// Serials of the running backend servers.
    running_servers: HashMap<u64, ()>,
    /// When the store acknowledged the evacuation of a zone, by the number of the zone.
    evacuated: HashMap<u8, Instant>,
    /// When each route was last added (`true`) or withdrawn, by port.
    routes: HashMap<u16, (bool, Instant)>,
    faults: Vec<(Duration, String)>,
    /// Priorities of the routes that share a service, by port.
    priorities: HashMap<u16, Priority>,
    /// Time up to which requests with a lower priority may be refused.
    overloaded_until: Option<Instant>,
    openings: opening::Log,
    starvation: starvation::Monitor,
}

/// Observations and violated guarantees of one run.
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

    /// Records a violated guarantee.
    pub fn record_breach(&self, violation: &'static str, detail: impl ToString) {
        let at = self.start.elapsed();
        let detail = detail.to_string();
        self.lock().breaches.push(Breach {
            at,
            violation,
            detail,
        });
    }

    /// Records the start of a fault, for the report.
    pub fn record_fault(&self, fault: impl ToString) {
        let at = self.start.elapsed();
        self.lock().faults.push((at, fault.to_string()));
    }

    /// Marks an instance as disturbed from now on for a time, which may be zero.
    pub fn mark_disturbed(&self, instance: Ipv4Addr, duration: Duration) {
        let until = Instant::now() + duration;
        let mut state = self.lock();
        let known = state.disturbed_until.entry(instance).or_insert(until);
        *known = until.max(*known);
    }

    /// Marks the store as disturbed from now on for a time, which may be zero.
    pub fn mark_store_disturbed(&self, duration: Duration) {
        let until = Instant::now() + duration;
        let mut state = self.lock();
        state.store_disturbed_until = state.store_disturbed_until.max(Some(until));
    }

    /// Records that a backend server has started.
    pub fn server_started(&self, serial: u64) {
        self.lock().running_servers.insert(serial, ());
    }

    /// Records that a backend server has stopped.
    pub fn server_stopped(&self, serial: u64) {
        self.lock().running_servers.remove(&serial);
    }

    /// Records that the store has acknowledged that a backend server drains.
    pub fn server_draining(&self, serial: u64) {
        self.lock().draining.insert(serial, Instant::now());
    }

    /// Records that the store has acknowledged an evacuation, or that one is about to end.
    pub fn set_zone_evacuated(&self, zone: u8, is_evacuated: bool) {
        let mut state = self.lock();
        if is_evacuated {
            state.evacuated.insert(zone, Instant::now());
        } else {
            state.evacuated.remove(&zone);
        }
    }

    /// Records that the store has acknowledged that a route was added or withdrawn.
    pub fn set_route(&self, port: u16, is_added: bool) {
        self.lock().routes.insert(port, (is_added, Instant::now()));
    }

    /// Records the priority of a route, whose openings and requests are checked by it.
    pub fn set_priority(&self, port: u16, priority: Priority) {
        let mut state = self.lock();
        state.priorities.insert(port, priority);
        state.starvation.add(priority);
    }

    /// Marks the service with priorities as short of servers from now on for a time.
    pub fn mark_overloaded(&self, duration: Duration) {
        let until = Instant::now() + duration;
        let mut state = self.lock();
        state.overloaded_until = state.overloaded_until.max(Some(until));
    }

    /// Checks that the instance from which a server accepted the opening did not reset it.
    pub fn opening_accepted(&self, flow_key: FlowKey, instance: Ipv4Addr) {
        self.check_opening(flow_key, |openings| openings.accepted(flow_key, instance));
    }

    /// Checks that the caller of the flow was not told that nothing ran.
    pub fn request_ran(&self, flow_key: FlowKey) {
        self.check_opening(flow_key, |openings| openings.ran(flow_key));
    }

    /// Checks a reset that a caller got, from an instance or a server, before its flow opened.
    pub fn opening_reset(&self, flow_key: FlowKey, instance: Option<Ipv4Addr>, syn_count: usize) {
        self.check_opening(flow_key, |openings| {
            openings.reset(flow_key, instance, syn_count)
        });
    }

    /// Adds an observation to the log of openings if the flow's route has a priority, and
    /// records the violation that it shows.
    fn check_opening(
        &self,
        flow_key: FlowKey,
        observe: impl FnOnce(&mut opening::Log) -> Option<&'static str>,
    ) {
        let mut state = self.lock();
        if !state.priorities.contains_key(&flow_key.service.port()) {
            return;
        }
        let violation = observe(&mut state.openings);
        drop(state);
        if let Some(violation) = violation {
            self.record_breach(violation, flow_key);
        }
    }

    /// Checks that all priorities are served again, by the last requests of the run.
    pub fn check_priorities(&self, window: Duration) {
        let since = Instant::now() - window;
        let unrecovered = self.lock().starvation.unrecovered(since);
        for (priority, counts) in unrecovered {
            let Counts { served, failed } = counts;
            let detail = format!("priority {priority}: {served} served, {failed} not");
            self.record_breach("no recovery after the burst", detail);
        }
    }

    /// Checks that a backend server may get a new flow from an instance.
    pub fn flow_opened(&self, serial: u64, zone: u8, port: u16, instance: Ipv4Addr) {
        let now = Instant::now();
        let state = self.lock();
        if !state.is_undisturbed(instance, now) {
            return;
        }
        let is_late = |since: &Instant| now > *since + PROPAGATION_BOUND + SCHEDULING_SLACK;
        let draining = state.draining.get(&serial).filter(|since| is_late(since));
        let draining_for = draining.map(|since| now - *since);
        let withdrawn = state.routes.get(&port);
        let withdrawn = withdrawn.filter(|(added, since)| !added && is_late(since));
        let withdrawn_for = withdrawn.map(|(_, since)| now - *since);
        let evacuated = state.evacuated.get(&zone).filter(|since| is_late(since));
        let evacuated_for = evacuated.map(|since| now - *since);
        drop(state);
        if let Some(late) = evacuated_for {
            let detail = format!("server {serial:x} after {late:?} by {instance}");
            self.record_breach("evacuated zone got a new flow", detail);
        }
        if let Some(late) = draining_for {
            let detail = format!("server {serial:x} after {late:?} by {instance}");
            self.record_breach("draining server got a new flow", detail);
        }
        if let Some(late) = withdrawn_for {
            let detail = format!("port {port} after {late:?} by {instance}");
            self.record_breach("withdrawn route used", detail);
        }
    }

    /// Records that a backend server runs a request, and checks that the request may run.
    pub fn request_started(&self, request: u64, is_idempotent: bool) {
        let mut state = self.lock();
        let run_count = state.run_counts.entry(request).or_default();
        *run_count += 1;
        let run_count = *run_count;
        drop(state);
        if run_count > 1 && !is_idempotent {
            self.record_breach("non-idempotent request ran twice", format!("{request:x}"));
        }
    }

    /// Records that the system has reset a flow that was open at a server, and checks that
    /// the server has stopped or a fault explains the reset.
    pub fn open_flow_reset(&self, serial: u64, detail: &str) {
        let index = self.current_second();
        let mut state = self.lock();
        let is_running = state.running_servers.contains_key(&serial);
        state.counts_at(index).reset += 1;
        let is_calm = state
            .disturbed_until
            .values()
            .all(|at| Instant::now() > *at + RECOVERY_TIME);
        let is_calm = is_calm && state.is_store_undisturbed(Instant::now());
        drop(state);
        if is_running && is_calm {
            let detail = format!("server {serial:x}: {detail}");
            self.record_breach("open flow of a living server reset", detail);
        }
    }

    /// Checks that the reset of a new flow by the system is explained by a fault, by a
    /// recent change of its route, or by an overload, which is no reason with the highest
    /// priority. Each route always has a ready server.
    pub fn flow_refused(&self, port: u16) {
        let now = Instant::now();
        let state = self.lock();
        let known = state.routes.get(&port);
        let is_settled = known.is_some_and(|(added, since)| {
            *added && now > *since + PROPAGATION_BOUND + SCHEDULING_SLACK
        });
        let is_calm = state
            .disturbed_until
            .values()
            .all(|at| now > *at + RECOVERY_TIME);
        let is_calm = is_calm && state.is_store_undisturbed(now);
        let is_breach = is_settled && is_calm && !state.may_refuse(port, now);
        drop(state);
        if is_breach {
            self.record_breach("known route refused", format!("port {port}"));
        }
    }

    /// Counts the outcome of a request.
    pub fn request_finished(&self, port: u16, outcome: Outcome) {
        let index = self.current_second();
        let mut state = self.lock();
        let counts = state.counts_at(index);
        match outcome {
            Outcome::Served => counts.served += 1,
            Outcome::Refused | Outcome::TimedOut => counts.failed += 1,
        }
        let Some(priority) = state.priorities.get(&port).copied() else {
            return;
        };
        let starved_for = state.prioritized_finished(priority, outcome, Instant::now());
        drop(state);
        if let Some(duration) = starved_for {
            let detail = format!("priority {priority} for {duration:?}");
            self.record_breach("priority got nothing", detail);
        }
    }

    /// Records the age of the copy of the store that an instance reports.
    pub fn record_view_age(&self, age_ms: u64) {
        let index = self.current_second();
        let mut state = self.lock();
        let counts = state.counts_at(index);
        counts.oldest_view_ms = counts.oldest_view_ms.max(age_ms);
    }

    fn current_second(&self) -> usize {
        self.start.elapsed().as_secs() as usize
    }

    /// Results of the run so far.
    pub fn summary(&self) -> Summary {
        let state = self.lock();
        Summary {
            breaches: state.breaches.clone(),
            seconds: state.seconds.clone(),
            faults: state.faults.clone(),
            priorities: state.starvation.counts(self.start),
        }
    }
}

impl State {
    fn counts_at(&mut self, index: usize) -> &mut SecondCounts {
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondCounts::default());
        }
        &mut self.seconds[index]
    }

    fn is_store_undisturbed(&self, now: Instant) -> bool {
        self.store_disturbed_until
            .is_none_or(|until| now > until + RECOVERY_TIME)
    }

    /// Whether the overload explains that an opening on a route is refused.
    fn may_refuse(&self, port: u16, now: Instant) -> bool {
        let highest = self.priorities.values().min();
        let is_lower = self.priorities.get(&port) > highest;
        is_lower && self.overloaded_until.is_some_and(|until| now <= until)
    }

    /// Records the end of a request. Returns for how long its priority has got nothing
    /// while servers responded, unless the store's faults may have hidden the servers.
    fn prioritized_finished(
        &mut self,
        priority: Priority,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Duration> {
        if outcome == Outcome::Served {
            self.starvation.served(priority, now);
            return None;
        }
        let starved_for = self.starvation.failed(priority, now);
        starved_for.filter(|_| self.is_store_undisturbed(now))
    }

    fn is_undisturbed(&self, instance: Ipv4Addr, now: Instant) -> bool {
        let until = self.disturbed_until.get(&instance);
        self.is_store_undisturbed(now) && until.is_none_or(|until| now > *until + RECOVERY_TIME)
    }
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Violated guarantees.
    pub breaches: Vec<Breach>,
    /// Counts of each second of the run.
    pub seconds: Vec<SecondCounts>,
    /// Faults and their start times.
    pub faults: Vec<(Duration, String)>,
    /// Requests by priority, on the routes that have one.
    pub priorities: BTreeMap<Priority, Counts>,
}
