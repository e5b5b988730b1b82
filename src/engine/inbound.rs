//! Datagrams from callers: routing to the slice's home, duplicates, and admission.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::Engine;
use crate::action::Action;
use crate::action::Delivery;
use crate::id;
use crate::peer;
use crate::reason::Reason;
use crate::record::ClaimFollowUp;
use crate::record::IncomingRequest;
use crate::record::ParkedRequests;
use crate::record::Phase;
use crate::record::Record;
use crate::record::Timer;
use crate::request::Flow;
use crate::request::Key;
use crate::request::Kind;
use crate::request::Outcome;
use crate::request::Receipt;
use crate::request::Request;
use crate::request::Token;
use crate::snapshot::Service;

/// Relays after which a datagram is dropped: instances whose tables disagree could
/// relay it in a loop forever.
const MAX_HOPS: u32 = 3;

/// How long a non-idempotent request may wait for its slice to get a home. The time
/// covers the detection of a failed home and the promotion of its backup.
pub(crate) const PARK_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an answer may take before the request is acknowledged separately; less
/// than the two seconds after which a caller repeats its request.
pub(super) const ACKNOWLEDGE_AFTER: Duration = Duration::from_secs(1);

/// Destination of a datagram.
enum Route {
    Local,
    Remote(id::Holder),
    Park,
}

impl Engine {
    pub(super) fn handle_request(&mut self, now: Instant, request: Request, hops: u32) {
        // The request may have waited in a socket buffer for longer than records
        // are kept, so that its home would take it for a new request and run it
        // again.
        if request.kind.is_non_idempotent() && self.is_catching_up(now) {
            self.answer_unrecorded(&request, Outcome::Unknown, Reason::UnknownDeadline);
            return;
        }
        let incoming = IncomingRequest {
            request,
            hops,
            received_at: now,
        };
        self.route_request(now, incoming);
    }

    /// Handles a request here, relays it, or parks it until its slice has a home.
    pub(super) fn route_request(&mut self, now: Instant, mut incoming: IncomingRequest) {
        if self.table.is_empty() {
            // This instance has just started; the caller repeats the request.
            self.emit(Reason::ParkFull);
            return;
        }
        let flow = &mut incoming.request.flow;
        let configured = self.snapshot.services.get(&flow.service);
        let Some(service) = configured.map(Arc::clone) else {
            self.emit(Reason::UnknownService);
            return;
        };
        // A relayed datagram contains its own copy of the service's name, which
        // would be kept in memory as long as the flow.
        flow.service = service.id.clone();
        let slice = self.slice_of(&incoming.request.flow);
        match self.route(slice, incoming.request.kind) {
            Route::Local => self.admit_or_replay(now, slice, &service, incoming),
            // Two instances with outdated tables relay to each other for a moment.
            // A non-idempotent request waits here for the next table.
            Route::Remote(_)
                if incoming.hops >= MAX_HOPS && incoming.request.kind.is_non_idempotent() =>
            {
                self.park_request(incoming);
            }
            Route::Remote(holder) => {
                let IncomingRequest { request, hops, .. } = incoming;
                self.relay(&holder, &request.flow, request.datagram, hops);
            }
            Route::Park => self.park_request(incoming),
        }
    }

    /// Determines where a request is handled.
    ///
    /// Idempotent requests need no authority: when the home is unreachable, its
    /// backup handles them, or else the instance that has the datagram.
    fn route(&self, slice: id::Slice, kind: Kind) -> Route {
        let me = &self.settings.me;
        let row = self.table.row(slice);
        if row.is_home(me) {
            return Route::Local;
        }
        let is_live = |holder: &&id::Holder| self.membership.is_live(holder);
        if let Some(home) = row.home.as_ref().filter(is_live) {
            return Route::Remote(home.clone());
        }
        if !row.is_backup(me)
            && let Some(backup) = row.backup.as_ref().filter(is_live)
        {
            return Route::Remote(backup.clone());
        }
        if kind.is_non_idempotent() {
            Route::Park
        } else {
            Route::Local
        }
    }

    fn relay(&mut self, to: &id::Holder, flow: &Flow, datagram: Bytes, hops: u32) {
        if hops >= MAX_HOPS {
            self.emit(Reason::TooManyHops);
            return;
        }
        let body = peer::PeerMessage::Relay(peer::Relay {
            flow: Some(peer::pack_flow(flow)),
            datagram,
            hops: hops + 1,
            released: false,
        });
        self.actions.push(Action::Peer {
            to: to.clone(),
            body,
        });
        self.emit(Reason::Relayed);
    }

    /// Takes over a request that the previous home claimed and did not forward.
    ///
    /// This instance may hold the claim although its acknowledgement never reached
    /// the previous home. Without the release the caller would get "unknown" for a
    /// request that was never forwarded. Release and request travel in one message:
    /// in separate messages, the request could arrive first and be taken for a
    /// duplicate of a request that the other home is still working on.
    pub(super) fn handle_released_request(
        &mut self,
        now: Instant,
        from: &id::Holder,
        request: Request,
        hops: u32,
    ) {
        let slice = self.slice_of(&request.flow);
        let key = request.key();
        // Only the home that made the claim knows that it did not forward the
        // request. Another home may have forwarded it: this message could be a
        // delayed one about an earlier claim.
        let is_claimed_by_sender = |record: &Record| {
            record.phase == Phase::Claimed && record.claimed_by.as_ref() == Some(from)
        };
        if self
            .record(slice, &key)
            .is_some_and(|record| is_claimed_by_sender(record))
        {
            self.remove_record(slice, &key);
        }
        if self.table.row(slice).is_home(from) {
            // The table here is outdated, and routing by it would send the request
            // back.
            self.park_request(IncomingRequest {
                request,
                hops,
                received_at: now,
            });
        } else {
            self.handle_request(now, request, hops);
        }
    }

    fn park_request(&mut self, incoming: IncomingRequest) {
        let request = &incoming.request;
        let is_duplicate = |parked: &IncomingRequest| {
            parked.request.id == request.id && parked.request.flow == request.flow
        };
        if self.parked_requests.iter().any(is_duplicate) {
            return;
        }
        if self.parked_requests.len() >= self.settings.max_parked {
            self.emit(Reason::ParkFull);
            return;
        }
        self.emit(Reason::Parked);
        self.parked_requests.push_back(incoming);
    }

    /// Routes the parked requests again after the table or the view has changed.
    pub(super) fn retry_parked(&mut self, now: Instant) {
        // After a pause of this process the parked requests may have expired: they
        // would run long after their callers have given up.
        self.expire_parked(now);
        for parked in std::mem::take(&mut self.parked_requests) {
            let slice = self.slice_of(&parked.request.flow);
            match self.route(slice, parked.request.kind) {
                Route::Park => self.parked_requests.push_back(parked),
                _ => {
                    let hops = parked.hops.min(MAX_HOPS - 1);
                    self.route_request(now, IncomingRequest { hops, ..parked });
                }
            }
        }
    }

    /// Answers requests that have waited for a home for too long.
    pub(super) fn expire_parked(&mut self, now: Instant) {
        let has_expired = |parked: &IncomingRequest| now >= parked.received_at + PARK_TIMEOUT;
        if !self.parked_requests.iter().any(has_expired) {
            return;
        }
        let parked = std::mem::take(&mut self.parked_requests);
        let (expired, waiting) = parked.into_iter().partition(has_expired);
        self.parked_requests = waiting;
        let expired: ParkedRequests = expired;
        for parked in expired {
            // A duplicate may have reached the home before it failed, so "not run"
            // could be wrong.
            self.answer_unrecorded(&parked.request, Outcome::Unknown, Reason::UnknownNoHome);
        }
    }

    /// Answers a request without keeping a record of it.
    fn answer_unrecorded(&mut self, request: &Request, outcome: Outcome, reason: Reason) {
        let (token, confirmable) = (request.token, request.confirmable);
        self.answer_directly(request.key(), token, confirmable, outcome, reason);
    }

    /// Answers a caller's datagram without recording the answer.
    pub(super) fn answer_directly(
        &mut self,
        key: Key,
        token: Token,
        confirmable: bool,
        outcome: Outcome,
        reason: Reason,
    ) {
        let slice = self.slice_of(&key.flow);
        self.emit_request(reason, slice, &key);
        self.actions.push(Action::Answer {
            flow: key.flow,
            id: key.id,
            token,
            confirmable,
            delivery: Delivery::Direct,
            sequence: None,
            outcome,
        });
    }

    fn admit_or_replay(
        &mut self,
        now: Instant,
        slice: id::Slice,
        service: &Service,
        incoming: IncomingRequest,
    ) {
        let key = incoming.request.key();
        let state = self.slices.entry(slice).or_default();
        if state.records.contains_key(&key) {
            self.handle_duplicate(now, slice, &key, &incoming.request);
        } else if incoming.request.kind.is_non_idempotent() {
            self.admit_non_idempotent(now, slice, service, incoming);
        } else {
            self.admit_idempotent(now, slice, service, incoming.request);
        }
    }

    /// Handles a duplicate of a request that has a record here. A duplicate is
    /// never forwarded.
    fn handle_duplicate(&mut self, now: Instant, slice: id::Slice, key: &Key, request: &Request) {
        let Some(record) = self.slices.get(&slice).and_then(|s| s.records.get(key)) else {
            return;
        };
        let separate = record.separate_message;
        match record.phase.clone() {
            Phase::Settled(outcome) => {
                let sequence = record.sequence;
                self.emit_request(Reason::Replayed, slice, key);
                self.actions.push(Action::Answer {
                    flow: key.flow.clone(),
                    id: key.id,
                    token: request.token,
                    confirmable: request.confirmable,
                    delivery: separate
                        .map_or(Delivery::Direct, |message| Delivery::Separate { message }),
                    sequence,
                    outcome,
                });
            }
            Phase::Claimed if self.may_be_answered_elsewhere(now, slice, key) => {
                self.emit_request(Reason::CopyIgnored, slice, key);
                self.schedule_answer_at_deadline(slice, key, request);
            }
            Phase::Claimed => {
                self.answer_unrecorded(request, Outcome::Unknown, Reason::UnknownClaimed);
            }
            Phase::Claiming(_) | Phase::Sent => {
                self.emit_request(Reason::CopyIgnored, slice, key);
                if separate.is_some() {
                    self.actions.push(Action::Acknowledge {
                        flow: key.flow.clone(),
                        id: key.id,
                    });
                }
            }
        }
    }

    /// Whether the home that claimed a request may still answer it.
    ///
    /// It may until the request's deadline: a home in a planned move finishes the
    /// requests that it has, and one that is cut off from its peers seems to have
    /// failed but still answers its callers. A caller that got "unknown" in the
    /// meantime would give up before the answer arrives. At the deadline that home
    /// answers "unknown" itself.
    fn may_be_answered_elsewhere(&self, now: Instant, slice: id::Slice, key: &Key) -> bool {
        let state = self.slices.get(&slice);
        let Some(record) = state.and_then(|state| state.records.get(key)) else {
            return false;
        };
        let claimer = record.claimed_by.as_ref();
        let has_ended = claimer.is_some_and(|claimer| self.membership.has_ended(claimer));
        !has_ended && now < record.received_at + self.deadline(&key.flow.service)
    }

    /// Records that the sender of this duplicate waits for an answer.
    ///
    /// The intervals between duplicates double: if the home that claimed the
    /// request has failed, the next duplicate, and with it the answer "unknown",
    /// would come long after the deadline.
    fn schedule_answer_at_deadline(&mut self, slice: id::Slice, key: &Key, request: &Request) {
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        record.token = request.token;
        record.confirmable = request.confirmable;
        if std::mem::replace(&mut record.has_waiting_sender, true) {
            return;
        }
        let due = record.received_at + deadline;
        self.schedule(due, Timer::Deadline(slice, key.clone()));
    }

    fn admit_non_idempotent(
        &mut self,
        now: Instant,
        slice: id::Slice,
        service: &Service,
        incoming: IncomingRequest,
    ) {
        let IncomingRequest {
            request,
            received_at,
            ..
        } = incoming;
        let records_lost_since = self
            .slices
            .get(&slice)
            .and_then(|state| state.records_lost_since);
        if !self.membership.has_authority(now) {
            self.answer_unrecorded(&request, Outcome::Unknown, Reason::UnknownAuthority);
            return;
        }
        // The records of the previous home are lost. A request that arrives within
        // one copy lifetime of the takeover may be a duplicate of one that the
        // previous home forwarded.
        if records_lost_since.is_some_and(|since| now < since + service.profile.copy_lifetime()) {
            self.answer_unrecorded(&request, Outcome::Unknown, Reason::UnknownBlank);
            return;
        }
        if self.records >= self.settings.max_flows {
            // No record can be kept, and "not run" would need a record that stops
            // later duplicates.
            self.answer_unrecorded(&request, Outcome::Unknown, Reason::UnknownLimit);
            return;
        }
        let follow_up = match self.exceeded_limit(slice, service, &request.flow) {
            None => ClaimFollowUp::Forward,
            Some(reason) => ClaimFollowUp::Refuse {
                retry_after: service.profile.retry_after_s,
                reason,
            },
        };
        // The time that the request waited for a home counts toward its deadline.
        let key = self.insert_open_record(
            received_at,
            slice,
            service,
            request,
            Phase::Claiming(follow_up),
        );
        self.usage(&service.id)
            .budget
            .deposit(service.profile.retry_budget_percent);
        self.claim(now, slice, &key);
    }

    fn admit_idempotent(
        &mut self,
        now: Instant,
        slice: id::Slice,
        service: &Service,
        request: Request,
    ) {
        let refusal = Outcome::NotRun {
            retry_after: service.profile.retry_after_s,
        };
        if let Some(reason) = self.exceeded_limit(slice, service, &request.flow) {
            self.answer_unrecorded(&request, refusal, reason);
            return;
        }
        if request.block.is_upload && self.records >= self.settings.max_flows {
            self.answer_unrecorded(&request, refusal, Reason::RefusedLimit);
            return;
        }
        let feeds = self.usage(&service.id).feeds;
        if request.kind == Kind::OpenFeed
            && (feeds >= service.profile.max_feeds || self.feeds >= self.settings.max_flows)
        {
            self.answer_unrecorded(&request, refusal, Reason::RefusedLimit);
            return;
        }
        if request.kind == Kind::CloseFeed {
            self.close_feed(now, slice, &request);
        }
        let key = self.insert_open_record(now, slice, service, request, Phase::Sent);
        self.usage(&service.id)
            .budget
            .deposit(service.profile.retry_budget_percent);
        self.dispatch(now, slice, &key);
    }

    fn exceeded_limit(
        &mut self,
        slice: id::Slice,
        service: &Service,
        flow: &Flow,
    ) -> Option<Reason> {
        if self.is_stopping {
            return Some(Reason::RefusedStopping);
        }
        let open_requests = self
            .slices
            .get(&slice)
            .and_then(|state| state.open_requests.get(flow));
        if open_requests.is_some_and(|count| *count >= service.profile.max_per_caller) {
            return Some(Reason::RefusedCaller);
        }
        let used = self.usage(&service.id).in_progress;
        let share = service.profile.max_in_progress / u32::from(self.settings.workers);
        (used >= share.max(1)).then_some(Reason::RefusedLimit)
    }

    fn insert_open_record(
        &mut self,
        received_at: Instant,
        slice: id::Slice,
        service: &Service,
        request: Request,
        phase: Phase,
    ) -> Key {
        let key = request.key();
        let record = Record {
            phase,
            claimed_by: None,
            has_waiting_sender: false,
            kind: request.kind,
            token: request.token,
            confirmable: request.confirmable,
            block: request.block,
            received_at,
            separate_message: None,
            resends: 0,
            sequence: None,
            attempts: Vec::new(),
            tried_servers: Vec::new(),
            datagram: request.datagram,
        };
        let state = self.slices.entry(slice).or_default();
        state.records.insert(key.clone(), record);
        *state.open_requests.entry(key.flow.clone()).or_default() += 1;
        self.records += 1;
        self.usage(&service.id).in_progress += 1;
        if request.confirmable {
            let timer = Timer::Acknowledge(slice, key.clone());
            self.schedule(received_at + ACKNOWLEDGE_AFTER, timer);
        }
        let timer = Timer::Deadline(slice, key.clone());
        self.schedule(received_at + service.profile.deadline(), timer);
        key
    }

    pub(super) fn handle_receipt(
        &mut self,
        now: Instant,
        flow: Flow,
        message: u16,
        receipt: Receipt,
        hops: u32,
        datagram: Bytes,
    ) {
        let slice = self.slice_of(&flow);
        // The instance that sent the message is the one that waits for the receipt,
        // even if the slice has just moved.
        if let Some(id) = self.unacknowledged_answers.remove(&(flow.clone(), message)) {
            self.confirm_answer(slice, &Key { flow, id });
            return;
        }
        if self.apply_feed_receipt(now, slice, &flow, message, receipt) {
            return;
        }
        if self.table.is_empty() {
            return;
        }
        if let Route::Remote(holder) = self.route(slice, Kind::CloseFeed) {
            self.relay(&holder, &flow, datagram, hops);
        }
    }
}
