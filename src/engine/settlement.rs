//! Final outcomes: sent to the caller, kept for duplicates, and resent until
//! acknowledged.

use std::time::Duration;

use tokio::time::Instant;

use super::Engine;
use crate::action::Action;
use crate::action::Delivery;
use crate::id;
use crate::peer;
use crate::reason::Reason;
use crate::record::Phase;
use crate::record::Timer;
use crate::request::Key;
use crate::request::Outcome;

/// First delay before a separate answer without a receipt is sent again; doubled
/// each time.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// Times that a separate answer is resent before the caller is considered gone.
const MAX_RESENDS: u32 = 4;

/// Copy lifetime (the time in which duplicates of a request may arrive) of a
/// service whose profile is not known here.
const DEFAULT_COPY_LIFETIME: Duration = Duration::from_secs(600);

/// Time that a record is kept beyond the copy lifetime: the last duplicate may wait
/// for a home at another instance, or through a short pause of its process, and
/// would be run again if it found no record.
const RECORD_MARGIN: Duration = Duration::from_secs(20);

impl Engine {
    /// Sends the final outcome at once and keeps it if duplicates of the request
    /// must get the same answer.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &Key,
        outcome: Outcome,
        reason: Reason,
    ) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if !record.is_open() {
            return;
        }
        record.phase = Phase::Settled(outcome.clone());
        record.datagram = bytes::Bytes::new();
        let attempts = std::mem::take(&mut record.attempts);
        let (token, confirmable, is_kept) = (record.token, record.confirmable, record.is_kept());
        let is_non_idempotent = record.kind.is_non_idempotent();
        let (separate, sequence) = (record.separate_message, record.sequence);
        let received_at = record.received_at;
        let server = match outcome {
            Outcome::Answered(_) => record.tried_servers.last().cloned(),
            _ => None,
        };
        for attempt in attempts {
            self.remove_attempt(attempt);
        }
        self.decrement_in_progress(slice, key);
        let elapsed = now.duration_since(received_at);
        self.emit_settled(reason, slice, key, server, elapsed);
        if is_non_idempotent {
            self.send_outcome_to_new_home(slice, key, token, &outcome);
        }
        let delivery = separate.map_or(Delivery::Direct, |message| Delivery::Separate { message });
        self.actions.push(Action::Answer {
            flow: key.flow.clone(),
            id: key.id,
            token,
            confirmable,
            delivery,
            sequence,
            outcome,
        });
        if let Some(message) = separate {
            self.unacknowledged_answers
                .insert((key.flow.clone(), message), key.id);
            self.schedule(now + RESEND_AFTER, Timer::Resend(slice, key.clone()));
        }
        if is_kept {
            self.schedule_record_expiry(now, slice, key);
        } else if separate.is_none() {
            self.remove_record(slice, key);
        }
    }

    pub(super) fn decrement_in_progress(&mut self, slice: id::Slice, key: &Key) {
        let usage = self.usage(&key.flow.service);
        usage.in_progress = usage.in_progress.saturating_sub(1);
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        if let Some(count) = state.open_requests.get_mut(&key.flow) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                state.open_requests.remove(&key.flow);
            }
        }
    }

    /// Sends the new home the answer to a request that was in progress here when
    /// its slice moved: the new home answers the duplicates.
    fn send_outcome_to_new_home(
        &mut self,
        slice: id::Slice,
        key: &Key,
        token: crate::request::Token,
        outcome: &Outcome,
    ) {
        let row = self.table.row(slice);
        let Outcome::Answered(answer) = outcome else {
            return;
        };
        let Some(home) = row.home.clone().filter(|home| *home != self.settings.me) else {
            return;
        };
        self.actions.push(Action::Peer {
            to: home,
            body: peer::PeerMessage::FinalOutcome(peer::FinalOutcome {
                slice: slice.0,
                flow: Some(peer::pack_flow(&key.flow)),
                id: peer::pack_number(key.id.0),
                token: peer::pack_number(token.0),
                answer: answer.clone(),
            }),
        });
    }

    pub(super) fn schedule_record_expiry(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let lifetime = self.record_lifetime(&key.flow.service);
        self.schedule(now + lifetime, Timer::Expire(slice, key.clone()));
    }

    /// How long a record is kept after its request arrived.
    pub(super) fn record_lifetime(&self, service: &id::Service) -> Duration {
        self.copy_lifetime(service) + RECORD_MARGIN
    }

    pub(super) fn copy_lifetime(&self, service: &id::Service) -> Duration {
        self.service(service)
            .map_or(DEFAULT_COPY_LIFETIME, |service| {
                service.profile.copy_lifetime()
            })
    }

    pub(super) fn remove_record(&mut self, slice: id::Slice, key: &Key) {
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let Some(record) = state.records.remove(key) else {
            return;
        };
        self.records -= 1;
        if let Some(message) = record.separate_message {
            self.unacknowledged_answers
                .remove(&(key.flow.clone(), message));
        }
    }

    /// Records that the caller has received a separate answer.
    pub(super) fn confirm_answer(&mut self, slice: id::Slice, key: &Key) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        record.resends = MAX_RESENDS;
        if !record.is_kept() {
            self.remove_record(slice, key);
        }
    }

    /// Sends a separate answer again whose receipt did not arrive in time.
    pub(super) fn resend_answer(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let (Phase::Settled(outcome), Some(message)) =
            (record.phase.clone(), record.separate_message)
        else {
            return;
        };
        if record.resends >= MAX_RESENDS {
            if !record.is_kept() {
                self.remove_record(slice, key);
            }
            return;
        }
        record.resends += 1;
        let delay = RESEND_AFTER * 2u32.pow(record.resends);
        let (token, confirmable, sequence) = (record.token, record.confirmable, record.sequence);
        self.schedule(now + delay, Timer::Resend(slice, key.clone()));
        self.actions.push(Action::Answer {
            flow: key.flow.clone(),
            id: key.id,
            token,
            confirmable,
            delivery: Delivery::Separate { message },
            sequence,
            outcome,
        });
    }
}
