//! Forwarding to backend servers, their answers, and final outcomes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::ATTEMPT_BITS;
use super::Engine;
use super::PATHS;
use crate::action::Action;
use crate::action::Note;
use crate::balance;
use crate::balance::Work;
use crate::id;
use crate::reason::Reason;
use crate::record::FeedKey;
use crate::record::Phase;
use crate::record::Pin;
use crate::record::Purpose;
use crate::record::Record;
use crate::record::Sending;
use crate::record::Timer;
use crate::request::Answer;
use crate::request::Key;
use crate::request::Kind;
use crate::request::Outcome;
use crate::request::Verdict;
use crate::server::Server;
use crate::snapshot::Service;

/// How long the server of a larger body's parts is remembered after the last one.
const PIN_TIME: Duration = Duration::from_secs(60);

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

    /// The claim is safe: forward the request, or tell the caller that it is not run.
    pub(super) fn proceed_with_claim(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        use crate::record::Intent;
        let authority = self.membership.has_authority(now);
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let Phase::Claiming(intent) = record.phase else {
            return;
        };
        // After a pause of this process the acknowledgement can be read before the
        // timer fires: the caller would have its booking run after it gave up.
        if now >= record.born + deadline {
            self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownDeadline);
            return;
        }
        // The limit may have passed while the acknowledgement was under way or
        // this process was paused; another instance may decide by now.
        if !authority {
            self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownAuthority);
            return;
        }
        match intent {
            Intent::Forward => self.dispatch(now, slice, key),
            Intent::Refuse {
                retry_after,
                reason,
            } => {
                let outcome = Outcome::NotRun { retry_after };
                self.settle(now, slice, key, outcome, reason);
            }
        }
    }

    /// Sends an open request to a server, or settles it if there is none.
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
        let (part, kind) = (record.part, record.kind);
        let tried = record.tried.clone();
        let waiting = !record.attempts.is_empty();
        let pinned = if part.later {
            self.pinned_server(now, slice, &service, key)
        } else {
            None
        };
        let work = match kind {
            Kind::Open => Work::Feed,
            _ => Work::Request,
        };
        let choice = pinned.or_else(|| {
            let zone = &self.settings.zone;
            balance::choose(&service, &key.flow, work, zone, &tried, now, &mut self.rng)
        });
        match choice {
            Some(server) if part.later => {
                server.state().outstanding += 1;
                self.forward(now, slice, key, &service, server);
            }
            Some(server) if server.reserve() => {
                self.forward(now, slice, key, &service, server);
            }
            Some(server) => {
                if let Some(record) = self.record(slice, key) {
                    record.tried.push(server.id.clone());
                }
                self.dispatch(now, slice, key);
            }
            None if waiting => {}
            None => {
                let reason = if tried.is_empty() {
                    Reason::RefusedNoServer
                } else {
                    Reason::RefusedByServer
                };
                let retry_after = service.profile.retry_after_s;
                self.settle(now, slice, key, Outcome::NotRun { retry_after }, reason);
            }
        }
    }

    /// The server that has the earlier parts of the body, even if it is leaving: the
    /// body is work in progress there. It is asked again if it is late, since no
    /// other server can do anything with the part.
    fn pinned_server(
        &self,
        now: Instant,
        slice: id::Slice,
        service: &Service,
        key: &Key,
    ) -> Option<Arc<Server>> {
        let pin = self.pin(slice, key)?;
        let server = service.server(&pin.server)?;
        let fresh = now < pin.used + PIN_TIME;
        let usable = fresh && balance::may_return(service, server, now);
        usable.then(|| Arc::clone(server))
    }

    fn pin(&self, slice: id::Slice, key: &Key) -> Option<&Pin> {
        let state = self.slices.get(&slice)?;
        let record = state.records.get(key)?;
        state.pins.get(&(key.flow.clone(), record.part.body))
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
            used: now,
        };
        state.pins.insert((key.flow.clone(), record.part.body), pin);
    }

    /// Forgets the servers of bodies that were given up.
    pub(super) fn expire_pins(&mut self, now: Instant) {
        for state in self.slices.values_mut() {
            state.pins.retain(|_, pin| now < pin.used + PIN_TIME);
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
        record.tried.push(server.id.clone());
        let deadline = record.born + service.profile.deadline();
        let once = record.kind.runs_once();
        let later = record.part.later;
        let datagram = record.datagram.clone();
        if later {
            self.set_pin(now, slice, key, &server, attempt);
        }
        if !once {
            let timer = Timer::Attempt(slice, key.clone(), attempt);
            self.schedule(now + service.profile.attempt_timeout(), timer);
        }
        self.sent_attempts.insert(
            attempt,
            Sending {
                slice,
                purpose: Purpose::Request(key.clone()),
                server: Arc::clone(&server),
                since: now,
            },
        );
        self.note_forwarded(slice, key, &server);
        self.actions.push(Action::Forward {
            server,
            attempt,
            service: service.id.clone(),
            remaining: deadline.saturating_duration_since(now),
            datagram,
        });
    }

    /// A number for a sending to this server. A server puts a body together by the
    /// endpoint that its parts come from: a part from another socket of ours would
    /// be refused as incomplete.
    fn new_attempt_for(&mut self, slice: id::Slice, key: &Key, server: &Server) -> id::Attempt {
        let mut attempt = self.new_attempt();
        let later = self
            .record(slice, key)
            .is_some_and(|record| record.part.later);
        let pin = self.pin(slice, key);
        let pin = pin.filter(|pin| later && pin.server == server.id);
        if let Some(path) = pin.map(|pin| pin.attempt.0 % PATHS) {
            while attempt.0 % PATHS != path {
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

    /// An idempotent request's server is late: ask one more, within the budget.
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
        let tries = record.tried.len() as u32;
        if let Some(sending) = self.sent_attempts.get(&attempt) {
            let server = Arc::clone(&sending.server);
            self.record_server_failure(now, &server);
        }
        let Some(service) = self.service(&key.flow.service) else {
            return;
        };
        if tries >= service.profile.max_attempts {
            return;
        }
        if !self.usage(&service.id).budget.withdraw() {
            self.note_request(Reason::RetryDenied, slice, key);
            return;
        }
        self.note_request(Reason::Retried, slice, key);
        self.dispatch(now, slice, key);
    }

    pub(super) fn handle_answer(
        &mut self,
        now: Instant,
        from: id::Endpoint,
        attempt: id::Attempt,
        answer: Answer,
    ) {
        let sending = self.sent_attempts.get(&attempt);
        // An answer counts only if it comes from the server that was asked and
        // the sending is still of use: anything else could be another request's.
        let Some(sending) = sending.filter(|sending| sending.server.address == from) else {
            self.note(Reason::ForeignAnswer);
            if answer.feed {
                self.actions.push(Action::Reject {
                    to: from,
                    attempt,
                    datagram: answer.datagram,
                });
            }
            return;
        };
        let slice = sending.slice;
        match answer.verdict {
            Verdict::Handled => sending.server.prove(sending.since),
            Verdict::NotFound => sending.server.doubt(now),
            Verdict::Refused => {}
        }
        match sending.purpose.clone() {
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
            Verdict::Handled | Verdict::NotFound => self.handle_final_answer(now, slice, key, attempt, answer),
        }
    }

    /// The server states that it did not start the request, so that another may.
    fn handle_refusal(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        attempt: id::Attempt,
        answer: &Answer,
    ) {
        let Some(sending) = self.drop_sending(attempt) else {
            return;
        };
        self.pause_server(now, &sending.server, answer.retry_after);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        record.attempts.retain(|open| *open != attempt);
        let waiting = !record.attempts.is_empty();
        let tries = record.tried.len() as u32;
        let later = record.part.later;
        let Some(service) = self.service(&key.flow.service) else {
            return;
        };
        // Another server has none of the earlier parts: the caller, told to come
        // back, can go on where it is.
        let more = tries < service.profile.max_attempts && !later;
        if more && self.usage(&service.id).budget.withdraw() {
            self.note_request(Reason::Retried, slice, key);
            self.dispatch(now, slice, key);
        } else if !waiting {
            let retry_after = answer.retry_after.unwrap_or(service.profile.retry_after_s);
            let outcome = Outcome::NotRun { retry_after };
            self.settle(now, slice, key, outcome, Reason::RefusedByServer);
        }
    }

    fn pause_server(&mut self, now: Instant, server: &Server, retry_after: Option<u32>) {
        let asked = Duration::from_secs(retry_after.unwrap_or(0).into());
        server.refuse(now, asked);
        self.note(Reason::ServerPaused);
    }

    fn handle_final_answer(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        attempt: id::Attempt,
        answer: Answer,
    ) {
        let Some(sending) = self.drop_sending(attempt) else {
            return;
        };
        sending.server.succeed();
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if !record.is_open() {
            return;
        }
        record.attempts.retain(|open| *open != attempt);
        let open = record.kind == Kind::Open && answer.feed;
        let (token, datagram) = (record.token, record.datagram.clone());
        if answer.more {
            self.set_pin(now, slice, key, &sending.server, attempt);
        }
        if open {
            let feed = FeedKey {
                flow: key.flow.clone(),
                token,
            };
            let sequence = self.insert_opened_feed(now, slice, feed, datagram, attempt, &sending);
            if let Some(record) = self.record(slice, key) {
                record.sequence = Some(sequence);
            }
        }
        let outcome = Outcome::Answered(answer.datagram);
        self.settle(now, slice, key, outcome, Reason::Answered);
    }

    /// Ends a sending and gives its place at the server back.
    pub(super) fn drop_sending(&mut self, attempt: id::Attempt) -> Option<Sending> {
        let sending = self.sent_attempts.remove(&attempt)?;
        let mut state = sending.server.state();
        match sending.purpose {
            Purpose::Request(_) => state.outstanding = state.outstanding.saturating_sub(1),
            Purpose::Feed(_) => state.feeds = state.feeds.saturating_sub(1),
        }
        drop(state);
        Some(sending)
    }

    /// Counts a failure of a server and lets it rest after too many in a row.
    pub(super) fn record_server_failure(&mut self, now: Instant, server: &Server) {
        let failures = server.fail();
        let Some(service) = self.service(&server.service) else {
            return;
        };
        if failures < service.profile.eject_after {
            return;
        }
        // When most servers look bad, the cause is more likely on our side or
        // shared by all: sending everything to the few left would break them too.
        let away = |server: &&Arc<Server>| server.state().is_resting(now);
        let resting = service.servers.iter().filter(away).count();
        let floor = service.servers.len() * service.profile.eject_floor_percent as usize;
        let stay = (service.servers.len() - resting).saturating_sub(1) * 100;
        if stay < floor {
            self.note(Reason::EjectionDenied);
            return;
        }
        let rest = Duration::from_secs(service.profile.eject_rest_s);
        let mut state = server.state();
        state.failures = 0;
        state.ejected_until = Some(now + rest);
        drop(state);
        self.note(Reason::Ejected);
    }

    fn note_forwarded(&mut self, slice: id::Slice, key: &Key, server: &Server) {
        let note = Note {
            request: Some(key.id),
            server: Some(server.id.clone()),
            ..self.flow_note(Reason::Forwarded, slice, &key.flow)
        };
        self.actions.push(Action::Note(note));
    }

    /// Notes a final outcome with the time since the first copy arrived.
    pub(super) fn note_settled(
        &mut self,
        reason: Reason,
        slice: id::Slice,
        key: &Key,
        server: Option<id::Server>,
        elapsed: Duration,
    ) {
        let note = Note {
            request: Some(key.id),
            server,
            elapsed: Some(elapsed),
            ..self.flow_note(reason, slice, &key.flow)
        };
        self.actions.push(Action::Note(note));
    }
}
