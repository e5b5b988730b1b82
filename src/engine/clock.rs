//! What happens because time has passed.

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

/// Time without a tick that is taken for a pause of the process. With the longest
/// wait for a home it must fit into the margin for which records are kept.
const LONG_PAUSE: Duration = Duration::from_secs(10);

/// Time after a pause in which waiting datagrams are still being read.
const CATCH_UP: Duration = Duration::from_millis(500);

/// Time between searches for leaving servers and for bodies that were given up.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

impl Engine {
    /// Notices that this process did not run for a while.
    pub(super) fn watch_pause(&mut self, now: Instant) {
        if self.ticked.is_some_and(|ticked| now >= ticked + LONG_PAUSE) {
            self.ticked = Some(now);
            self.catching_up_until = Some(now + CATCH_UP);
        }
    }

    /// Whether what arrives now may have waited through a long pause.
    pub(super) fn is_catching_up(&self, now: Instant) -> bool {
        self.catching_up_until.is_some_and(|until| now < until)
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.ticked = Some(now);
        self.fire(now);
        self.expire_parked(now);
        self.pump(now);
        self.release_feeds(now);
        if self.swept.is_none_or(|swept| now >= swept + SWEEP_EVERY) {
            self.swept = Some(now);
            self.vacate(now);
            self.expire_pins(now);
        }
        self.rebalance(now);
        self.move_feeds(now);
    }

    fn fire(&mut self, now: Instant) {
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= now)
        {
            let Some(Reverse((_, timer))) = self.timers.pop() else {
                return;
            };
            match timer {
                Timer::Acknowledge(slice, key) => self.acknowledge(now, slice, &key),
                Timer::Attempt(slice, key, attempt) => self.retry(now, slice, &key, attempt),
                Timer::Deadline(slice, key) => self.give_up(now, slice, &key),
                Timer::Resend(slice, key) => self.resend(now, slice, &key),
                Timer::Expire(slice, key) => self.expire(now, slice, &key),
                Timer::Feed(slice, key) => self.tend_feed(now, slice, &key),
                Timer::OfferFeeds(slice) => {
                    if !self.tends(slice) {
                        self.offer_feeds(slice);
                    }
                }
            }
        }
    }

    /// Tells the caller that its request is here, so that it stops repeating it.
    fn acknowledge(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        self.next_message = self.next_message.wrapping_add(1);
        let message = self.next_message;
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let early = now < record.received_at + ACKNOWLEDGE_AFTER;
        if early || !record.is_open() || record.separate.is_some() {
            return;
        }
        record.separate = Some(message);
        self.out.push(Action::Acknowledge {
            flow: key.flow.clone(),
            id: key.id,
        });
    }

    fn give_up(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if record.phase == Phase::Claimed {
            self.end_waiting(now, slice, key);
            return;
        }
        if !record.is_open() {
            return;
        }
        let due = record.received_at + deadline;
        if now < due {
            // The timer is that of an earlier request under the same key, which was
            // answered and forgotten: its copy has its own time. Or the profile
            // allows more time by now.
            self.schedule(due, Timer::Deadline(slice, key.clone()));
            return;
        }
        let servers = record.attempts.clone();
        for attempt in servers {
            let sending = self.sendings.get(&attempt);
            if let Some(server) = sending.map(|sending| sending.server.clone()) {
                self.blame(now, &server);
            }
        }
        self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownDeadline);
    }

    /// The home that claimed a request has no time left to answer it: whoever has sent
    /// a copy here is told.
    fn end_waiting(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let is_home = self.table.row(slice).is_home(&self.settings.me);
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let due = record.received_at + deadline;
        if now < due {
            // The profile allows more time by now.
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

    /// Forgets a finished request that no copy can follow any more.
    fn expire(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let finished = record.is_settled() || record.phase == Phase::Claimed;
        let born = record.received_at;
        if finished && now >= born + self.keep_time(&key.flow.service) {
            self.forget(slice, key);
        } else {
            self.schedule_forget(now, slice, key);
        }
    }
}
