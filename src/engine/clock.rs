//! What happens because time has passed.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

use super::Engine;
use crate::action::Action;
use crate::id;
use crate::reason::Reason;
use crate::record::Phase;
use crate::record::Timer;
use crate::request::Key;
use crate::request::Outcome;

/// Time between searches for leaving servers.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

impl Engine {
    pub(super) fn tick(&mut self, now: Instant) {
        self.fire(now);
        self.expire_parked(now);
        self.pump(now);
        self.release_feeds(now);
        if self.swept.is_none_or(|swept| now >= swept + SWEEP_EVERY) {
            self.swept = Some(now);
            self.vacate(now);
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
                Timer::Acknowledge(slice, key) => self.acknowledge(slice, &key),
                Timer::Attempt(slice, key, attempt) => self.retry(now, slice, &key, attempt),
                Timer::Deadline(slice, key) => self.give_up(now, slice, &key),
                Timer::Resend(slice, key) => self.resend(now, slice, &key),
                Timer::Forget(slice, key) => self.expire(now, slice, &key),
                Timer::Feed(slice, key) => self.tend_feed(now, slice, &key),
            }
        }
    }

    /// Tells the caller that its request is here, so that it stops repeating it.
    fn acknowledge(&mut self, slice: id::Slice, key: &Key) {
        self.next_message = self.next_message.wrapping_add(1);
        let message = self.next_message;
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if !record.is_open() || record.separate.is_some() {
            return;
        }
        record.separate = Some(message);
        self.out.push(Action::Acknowledge {
            flow: key.flow.clone(),
            id: key.id,
        });
    }

    fn give_up(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let servers = record.attempts.clone();
        for attempt in servers {
            let sending = self.sendings.get(&attempt);
            if let Some(server) = sending.map(|sending| sending.server.clone()) {
                self.blame(now, &server);
            }
        }
        self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownDeadline);
    }

    /// Forgets a finished request that no copy can follow any more.
    fn expire(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let Some(record) = self.record(slice, key) else {
            return;
        };
        let finished = record.is_settled() || record.phase == Phase::Claimed;
        let born = record.born;
        if finished && now >= born + self.copy_lifetime(&key.flow.service) {
            self.forget(slice, key);
        } else {
            self.schedule_forget(now, slice, key);
        }
    }
}
