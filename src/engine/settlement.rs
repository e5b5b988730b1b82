//! Final outcomes: given once, kept for copies, repeated until received.

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

/// First wait for the receipt of a separate answer; doubled each time.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// Separate answers sent before the caller is taken to be gone.
const MAX_RESENDS: u32 = 4;

/// How long copies are expected for a service whose profile is not known here.
const DEFAULT_COPY_LIFETIME: Duration = Duration::from_secs(600);

/// Added to the copy lifetime for which a record is kept: the last copy may wait
/// for a home at another instance, or through a short pause of its process, and
/// would run again if it found nothing.
const KEEP_MARGIN: Duration = Duration::from_secs(20);
impl Engine {
    /// Gives the final outcome at once and keeps it for copies where they matter.
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
        let (token, confirmable, kept) = (record.token, record.confirmable, record.is_kept());
        let once = record.kind.runs_once();
        let (separate, sequence) = (record.separate, record.sequence);
        let born = record.born;
        let server = match outcome {
            Outcome::Answered(_) => record.tried.last().cloned(),
            _ => None,
        };
        for attempt in attempts {
            self.drop_sending(attempt);
        }
        self.decrement_in_progress(slice, key);
        let elapsed = now.duration_since(born);
        self.note_settled(reason, slice, key, server, elapsed);
        if once {
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
            self.unacknowledged_answers.insert((key.flow.clone(), message), key.id);
            self.schedule(now + RESEND_AFTER, Timer::Resend(slice, key.clone()));
        }
        if kept {
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
        if let Some(busy) = state.busy.get_mut(&key.flow) {
            *busy = busy.saturating_sub(1);
            if *busy == 0 {
                state.busy.remove(&key.flow);
            }
        }
    }

    /// A request that was in progress here while its slice moved: the new home
    /// answers copies, so it gets the answer too.
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
            body: peer::Body::Settle(peer::Settle {
                slice: slice.0,
                flow: Some(peer::pack_flow(&key.flow)),
                id: peer::pack_number(key.id.0),
                token: peer::pack_number(token.0),
                answer: answer.clone(),
            }),
        });
    }

    pub(super) fn schedule_record_expiry(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let keep = self.record_lifetime(&key.flow.service);
        self.schedule(now + keep, Timer::Forget(slice, key.clone()));
    }

    /// How long a record is kept after its request came.
    pub(super) fn record_lifetime(&self, service: &id::Service) -> Duration {
        self.copy_lifetime(service) + KEEP_MARGIN
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
        if let Some(message) = record.separate {
            self.unacknowledged_answers.remove(&(key.flow.clone(), message));
        }
    }

    /// The caller has a separate answer.
    pub(super) fn confirm_answer(&mut self, slice: id::Slice, key: &Key) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        record.resends = MAX_RESENDS;
        if !record.is_kept() {
            self.remove_record(slice, key);
        }
    }

    /// The receipt of a separate answer is late: send it again.
    pub(super) fn resend_answer(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let (Phase::Settled(outcome), Some(message)) = (record.phase.clone(), record.separate)
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
        let wait = RESEND_AFTER * 2u32.pow(record.resends);
        let (token, confirmable, sequence) = (record.token, record.confirmable, record.sequence);
        self.schedule(now + wait, Timer::Resend(slice, key.clone()));
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
