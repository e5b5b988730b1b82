//! Backend servers: slots, refusals, silence; every start is counted and no copy
//! is recognised, so that a second sending shows.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::id;
use godwitreel::request::Answer;
use godwitreel::request::Kind;
use rand::RngExt;

use crate::fleet::Fleet;
use crate::fleet::Input;
use crate::fleet::Item;
use crate::fleet::Sending;
use crate::lab;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mood {
    Well,
    /// Refuses everything.
    Shedding,
    /// Takes three seconds for each request.
    Slow,
    /// Takes requests, starts none, says nothing.
    Deaf,
    /// Runs requests, and all its answers are lost.
    Mute,
    /// Refuses new work; its feeds go on for a while.
    Draining,
}

/// A registration of a feed.
#[derive(Clone, Debug)]
pub(crate) struct Registration {
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) number: u64,
}

/// One server.
pub(crate) struct Backend {
    pub(crate) id: id::Server,
    pub(crate) service: &'static str,
    pub(crate) address: id::Endpoint,
    pub(crate) mood: Mood,
    pub(crate) busy: u32,
    pub(crate) feeds: BTreeMap<(usize, id::Attempt), Registration>,
}

const SLOTS: u32 = 2;
const MOST_WAITING: u32 = 10;

impl Backend {
    /// Whether it refuses new work now.
    pub(crate) fn refuses(&self) -> bool {
        matches!(self.mood, Mood::Shedding | Mood::Draining) || self.busy >= SLOTS + MOST_WAITING
    }

    pub(crate) fn work_time(&self) -> Duration {
        let own = match self.mood {
            Mood::Slow => Duration::from_secs(3),
            _ => Duration::from_millis(30),
        };
        own * (1 + self.busy / SLOTS)
    }
}

impl Fleet {
    /// A request reaches a server.
    pub(crate) fn serve(&mut self, sending: Sending) {
        let backend = &mut self.backends[sending.server];
        let ticket = &mut self.tickets[sending.number as usize];
        if backend.service != sending.service.as_str()
            || ticket.flow.service.as_str() != backend.service
        {
            let text = format!("(d) {} was sent a {} request", backend.id, sending.service);
            self.violations.push(text);
        }
        if backend.mood == Mood::Deaf {
            return;
        }
        if backend.refuses() {
            let answer = lab::refusal();
            self.reply(&sending, answer);
            return;
        }
        ticket.starts += 1;
        backend.busy += 1;
        let wait = backend.work_time();
        self.push(self.now + wait, Item::Finish(sending));
    }

    pub(crate) fn finish(&mut self, sending: &Sending) {
        let kind = self.tickets[sending.number as usize].kind;
        let backend = &mut self.backends[sending.server];
        backend.busy -= 1;
        let mut answer = lab::answer("");
        answer.datagram = self.stamped(sending.number);
        if kind == Kind::OpenFeed {
            answer.keeps_feed_open = true;
            let registration = Registration {
                node: sending.node,
                life: sending.life,
                number: sending.number,
            };
            let key = (sending.node, sending.attempt);
            self.backends[sending.server]
                .feeds
                .insert(key, registration);
        }
        self.reply(sending, answer);
    }

    pub(crate) fn stamped(&self, number: u64) -> Bytes {
        Bytes::copy_from_slice(&number.to_be_bytes())
    }

    pub(crate) fn reply(&mut self, sending: &Sending, answer: Answer) {
        let mute = self.backends[sending.server].mood == Mood::Mute;
        if mute || self.is_lost() {
            return;
        }
        let from = self.backends[sending.server].address;
        let at = self.now + self.delay();
        let input = Input::Answer(from, sending.attempt, answer);
        if self.rng.random_bool(0.02) {
            let later = at + self.delay();
            let copy = Item::Node(sending.node, sending.life, input.clone());
            self.push(later, copy);
        }
        self.push(at, Item::Node(sending.node, sending.life, input));
    }

    pub(crate) fn notify(&mut self) {
        for place in 0..self.backends.len() {
            let backend = &self.backends[place];
            if matches!(backend.mood, Mood::Deaf | Mood::Mute) {
                continue;
            }
            let feeds: Vec<(id::Attempt, Registration)> = backend
                .feeds
                .iter()
                .map(|((_, attempt), registration)| (*attempt, registration.clone()))
                .collect();
            for (attempt, registration) in feeds {
                let mut answer = lab::notification("");
                answer.datagram = self.stamped(registration.number);
                let sending = Sending {
                    node: registration.node,
                    life: registration.life,
                    server: place,
                    service: self.backends[place].service.parse().expect("a legal name"),
                    attempt,
                    number: registration.number,
                };
                self.reply(&sending, answer);
            }
        }
    }
}
