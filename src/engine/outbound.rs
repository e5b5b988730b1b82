//! Forwarding of requests to backend servers, and the servers' answers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::ATTEMPT_BITS;
use super::Engine;
use super::SERVER_SOCKETS;
use crate::action::Action;
use crate::action::TraceEvent;
use crate::balance;
use crate::balance::WorkKind;
use crate::id;
use crate::reason::Reason;
use crate::record::FeedKey;
use crate::record::Phase;
use crate::record::Pin;
use crate::record::Purpose;
use crate::record::Record;
use crate::record::SentAttempt;
use crate::record::Timer;
use crate::request::Answer;
use crate::request::Key;
use crate::request::Kind;
use crate::request::Outcome;
use crate::request::Verdict;
use crate::server::Server;
use crate::snapshot::Service;

/// How long the server that receives a block-wise transfer is remembered after the
/// last block.
const PIN_LIFETIME: Duration = Duration::from_secs(60);

impl Engine {
    pub(super) fn record(&mut self, slice: id::Slice, key: &Key) -> Option<&mut Record> {
        self.slices.get_mut(&slice)?.records.get_mut(key)
    }

    pub(super) fn service(&self, id: &id::Service) -> Option<Arc<Service>> {
        self.snapshot.services.get(id).map(Arc::clone)
    }

    pub(super) fn deadline(&self, service: &id::Service) -> Duration {
        self.service(service)
            .map_or(Duration::ZERO, |service| service.profile.deadline())
    }

    /// Continues a request whose claim is replicated: forwards it, or answers that
    /// it is not run.
    pub(super) fn proceed_with_claim(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        use crate::record::ClaimFollowUp;
        let has_authority = self.membership.has_authority(now);
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let Phase::Claiming(follow_up) = record.phase else {
            return;
        };
        // After a pause of this process the acknowledgement can be read before the
        // timer fires: the request would run after its caller has given up.
        if now >= record.received_at + deadline {
            self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownDeadline);
            return;
        }
        // The authority may have expired while the acknowledgement was outstanding
        // or this process was paused; another instance may decide for the slice by
        // now.
        if !has_authority {
            self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownAuthority);
            return;
        }
        match follow_up {
            ClaimFollowUp::Forward => self.dispatch(now, slice, key),
            ClaimFollowUp::Refuse {
                retry_after,
                reason,
            } => {
                let outcome = Outcome::NotRun { retry_after };
                self.settle(now, slice, key, outcome, reason);
            }
        }
    }

    /// Forwards an open request to a server, or settles it if there is none.
    pub(super) fn dispatch(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let Some(service) = self.service(&key.flow.service) else {
            self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownService);
            return;
        };
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if !record.is_open() {
            return;
        }
        let (block, kind) = (record.block, record.kind);
        let tried_servers = record.tried_servers.clone();
        let has_open_attempts = !record.attempts.is_empty();
        let pinned = if block.is_continuation {
            self.pinned_server(now, slice, &service, key)
        } else {
            None
        };
        let work = match kind {
            Kind::OpenFeed => WorkKind::Feed,
            _ => WorkKind::Request,
        };
        let choice = pinned.or_else(|| {
            let zone = &self.settings.zone;
            balance::choose(
                &service,
                &key.flow,
                work,
                zone,
                &tried_servers,
                now,
                &mut self.rng,
            )
        });
        match choice {
            Some(server) if block.is_continuation => {
                server.state().outstanding += 1;
                self.forward(now, slice, key, &service, server);
            }
            Some(server) if server.reserve() => {
                self.forward(now, slice, key, &service, server);
            }
            Some(server) => {
                if let Some(record) = self.record(slice, key) {
                    record.tried_servers.push(server.id.clone());
                }
                self.dispatch(now, slice, key);
            }
            None if has_open_attempts => {}
            None => {
                let reason = if tried_servers.is_empty() {
                    Reason::RefusedNoServer
                } else {
                    Reason::RefusedByServer
                };
                let retry_after = service.profile.retry_after_s;
                self.settle(now, slice, key, Outcome::NotRun { retry_after }, reason);
            }
        }
    }

    /// The server that has the earlier blocks of the body, even if it is leaving:
    /// the transfer is work in progress there. The server is used again even after
    /// a timeout, since no other server can use the block.
    fn pinned_server(
        &self,
        now: Instant,
        slice: id::Slice,
        service: &Service,
        key: &Key,
    ) -> Option<Arc<Server>> {
        let pin = self.pin(slice, key)?;
        let server = service.server(&pin.server)?;
        let is_recent = now < pin.last_sent + PIN_LIFETIME;
        let is_usable = is_recent && balance::accepts_pinned_work(service, server, now);
        is_usable.then(|| Arc::clone(server))
    }

    fn pin(&self, slice: id::Slice, key: &Key) -> Option<&Pin> {
        let state = self.slices.get(&slice)?;
        let record = state.records.get(key)?;
        state.pins.get(&(key.flow.clone(), record.block.body_id))
    }

    fn set_pin(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        server: &Server,
        attempt: id::Attempt,
    ) {
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let Some(record) = state.records.get(key) else {
            return;
        };
        let pin = Pin {
            server: server.id.clone(),
            attempt,
            last_sent: now,
        };
        state
            .pins
            .insert((key.flow.clone(), record.block.body_id), pin);
    }

    /// Forgets the servers of transfers that were abandoned.
    pub(super) fn expire_pins(&mut self, now: Instant) {
        for state in self.slices.values_mut() {
            state
                .pins
                .retain(|_, pin| now < pin.last_sent + PIN_LIFETIME);
        }
    }

    fn forward(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        service: &Service,
        server: Arc<Server>,
    ) {
        let attempt = self.new_attempt_for(slice, key, &server);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        record.phase = Phase::Sent;
        record.attempts.push(attempt);
        record.tried_servers.push(server.id.clone());
        let deadline = record.received_at + service.profile.deadline();
        let is_non_idempotent = record.kind.is_non_idempotent();
        let is_continuation = record.block.is_continuation;
        let datagram = record.datagram.clone();
        if is_continuation {
            self.set_pin(now, slice, key, &server, attempt);
        }
        if !is_non_idempotent {
            let timer = Timer::Attempt(slice, key.clone(), attempt);
            self.schedule(now + service.profile.attempt_timeout(), timer);
        }
        self.sent_attempts.insert(
            attempt,
            SentAttempt {
                slice,
                purpose: Purpose::Request(key.clone()),
                server: Arc::clone(&server),
                sent_at: now,
            },
        );
        self.emit_forwarded(slice, key, &server);
        self.actions.push(Action::Forward {
            server,
            attempt,
            service: service.id.clone(),
            remaining: deadline.saturating_duration_since(now),
            datagram,
        });
    }

    /// A number for an attempt at this server. A server assembles a body by the
    /// endpoint that its blocks come from: it would refuse a block from another
    /// socket as incomplete.
    fn new_attempt_for(&mut self, slice: id::Slice, key: &Key, server: &Server) -> id::Attempt {
        let mut attempt = self.new_attempt();
        let is_continuation = self
            .record(slice, key)
            .is_some_and(|record| record.block.is_continuation);
        let pin = self.pin(slice, key);
        let pin = pin.filter(|pin| is_continuation && pin.server == server.id);
        if let Some(socket) = pin.map(|pin| pin.attempt.0 % SERVER_SOCKETS) {
            while attempt.0 % SERVER_SOCKETS != socket {
                attempt = self.new_attempt();
            }
        }
        attempt
    }

    pub(super) fn new_attempt(&mut self) -> id::Attempt {
        let mask = (1 << ATTEMPT_BITS) - 1;
        self.next_attempt = (self.next_attempt + 1) & mask;
        id::Attempt(u64::from(self.settings.worker) << ATTEMPT_BITS | self.next_attempt)
    }

    /// Handles an attempt without an answer in time: tries one more server, within
    /// the retry budget. Only idempotent requests are retried.
    pub(super) fn retry(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        attempt: id::Attempt,
    ) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if !record.is_open() || !record.attempts.contains(&attempt) {
            return;
        }
        let tries = record.tried_servers.len() as u32;
        if let Some(sent) = self.sent_attempts.get(&attempt) {
            let server = Arc::clone(&sent.server);
            self.record_server_failure(now, &server);
        }
        let Some(service) = self.service(&key.flow.service) else {
            return;
        };
        if tries >= service.profile.max_attempts {
            return;
        }
        if !self.usage(&service.id).budget.withdraw() {
            self.emit_request(Reason::RetryDenied, slice, key);
            return;
        }
        self.emit_request(Reason::Retried, slice, key);
        self.dispatch(now, slice, key);
    }

    pub(super) fn handle_answer(
        &mut self,
        now: Instant,
        from: id::Endpoint,
        attempt: id::Attempt,
        answer: Answer,
    ) {
        let sent = self.sent_attempts.get(&attempt);
        // An answer is used only if it comes from the server that got the attempt
        // and the attempt is still open: any other answer could belong to another
        // request.
        let Some(sent) = sent.filter(|sent| sent.server.address == from) else {
            self.emit(Reason::ForeignAnswer);
            if answer.keeps_feed_open {
                self.actions.push(Action::Reject {
                    to: from,
                    attempt,
                    datagram: answer.datagram,
                });
            }
            return;
        };
        let slice = sent.slice;
        match answer.verdict {
            Verdict::Handled => sent.server.confirm_by_answer(sent.sent_at),
            Verdict::NotFound => sent.server.record_not_found(now),
            Verdict::Refused => {}
        }
        match sent.purpose.clone() {
            Purpose::Request(key) => self.handle_request_answer(now, slice, &key, attempt, answer),
            Purpose::Feed(key) => self.handle_feed_answer(now, slice, &key, attempt, answer),
        }
    }

    fn handle_request_answer(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        attempt: id::Attempt,
        answer: Answer,
    ) {
        match answer.verdict {
            Verdict::Refused => self.handle_refusal(now, slice, key, attempt, &answer),
            Verdict::Handled | Verdict::NotFound => {
                self.handle_final_answer(now, slice, key, attempt, answer)
            }
        }
    }

    /// Handles a refusal: the server did not start the request, so that another
    /// server may run it.
    fn handle_refusal(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        attempt: id::Attempt,
        answer: &Answer,
    ) {
        let Some(sent) = self.remove_attempt(attempt) else {
            return;
        };
        self.pause_server(now, &sent.server, answer.retry_after);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        record.attempts.retain(|other| *other != attempt);
        let has_open_attempts = !record.attempts.is_empty();
        let tries = record.tried_servers.len() as u32;
        let is_continuation = record.block.is_continuation;
        let Some(service) = self.service(&key.flow.service) else {
            return;
        };
        // Another server has none of the earlier blocks. A caller that retries later
        // can continue with this server.
        let may_retry = tries < service.profile.max_attempts && !is_continuation;
        if may_retry && self.usage(&service.id).budget.withdraw() {
            self.emit_request(Reason::Retried, slice, key);
            self.dispatch(now, slice, key);
        } else if !has_open_attempts {
            let retry_after = answer.retry_after.unwrap_or(service.profile.retry_after_s);
            let outcome = Outcome::NotRun { retry_after };
            self.settle(now, slice, key, outcome, Reason::RefusedByServer);
        }
    }

    fn pause_server(&mut self, now: Instant, server: &Server, retry_after: Option<u32>) {
        let requested = Duration::from_secs(retry_after.unwrap_or(0).into());
        server.record_refusal(now, requested);
        self.emit(Reason::ServerPaused);
    }

    fn handle_final_answer(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        attempt: id::Attempt,
        answer: Answer,
    ) {
        let Some(sent) = self.remove_attempt(attempt) else {
            return;
        };
        sent.server.record_success();
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if !record.is_open() {
            return;
        }
        record.attempts.retain(|other| *other != attempt);
        let opens_feed = record.kind == Kind::OpenFeed && answer.keeps_feed_open;
        let (token, datagram) = (record.token, record.datagram.clone());
        if answer.has_more_blocks {
            self.set_pin(now, slice, key, &sent.server, attempt);
        }
        if opens_feed {
            let feed = FeedKey {
                flow: key.flow.clone(),
                token,
            };
            let sequence = self.insert_opened_feed(now, slice, feed, datagram, attempt, &sent);
            if let Some(record) = self.record(slice, key) {
                record.sequence = Some(sequence);
            }
        }
        let outcome = Outcome::Answered(answer.datagram);
        self.settle(now, slice, key, outcome, Reason::Answered);
    }

    /// Removes an attempt and frees its slot at the server.
    pub(super) fn remove_attempt(&mut self, attempt: id::Attempt) -> Option<SentAttempt> {
        let sent = self.sent_attempts.remove(&attempt)?;
        let mut state = sent.server.state();
        match sent.purpose {
            Purpose::Request(_) => state.outstanding = state.outstanding.saturating_sub(1),
            Purpose::Feed(_) => state.feeds = state.feeds.saturating_sub(1),
        }
        drop(state);
        Some(sent)
    }

    /// Counts a failure of a server and ejects it after too many in a row.
    pub(super) fn record_server_failure(&mut self, now: Instant, server: &Server) {
        let failures = server.record_failure();
        let Some(service) = self.service(&server.service) else {
            return;
        };
        if failures < service.profile.eject_after {
            return;
        }
        // When most servers fail, the cause is more likely on this side or common
        // to all: sending everything to the few that are left would overload them
        // too.
        let in_cooldown = |server: &&Arc<Server>| server.state().is_in_cooldown(now);
        let cooldown_count = service.servers.iter().filter(in_cooldown).count();
        let floor = service.servers.len() * service.profile.eject_floor_percent as usize;
        let remaining = (service.servers.len() - cooldown_count).saturating_sub(1) * 100;
        if remaining < floor {
            self.emit(Reason::EjectionDenied);
            return;
        }
        let cooldown = Duration::from_secs(service.profile.eject_rest_s);
        let mut state = server.state();
        state.failures = 0;
        state.ejected_until = Some(now + cooldown);
        drop(state);
        self.emit(Reason::Ejected);
    }

    fn emit_forwarded(&mut self, slice: id::Slice, key: &Key, server: &Server) {
        let event = TraceEvent {
            request: Some(key.id),
            server: Some(server.id.clone()),
            ..self.flow_event(Reason::Forwarded, slice, &key.flow)
        };
        self.actions.push(Action::TraceEvent(event));
    }

    /// Reports a final outcome with the time since the first datagram arrived.
    pub(super) fn emit_settled(
        &mut self,
        reason: Reason,
        slice: id::Slice,
        key: &Key,
        server: Option<id::Server>,
        elapsed: Duration,
    ) {
        let event = TraceEvent {
            request: Some(key.id),
            server,
            elapsed: Some(elapsed),
            ..self.flow_event(reason, slice, &key.flow)
        };
        self.actions.push(Action::TraceEvent(event));
    }
}
