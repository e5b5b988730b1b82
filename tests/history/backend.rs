//! Simulated backend servers with slots, refusals and lost answers. They count every
//! start and do not detect duplicates, so that a request sent twice is noticed.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::id;
use godwitreel::request::Answer;
use godwitreel::request::Kind;
use rand::RngExt;

use crate::fleet::Fleet;
use crate::fleet::ForwardedRequest;
use crate::fleet::Input;
use crate::fleet::Scheduled;
use crate::lab;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerBehavior {
    /// Answers every request.
    Normal,
    /// Refuses every request.
    Overloaded,
    /// Needs three seconds for each request.
    Slow,
    /// Receives requests, but starts none and sends no answer.
    Unresponsive,
    /// Runs requests, but all its answers are lost.
    AnswersLost,
    /// Refuses new requests; its open feeds continue.
    Draining,
}

/// An open feed at a server.
#[derive(Clone, Debug)]
pub(crate) struct OpenFeed {
    pub(crate) node: usize,
    pub(crate) incarnation: u64,
    pub(crate) number: u64,
}

/// A simulated backend server.
pub(crate) struct Backend {
    pub(crate) id: id::Server,
    pub(crate) service: &'static str,
    pub(crate) address: id::Endpoint,
    pub(crate) behavior: ServerBehavior,
    pub(crate) running_requests: u32,
    pub(crate) feeds: BTreeMap<(usize, id::Attempt), OpenFeed>,
}

const SLOTS: u32 = 2;
const MAX_QUEUED: u32 = 10;

impl Backend {
    /// Whether the server refuses a new request now.
    pub(crate) fn refuses_request(&self) -> bool {
        matches!(
            self.behavior,
            ServerBehavior::Overloaded | ServerBehavior::Draining
        ) || self.running_requests >= SLOTS + MAX_QUEUED
    }

    /// Time to run a request. It grows with the requests that run or wait.
    pub(crate) fn service_time(&self) -> Duration {
        let idle_time = match self.behavior {
            ServerBehavior::Slow => Duration::from_secs(3),
            _ => Duration::from_millis(30),
        };
        idle_time * (1 + self.running_requests / SLOTS)
    }
}

impl Fleet {
    /// Handles a request that reached a server.
    pub(crate) fn serve(&mut self, forwarded: ForwardedRequest) {
        let backend = &mut self.backends[forwarded.server];
        let tracked = &mut self.tracked_requests[forwarded.number as usize];
        if backend.service != forwarded.service.as_str()
            || tracked.flow.service.as_str() != backend.service
        {
            let text = format!(
                "(d) {} received a request for service {}",
                backend.id, forwarded.service
            );
            self.violations.push(text);
        }
        if backend.behavior == ServerBehavior::Unresponsive {
            return;
        }
        if backend.refuses_request() {
            let answer = lab::refusal();
            self.reply(&forwarded, answer);
            return;
        }
        tracked.starts += 1;
        backend.running_requests += 1;
        let wait = backend.service_time();
        self.schedule(self.now + wait, Scheduled::Finish(forwarded));
    }

    pub(crate) fn finish(&mut self, forwarded: &ForwardedRequest) {
        let kind = self.tracked_requests[forwarded.number as usize].kind;
        let backend = &mut self.backends[forwarded.server];
        backend.running_requests -= 1;
        let mut answer = lab::answer("");
        answer.datagram = self.numbered_datagram(forwarded.number);
        if kind == Kind::OpenFeed {
            answer.keeps_feed_open = true;
            let feed = OpenFeed {
                node: forwarded.node,
                incarnation: forwarded.incarnation,
                number: forwarded.number,
            };
            let key = (forwarded.node, forwarded.attempt);
            self.backends[forwarded.server].feeds.insert(key, feed);
        }
        self.reply(forwarded, answer);
    }

    pub(crate) fn numbered_datagram(&self, number: u64) -> Bytes {
        Bytes::copy_from_slice(&number.to_be_bytes())
    }

    pub(crate) fn reply(&mut self, forwarded: &ForwardedRequest, answer: Answer) {
        let is_answer_lost =
            self.backends[forwarded.server].behavior == ServerBehavior::AnswersLost;
        if is_answer_lost || self.is_lost() {
            return;
        }
        let from = self.backends[forwarded.server].address;
        let at = self.now + self.delay();
        let input = Input::Answer(from, forwarded.attempt, answer);
        if self.rng.random_bool(0.02) {
            let later = at + self.delay();
            let copy = Scheduled::Node(forwarded.node, forwarded.incarnation, input.clone());
            self.schedule(later, copy);
        }
        self.schedule(
            at,
            Scheduled::Node(forwarded.node, forwarded.incarnation, input),
        );
    }

    pub(crate) fn send_notifications(&mut self) {
        for index in 0..self.backends.len() {
            let backend = &self.backends[index];
            if matches!(
                backend.behavior,
                ServerBehavior::Unresponsive | ServerBehavior::AnswersLost
            ) {
                continue;
            }
            let feeds: Vec<(id::Attempt, OpenFeed)> = backend
                .feeds
                .iter()
                .map(|((_, attempt), feed)| (*attempt, feed.clone()))
                .collect();
            for (attempt, feed) in feeds {
                let mut answer = lab::notification("");
                answer.datagram = self.numbered_datagram(feed.number);
                let forwarded = ForwardedRequest {
                    node: feed.node,
                    incarnation: feed.incarnation,
                    server: index,
                    service: self.backends[index].service.parse().expect("a legal name"),
                    attempt,
                    number: feed.number,
                };
                self.reply(&forwarded, answer);
            }
        }
    }
}
