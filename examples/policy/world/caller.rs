//! Callers: what they want, repeat and hear.

use std::time::Duration;

use bytes::Bytes;
use godwitreel::event::Event;
use godwitreel::request::BodyBlock;
use godwitreel::request::Flow;
use godwitreel::request::Id;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use godwitreel::request::Receipt;
use godwitreel::request::Request;
use godwitreel::request::Token;
use rand::RngExt;

use crate::world::World;
use crate::world::endpoint;
use crate::world::event::What;
use crate::world::service;

/// Pause before a caller's first repeat; it doubles with each.
const FIRST_REPEAT: Duration = Duration::from_secs(2);

/// Repeats of a request at most.
const MAX_REPEATS: u32 = 4;

/// A request as its caller sees it.
pub(super) struct Call {
    pub(super) caller: u64,
    pub(super) kind: Kind,
    /// When the caller first wanted it.
    pub(super) wanted: f64,
    pub(super) runs: u32,
    pub(super) done: bool,
    pub(super) told: bool,
    pub(super) refused: bool,
    pub(super) repeats: u32,
    pub(super) comebacks: u32,
}

pub(super) struct Watcher {
    pub(super) seen: f64,
    pub(super) gap: f64,
    pub(super) open: bool,
}

impl World {
    pub(super) fn arrival(&mut self) {
        let rate = (self.plan.rate)(self.now).max(0.001);
        let wait = -self.rng.random::<f64>().max(1e-12).ln() / rate;
        self.after(wait, What::Arrival);
        let once = self.rng.random::<f64>() < self.plan.once;
        let kind = if once {
            Kind::NonIdempotent
        } else {
            Kind::Idempotent
        };
        let caller = 1_000_000 + self.rng.random_range(0..5_000);
        self.call(caller, kind, self.now, 0);
    }

    pub(super) fn call(&mut self, caller: u64, kind: Kind, wanted: f64, comebacks: u32) {
        self.next += 1;
        let number = self.next;
        let call = Call {
            caller,
            kind,
            wanted,
            runs: 0,
            done: false,
            told: false,
            refused: false,
            repeats: 0,
            comebacks,
        };
        self.calls.insert(number, call);
        self.send(number);
        self.after(FIRST_REPEAT.as_secs_f64(), What::Repeat(number));
    }

    /// The fabric hands the datagram to any instance, dead ones included until
    /// they are noticed.
    pub(super) fn send(&mut self, number: u64) {
        let mut home = self.rng.random_range(0..self.homes.len());
        if self.noticed == Some(home) {
            home = (home + 1) % self.homes.len();
        }
        let wait = self.plan.caller_hop;
        self.after(
            wait,
            What::ToHome {
                home,
                number,
                hops: 0,
            },
        );
    }

    pub(super) fn repeat(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if call.done || call.told || call.repeats >= MAX_REPEATS {
            return;
        }
        call.repeats += 1;
        let wait = FIRST_REPEAT.as_secs_f64() * 2f64.powi(call.repeats as i32);
        self.send(number);
        self.after(wait, What::Repeat(number));
    }

    pub(super) fn request(&self, number: u64) -> Option<Request> {
        let call = self.calls.get(&number)?;
        Some(Request {
            flow: Flow {
                service: service(),
                caller: endpoint(12, call.caller),
            },
            id: Id(number.into()),
            token: Token(number.into()),
            kind: call.kind,
            confirmable: true,
            block: BodyBlock::default(),
            datagram: Bytes::copy_from_slice(&number.to_be_bytes()),
        })
    }

    pub(super) fn answered(&mut self, number: u64, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if call.done {
            return;
        }
        call.done = true;
        call.refused = matches!(outcome, Outcome::NotRun { .. });
        let (caller, kind, wanted, comebacks) =
            (call.caller, call.kind, call.wanted, call.comebacks);
        let now = self.now + self.plan.caller_hop;
        let count = wanted >= self.plan.from;
        match outcome {
            Outcome::Answered(_) => {
                if kind == Kind::OpenFeed {
                    let watcher = Watcher {
                        seen: now,
                        gap: 0.0,
                        open: true,
                    };
                    self.watchers.insert(number, watcher);
                } else if count {
                    self.measure
                        .answered(now - wanted, kind.is_non_idempotent());
                }
            }
            Outcome::NotRun { retry_after } => {
                let again = kind == Kind::OpenFeed || comebacks < self.plan.comebacks;
                if again {
                    let jitter = 0.5 + self.rng.random::<f64>();
                    let told = f64::from(retry_after) * jitter;
                    let wait = if self.plan.heeds { told } else { 0.1 * jitter };
                    let what = What::Return {
                        caller,
                        kind,
                        wanted,
                        comebacks: comebacks + 1,
                    };
                    self.after(wait, what);
                } else if count {
                    self.measure.refused += 1;
                }
                if count {
                    self.measure.refusals += 1;
                }
            }
            Outcome::Unknown if count => {
                self.measure.unknown += u64::from(kind.is_non_idempotent());
                self.measure.late += u64::from(!kind.is_non_idempotent());
            }
            Outcome::Unknown => {}
        }
    }

    pub(super) fn notified(&mut self, number: u64, datagram: Option<Bytes>) {
        let now = self.now;
        if let Some(watcher) = self.watchers.get_mut(&number) {
            watcher.gap = watcher.gap.max(now - watcher.seen);
            watcher.seen = now;
            if datagram.is_none() {
                watcher.open = false;
                self.measure.feeds_ended += 1;
            }
        }
    }

    pub(super) fn receipt(&mut self, home: usize, flow: Flow, message: u16) {
        let event = Event::Receipt {
            flow,
            message,
            receipt: Receipt::Acknowledged,
            hops: 0,
            datagram: Bytes::new(),
        };
        self.feed(home, event);
    }
}

pub(super) fn number(datagram: &[u8]) -> u64 {
    datagram.try_into().map_or(0, u64::from_be_bytes)
}
