//! Handshakes: retransmitted SYNs, unresponsive servers, and callers that have given up.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::DataPlane;
use crate::flow::DropReason;
use crate::flow::Expired;
use crate::flow::FlowEvent;
use crate::flow::FlowKey;
use crate::flow::Refusal;
use crate::flow::Resend;
use crate::flow::Segment;
use crate::flow::Target;
use crate::flow::Verdict;
use crate::flow::liveness::MAX_TIMEOUT;
use crate::flow::record::ServerHandle;
use crate::flow::table::Attempt;
use crate::flow::table::FlowHandle;
use crate::flow::table::Opening;
use crate::flow::table::Phase;
use crate::id;

/// Maximum number of servers that get one SYN, including the first.
///
/// Each further one costs a connection. Three failed servers in a row are more than the
/// loss of a zone leaves.
const MAX_ATTEMPTS: usize = 3;

/// Minimum time between a SYN and a retransmission that counts as a missed answer.
///
/// Callers retransmit after 200 ms. Two copies that are closer together were queued in the
/// socket buffer while this process did not run, and prove nothing about the server.
const MIN_RETRANSMISSION_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time until an undecided handshake is judged again.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Delay of a deadline that indicates that this process was stalled instead of the server:
/// an answer may be queued in the socket buffer.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);

/// Pauses after which callers retransmit a SYN; after the last one they give up.
const RETRANSMISSION_INTERVALS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// Whether a caller must have sent its next SYN already, or have given up, if this one is of
/// this age. A copy may have opened the flow through another instance. If this SYN reached
/// another server then, the tag of that server's answer would replace the caller's.
pub(super) fn is_outdated(segment: &Segment, age: Duration) -> bool {
    let copy = (segment.ack as usize).min(RETRANSMISSION_INTERVALS.len() - 1);
    age >= RETRANSMISSION_INTERVALS[copy]
}

/// Change of a route that keeps its new flows from the service they had.
enum RouteChange {
    /// New flows go to this service; to none while all services have weight 0.
    Moved(Option<id::Service>),
    /// The configuration has no such route any more.
    Withdrawn,
}

/// What a missed handshake deadline shows about the server.
enum Judgement {
    Unresponsive,
    /// Nothing yet.
    Undecided,
    /// Nothing that a later packet of others could add to.
    LeftToCaller,
}

impl DataPlane {
    /// Handles a retransmitted SYN, which shows that the caller got no answer. If the server
    /// had enough time to answer, another server is selected.
    pub(super) fn receive_retransmission(
        &mut self,
        now: Instant,
        flow_handle: FlowHandle,
    ) -> Verdict {
        let Some(flow) = self.table.get_mut(flow_handle) else {
            return Verdict::Drop(DropReason::UnknownTag);
        };
        flow.last_seen = now;
        let (server, flow_key) = (flow.server, flow.flow_key);
        let (is_opening, is_unanswered) = match &flow.phase {
            Phase::Opening(opening) => {
                let sent = opening.last_attempt().sent;
                (true, now >= sent + MIN_RETRANSMISSION_INTERVAL)
            }
            Phase::Open | Phase::Closing => (false, false),
        };
        match self.route_change(&flow_key, server) {
            None => {}
            Some(RouteChange::Withdrawn) if is_opening => {
                self.close(flow_handle);
                return self.refuse(flow_key, Refusal::NoRoute, self.version());
            }
            Some(RouteChange::Moved(service)) if is_opening => {
                let target = service.and_then(|to| self.follow_route(now, flow_handle, &to));
                self.note_copy(flow_handle);
                return target.map_or(Verdict::Drop(DropReason::Rerouted), Verdict::Forward);
            }
            // The caller has sent the copy before it got the answer to another one.
            Some(_) => return Verdict::Drop(DropReason::Rerouted),
        }
        let record = self.directory.get(server);
        if is_opening && record.is_some_and(|record| record.is_evacuated) {
            let target = self.leave_evacuated(now, flow_handle);
            self.note_copy(flow_handle);
            return match target {
                Some(target) => Verdict::Forward(target),
                // The server may have answered the first SYN, so that a reset could break an open
                // flow.
                None => Verdict::Drop(DropReason::Evacuated),
            };
        }
        if is_unanswered {
            self.record_ignored_opening(flow_handle);
        }
        let resend = is_unanswered.then(|| self.reopen(now, flow_handle));
        self.note_copy(flow_handle);
        if let Some(resend) = resend.flatten() {
            return Verdict::Forward(resend.target);
        }
        match self.directory.get(server) {
            Some(record) => Verdict::Forward(record.target()),
            None => Verdict::Drop(DropReason::UnknownTag),
        }
    }

    /// What has become of the route of a flow since its first SYN was forwarded to this
    /// server; `None` if new flows may still go to the server's service.
    fn route_change(&self, flow_key: &FlowKey, server: ServerHandle) -> Option<RouteChange> {
        let service = &self.directory.get(server)?.server.service;
        let routes = self.routes.as_ref()?;
        let Some(route) = routes.by_address.get(&flow_key.service) else {
            return Some(RouteChange::Withdrawn);
        };
        let moved = || RouteChange::Moved(route.service(flow_key).cloned());
        (!route.allows(service)).then(moved)
    }

    fn note_copy(&mut self, flow_handle: FlowHandle) {
        let flow = self.table.get_mut(flow_handle);
        if let Some(Phase::Opening(opening)) = flow.map(|flow| &mut flow.phase) {
            opening.note_copy();
        }
    }

    fn record_ignored_opening(&mut self, flow_handle: FlowHandle) {
        let Some(attempt) = self.last_attempt(flow_handle) else {
            return;
        };
        if let Some(record) = self.directory.get_mut(attempt.server) {
            record.liveness.ignored_opening(attempt.sent);
        }
    }

    /// The last attempt of a handshake that is in progress.
    fn last_attempt(&self, flow_handle: FlowHandle) -> Option<Attempt> {
        match &self.table.get(flow_handle)?.phase {
            Phase::Opening(opening) => Some(opening.last_attempt()),
            Phase::Open | Phase::Closing => None,
        }
    }

    /// When [`DataPlane::expire`] has to be called next.
    pub fn next_due(&self) -> Option<Instant> {
        let opening = self
            .handshake_deadlines
            .peek()
            .map(|Reverse((due, _))| *due);
        let request = self.pending_requests.front().map(|request| request.due);
        let queue = self.control.queue.next_due();
        opening.into_iter().chain(request).chain(queue).min()
    }

    /// Sends SYNs of unresponsive servers to further servers, decides about queued openings,
    /// and removes expired flows.
    /// Packets in the socket buffer must be passed to [`DataPlane::receive`] first, because they
    /// may contain the answers.
    pub fn expire(&mut self, now: Instant) -> Expired {
        self.control.set_time(now, now);
        let mut expired = Expired::default();
        while let Some(Reverse((due, flow_key))) = self.handshake_deadlines.peek().copied()
            && due <= now
        {
            self.handshake_deadlines.pop();
            let Some(flow_handle) = self.find_opening(&flow_key, due) else {
                continue;
            };
            // A live server has answered by now, or has refused the opening at the caller.
            self.untrack_load(flow_handle);
            if now > due + MAX_TIMER_DELAY {
                self.extend_deadline(now, flow_handle, self.round_trip.timeout());
                continue;
            }
            match self.judge(flow_handle) {
                Judgement::Unresponsive => {}
                Judgement::Undecided => {
                    let interval = self.round_trip.expected().max(MIN_RECHECK_INTERVAL);
                    self.extend_deadline(now, flow_handle, interval);
                    continue;
                }
                Judgement::LeftToCaller => continue,
            }
            expired.resends.extend(self.reopen(now, flow_handle));
        }
        self.record_stalls(now);
        self.sweep(now);
        self.expire_queue(now, &mut expired);
        expired
    }

    /// The flow, if its handshake is still waiting for this deadline.
    fn find_opening(&self, flow_key: &FlowKey, due: Instant) -> Option<FlowHandle> {
        let flow_handle = self.table.find(flow_key)?;
        let is_due = match &self.table.get(flow_handle)?.phase {
            Phase::Opening(opening) => opening.due == due,
            Phase::Open | Phase::Closing => false,
        };
        is_due.then_some(flow_handle)
    }

    /// Whether a missing packet of the caller shows that its server did not answer.
    ///
    /// When routers redistribute flows to other instances, the callers' next packets do not
    /// arrive here. An instance that leaves the rotation receives nothing any more, so that
    /// only packets received after the missing one was due show that it would have arrived. While
    /// instances join one by one, packets of other instances' flows arrive instead. And a
    /// server that has answered others since has most likely answered this SYN, so that a
    /// single packet is lost or late. In these cases the SYN would reach a second server
    /// although the flow is open at the first one. The caller's retransmission shows a miss in all of
    /// them, either here or at the instance to which the routers now send it.
    fn judge(&self, flow_handle: FlowHandle) -> Judgement {
        let Some(Attempt { server, sent }) = self.last_attempt(flow_handle) else {
            return Judgement::LeftToCaller;
        };
        let has_adopted = self.last_adoption.is_some_and(|at| at >= sent);
        let record = self.directory.get(server);
        let is_lost = record.is_some_and(|record| record.liveness.has_likely_answered(sent));
        if has_adopted || is_lost {
            return Judgement::LeftToCaller;
        }
        let answer_due = sent + self.round_trip.measured();
        match self.last_packet.is_some_and(|at| at >= answer_due) {
            true => Judgement::Unresponsive,
            false => Judgement::Undecided,
        }
    }

    /// Extends the handshake deadline, unless the caller's retransmission is due by then.
    fn extend_deadline(&mut self, now: Instant, flow_handle: FlowHandle, by: Duration) {
        let Some(flow) = self.table.get_mut(flow_handle) else {
            return;
        };
        let flow_key = flow.flow_key;
        if let Phase::Opening(opening) = &mut flow.phase
            && now + by <= opening.last_attempt().sent + MAX_TIMEOUT
        {
            opening.due = now + by;
            self.handshake_deadlines
                .push(Reverse((opening.due, flow_key)));
        }
    }

    /// The server whose answer a caller has accepted, by its first packet after the SYN.
    ///
    /// A caller accepts the first answer but echoes the tag of the last one. They differ when
    /// a deadline sent the SYN to a further server while the acknowledgement of the first answer
    /// was lost or late. The caller acknowledges the answer that it accepts at once, or sends
    /// data with it. Data with the tag of a further server is therefore of a flow at an earlier
    /// one if that one has answered others since, or if nothing came when the further
    /// server's answer was due.
    pub(super) fn accepted_server(
        &self,
        now: Instant,
        opening: &Opening,
        segment: &Segment,
        tagged: ServerHandle,
    ) -> ServerHandle {
        let attempts = &opening.attempts[opening.since_copy..];
        let Some(position) = attempts.iter().position(|at| at.server == tagged) else {
            return tagged;
        };
        let (earlier, later) = attempts.split_at(position);
        let is_handshake = segment.len == 0 && !segment.flags.fin && !segment.flags.rst;
        let (Some(first), false) = (earlier.first(), is_handshake) else {
            return tagged;
        };
        let liveness = |attempt: &Attempt| {
            let record = self.directory.get(attempt.server);
            record.map(|record| record.liveness).unwrap_or_default()
        };
        let has_answered = |attempt: &&Attempt| liveness(attempt).has_likely_answered(attempt.sent);
        if let Some(attempt) = earlier.iter().find(has_answered) {
            return attempt.server;
        }
        let is_late = now >= later[0].sent + self.round_trip.timeout();
        match is_late && liveness(first).misses() <= 1 {
            true => first.server,
            false => tagged,
        }
    }

    /// Marks the last server of an opening flow as unresponsive and selects another.
    pub(super) fn reopen(&mut self, now: Instant, flow_handle: FlowHandle) -> Option<Resend> {
        let flow = self.table.get(flow_handle)?;
        let flow_key = flow.flow_key;
        let Phase::Opening(opening) = &flow.phase else {
            return None;
        };
        let sent = opening.last_attempt().sent;
        let tried = opening.tried();
        let packet = opening.packet.clone();
        let silent = flow.server;
        self.record_miss(silent, sent, now);
        let service = match self.route_change(&flow_key, silent) {
            None => Some(self.directory.get(silent)?.server.service.clone()),
            Some(RouteChange::Moved(service)) => service,
            Some(RouteChange::Withdrawn) => None,
        };
        let service = service.filter(|_| tried.len() < MAX_ATTEMPTS);
        let choice = service.and_then(|service| self.choose(now, &service, &tried));
        let chosen = choice.and_then(|choice| self.directory.get(choice.handle));
        let event = FlowEvent::Reopened {
            flow_key,
            silent: self.directory.get(silent)?.server.id.clone(),
            server: chosen.map(|record| record.server.id.clone()),
            waited_ms: (now - sent).as_millis() as u64,
        };
        self.record_event(event);
        let target = self.move_to(now, flow_handle, choice?.handle)?;
        Some(Resend { packet, target })
    }

    /// Selects another server for an opening flow whose server's zone has been evacuated
    /// since the first SYN. The former server does not become suspected.
    fn leave_evacuated(&mut self, now: Instant, flow_handle: FlowHandle) -> Option<Target> {
        let flow = self.table.get(flow_handle)?;
        let Phase::Opening(opening) = &flow.phase else {
            return None;
        };
        let flow_key = flow.flow_key;
        let tried = opening.tried();
        let left = &self.directory.get(flow.server)?.server;
        let event = FlowEvent::Evacuated {
            flow_key,
            left: left.id.clone(),
        };
        let service = left.service.clone();
        let choice = self.choose(now, &service, &tried)?;
        self.record_event(event);
        self.move_to(now, flow_handle, choice.handle)
    }

    /// Selects a server of the service to which the route of an opening flow leads since the
    /// first SYN.
    fn follow_route(
        &mut self,
        now: Instant,
        flow_handle: FlowHandle,
        service: &id::Service,
    ) -> Option<Target> {
        let flow = self.table.get(flow_handle)?;
        let event = FlowEvent::Rerouted {
            flow_key: flow.flow_key,
            left: self.directory.get(flow.server)?.server.id.clone(),
            version: self.version(),
        };
        let choice = self.choose(now, service, &[])?;
        self.record_event(event);
        self.move_to(now, flow_handle, choice.handle)
    }

    /// Moves an opening flow to a further server and starts a new handshake deadline.
    fn move_to(
        &mut self,
        now: Instant,
        flow_handle: FlowHandle,
        server_handle: ServerHandle,
    ) -> Option<Target> {
        let target = self.directory.get(server_handle)?.target();
        self.directory.use_cold_quota(server_handle, now);
        self.move_flow(flow_handle, server_handle);
        self.track_load(flow_handle);
        let due = now + self.round_trip.timeout();
        let flow = self.table.get_mut(flow_handle)?;
        let flow_key = flow.flow_key;
        if let Phase::Opening(opening) = &mut flow.phase {
            opening.attempts.push(Attempt {
                server: server_handle,
                sent: now,
            });
            opening.due = due;
            self.handshake_deadlines.push(Reverse((due, flow_key)));
        }
        Some(target)
    }

    /// Servers of the caller's earlier handshakes that the caller has given up.
    ///
    /// The host of a crashed server process resets a flow at once. The caller retries from
    /// another port one round trip later. The server, which is never busy, would be selected
    /// again, so that all attempts of a request can fail there within 30 ms. An earlier
    /// handshake of the same caller that is unanswered after a round trip indicates such a
    /// retry. If the handshake belongs to another process of the caller, the only effect is
    /// that the new flow goes to another server.
    pub(super) fn servers_given_up(
        &mut self,
        now: Instant,
        flow_key: &FlowKey,
    ) -> Vec<ServerHandle> {
        let expected = self.round_trip.expected();
        let is_old = |(at, _): &(Instant, FlowKey)| now >= *at + MIN_RETRANSMISSION_INTERVAL;
        while self.recent_openings.front().is_some_and(is_old) {
            self.recent_openings.pop_front();
        }
        let is_earlier = |other: &FlowKey| {
            other.caller.ip() == flow_key.caller.ip()
                && other.service == flow_key.service
                && other != flow_key
        };
        let earlier: Vec<FlowKey> = self
            .recent_openings
            .iter()
            .filter(|(_, other)| is_earlier(other))
            .map(|(_, other)| *other)
            .collect();
        let mut given_up = Vec::new();
        for flow_key in earlier {
            let Some(flow_handle) = self.table.find(&flow_key) else {
                continue;
            };
            let Some(flow) = self.table.get(flow_handle) else {
                continue;
            };
            let Phase::Opening(opening) = &flow.phase else {
                continue;
            };
            let sent = opening.last_attempt().sent;
            if now < sent + expected {
                continue;
            }
            let server = flow.server;
            given_up.extend(opening.tried());
            self.begin_closing(flow_handle);
            self.record_miss(server, sent, now);
        }
        given_up
    }
}
