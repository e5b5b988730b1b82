//! Timers and periodic work.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

use super::Engine;
use super::inbound::ACKNOWLEDGE_AFTER;
use crate::action::Action;
use crate::id;
use crate::reason::Reason;
use crate::record::Phase;
use crate::record::Timer;
use crate::request::Key;
use crate::request::Outcome;

/// Time without a tick that counts as a pause of the process. Together with the
/// longest wait for a home, it must fit into the margin that records are kept
/// beyond the copy lifetime.
const LONG_PAUSE: Duration = Duration::from_secs(10);

/// Period after a pause in which datagrams from before it may still be read from
/// the socket buffers.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);

/// Interval at which leaving servers and abandoned block-wise transfers are looked
/// for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

impl Engine {
    /// Detects that this process did not run for a while.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        if self.last_tick.is_some_and(|tick| now >= tick + LONG_PAUSE) {
            self.last_tick = Some(now);
            self.catching_up_until = Some(now + CATCH_UP_PERIOD);
        }
    }

    /// Whether a datagram handled now may have waited through a long pause.
    pub(super) fn is_catching_up(&self, now: Instant) -> bool {
        self.catching_up_until.is_some_and(|until| now < until)
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.last_tick = Some(now);
        self.fire_timers(now);
        self.expire_parked(now);
        self.send_due_steps(now);
        self.release_feeds(now);
        if self
            .last_sweep
            .is_none_or(|sweep| now >= sweep + SWEEP_INTERVAL)
        {
            self.last_sweep = Some(now);
            self.move_feeds_off_leaving_servers(now);
            self.expire_pins(now);
        }
        self.rebalance(now);
        self.start_queued_renewals(now);
    }

    fn fire_timers(&mut self, now: Instant) {
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= now)
        {
            let Some(Reverse((_, timer))) = self.timers.pop() else {
                return;
            };
            match timer {
                Timer::Acknowledge(slice, key) => self.acknowledge_receipt(now, slice, &key),
                Timer::Attempt(slice, key, attempt) => self.retry(now, slice, &key, attempt),
                Timer::Deadline(slice, key) => self.expire_deadline(now, slice, &key),
                Timer::Resend(slice, key) => self.resend_answer(now, slice, &key),
                Timer::Expire(slice, key) => self.expire_record(now, slice, &key),
                Timer::Feed(slice, key) => self.check_feed(now, slice, &key),
                Timer::OfferFeeds(slice) => {
                    if !self.serves_feeds(slice) {
                        self.send_feed_transfers(slice);
                    }
                }
            }
        }
    }

    /// Acknowledges the request, so that the caller stops repeating it.
    fn acknowledge_receipt(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        self.next_message = self.next_message.wrapping_add(1);
        let message = self.next_message;
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let is_early = now < record.received_at + ACKNOWLEDGE_AFTER;
        if is_early || !record.is_open() || record.separate_message.is_some() {
            return;
        }
        record.separate_message = Some(message);
        self.actions.push(Action::Acknowledge {
            flow: key.flow.clone(),
            id: key.id,
        });
    }

    fn expire_deadline(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if record.phase == Phase::Claimed {
            self.expire_claimed(now, slice, key);
            return;
        }
        if !record.is_open() {
            return;
        }
        let due = record.received_at + deadline;
        if now < due {
            // The timer belongs to an earlier request with the same key, which was
            // answered and whose record was removed: the duplicate has its own
            // deadline. Or the profile's deadline was extended since.
            self.schedule(due, Timer::Deadline(slice, key.clone()));
            return;
        }
        let attempts = record.attempts.clone();
        for attempt in attempts {
            let sent = self.sent_attempts.get(&attempt);
            if let Some(server) = sent.map(|sent| sent.server.clone()) {
                self.record_server_failure(now, &server);
            }
        }
        self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownDeadline);
    }

    /// Handles the deadline of a request that another home claimed: the sender of a
    /// duplicate that was received here gets an answer.
    fn expire_claimed(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let is_home = self.table.row(slice).is_home(&self.settings.me);
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let due = record.received_at + deadline;
        if now < due {
            // The profile's deadline was extended since.
            self.schedule(due, Timer::Deadline(slice, key.clone()));
            return;
        }
        let has_waiting_sender = std::mem::take(&mut record.has_waiting_sender);
        if !has_waiting_sender || !is_home {
            return;
        }
        let (token, confirmable) = (record.token, record.confirmable);
        let (outcome, reason) = (Outcome::Unknown, Reason::UnknownClaimed);
        self.answer_directly(key.clone(), token, confirmable, outcome, reason);
    }

    /// Removes the record of a finished request once no duplicate can arrive any
    /// more.
    fn expire_record(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let is_finished = record.is_settled() || record.phase == Phase::Claimed;
        let received_at = record.received_at;
        if is_finished && now >= received_at + self.record_lifetime(&key.flow.service) {
            self.remove_record(slice, key);
        } else {
            self.schedule_record_expiry(now, slice, key);
        }
    }
}
