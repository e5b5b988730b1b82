//! Models of callers: their requests, retransmissions and received answers.

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

use crate::simulation::Simulation;
use crate::simulation::endpoint;
use crate::simulation::event::SimulationEvent;
use crate::simulation::service;

/// Delay before a caller's first retransmission; it doubles with each further one.
const FIRST_RETRANSMISSION_DELAY: Duration = Duration::from_secs(2);

/// Most retransmissions of a request.
const MAX_RETRANSMISSIONS: u32 = 4;

/// The state of a request at its caller.
pub(super) struct Call {
    pub(super) caller: u64,
    pub(super) kind: Kind,
    /// Time of the caller's first attempt.
    pub(super) issued_at: f64,
    pub(super) runs: u32,
    pub(super) done: bool,
    pub(super) acknowledged: bool,
    pub(super) refused: bool,
    pub(super) retransmissions: u32,
    pub(super) caller_retries: u32,
}

/// The state of a feed at its caller.
pub(super) struct FeedObserver {
    pub(super) last_notification: f64,
    pub(super) longest_gap: f64,
    pub(super) is_open: bool,
}

impl Simulation {
    pub(super) fn arrival(&mut self) {
        let rate = (self.plan.rate)(self.now).max(0.001);
        let wait = -self.rng.random::<f64>().max(1e-12).ln() / rate;
        self.schedule_after(wait, SimulationEvent::Arrival);
        let is_non_idempotent = self.rng.random::<f64>() < self.plan.non_idempotent_share;
        let kind = if is_non_idempotent {
            Kind::NonIdempotent
        } else {
            Kind::Idempotent
        };
        let caller = 1_000_000 + self.rng.random_range(0..5_000);
        self.issue_call(caller, kind, self.now, 0);
    }

    pub(super) fn issue_call(
        &mut self,
        caller: u64,
        kind: Kind,
        issued_at: f64,
        caller_retries: u32,
    ) {
        self.next_call += 1;
        let number = self.next_call;
        let call = Call {
            caller,
            kind,
            issued_at,
            runs: 0,
            done: false,
            acknowledged: false,
            refused: false,
            retransmissions: 0,
            caller_retries,
        };
        self.calls.insert(number, call);
        self.send(number);
        self.schedule_after(
            FIRST_RETRANSMISSION_DELAY.as_secs_f64(),
            SimulationEvent::Retransmission(number),
        );
    }

    /// Sends the datagram through the fabric, which picks any instance. It also picks dead
    /// instances until their failure is detected.
    pub(super) fn send(&mut self, number: u64) {
        let mut instance = self.rng.random_range(0..self.instances.len());
        if self.detected_dead == Some(instance) {
            instance = (instance + 1) % self.instances.len();
        }
        let wait = self.plan.caller_delay;
        self.schedule_after(
            wait,
            SimulationEvent::RequestAtInstance {
                instance,
                number,
                hops: 0,
            },
        );
    }

    pub(super) fn retransmit(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if call.done || call.acknowledged || call.retransmissions >= MAX_RETRANSMISSIONS {
            return;
        }
        call.retransmissions += 1;
        let wait =
            FIRST_RETRANSMISSION_DELAY.as_secs_f64() * 2f64.powi(call.retransmissions as i32);
        self.send(number);
        self.schedule_after(wait, SimulationEvent::Retransmission(number));
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
        let (caller, kind, issued_at, caller_retries) =
            (call.caller, call.kind, call.issued_at, call.caller_retries);
        let now = self.now + self.plan.caller_delay;
        let is_counted = issued_at >= self.plan.measure_from;
        match outcome {
            Outcome::Answered(_) => {
                if kind == Kind::OpenFeed {
                    let observer = FeedObserver {
                        last_notification: now,
                        longest_gap: 0.0,
                        is_open: true,
                    };
                    self.feed_observers.insert(number, observer);
                } else if is_counted {
                    self.measure
                        .answered(now - issued_at, kind.is_non_idempotent());
                }
            }
            Outcome::NotRun { retry_after } => {
                let will_retry =
                    kind == Kind::OpenFeed || caller_retries < self.plan.caller_retries;
                if will_retry {
                    let jitter = 0.5 + self.rng.random::<f64>();
                    let suggested = f64::from(retry_after) * jitter;
                    let wait = if self.plan.honours_retry_after {
                        suggested
                    } else {
                        0.1 * jitter
                    };
                    let event = SimulationEvent::Call {
                        caller,
                        kind,
                        issued_at,
                        caller_retries: caller_retries + 1,
                    };
                    self.schedule_after(wait, event);
                } else if is_counted {
                    self.measure.refused += 1;
                }
                if is_counted {
                    self.measure.refusals += 1;
                }
            }
            Outcome::Unknown if is_counted => {
                self.measure.unknown += u64::from(kind.is_non_idempotent());
                self.measure.unanswered += u64::from(!kind.is_non_idempotent());
            }
            Outcome::Unknown => {}
        }
    }

    pub(super) fn notified(&mut self, number: u64, datagram: Option<Bytes>) {
        let now = self.now;
        if let Some(observer) = self.feed_observers.get_mut(&number) {
            observer.longest_gap = observer.longest_gap.max(now - observer.last_notification);
            observer.last_notification = now;
            if datagram.is_none() {
                observer.is_open = false;
                self.measure.feeds_ended += 1;
            }
        }
    }

    pub(super) fn receipt(&mut self, instance: usize, flow: Flow, message: u16) {
        let event = Event::Receipt {
            flow,
            message,
            receipt: Receipt::Acknowledged,
            hops: 0,
            datagram: Bytes::new(),
        };
        self.handle_event(instance, event);
    }
}

pub(super) fn call_number(datagram: &[u8]) -> u64 {
    datagram.try_into().map_or(0, u64::from_be_bytes)
}
