//! Feeds that a caller holds open.
//!
//! A feed keeps the order of RFC 7641 and counts what it misses, what comes too
//! late and how often another server takes it over.

use std::time::Duration;

use coap_lite::CoapOption;
use coap_lite::RequestType;
use tokio::time::Instant;

use crate::caller::Exchange;
use crate::caller::Outcome;
use crate::caller::left;
use crate::message;

/// Half of the Observe numbers; a step greater than this is one back.
const OBSERVE_HALF: u32 = 1 << 23;
/// After this long any notification counts as newer.
const OBSERVE_FRESH: Duration = Duration::from_secs(128);

/// What a feed gives next.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A notification newer than all before it.
    Notification {
        /// Its Observe number.
        observe: u32,
        /// Its payload.
        payload: Vec<u8>,
    },
    /// The feed is over, and this was its last answer.
    Ended(Outcome),
    /// Nothing new came in time.
    Silent,
}

/// Server and count that a notification of the stand-in server names.
#[derive(Clone, PartialEq, Eq)]
struct Position {
    server: String,
    count: u64,
}

impl Position {
    fn parse(payload: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(payload).ok()?;
        let (server, count) = text.strip_prefix("server=")?.split_once(",n=")?;
        Some(Self {
            server: server.to_owned(),
            count: count.parse().ok()?,
        })
    }
}

/// A feed that the caller holds open.
pub struct Feed {
    exchange: Exchange,
    path: String,
    newest: Option<(u32, Instant)>,
    last_heard: Instant,
    position: Option<Position>,
    missed: u64,
    outdated: u64,
    moves: u64,
}

impl Feed {
    pub(crate) fn new(exchange: Exchange, path: &str) -> Self {
        Self {
            exchange,
            path: path.to_owned(),
            newest: None,
            last_heard: Instant::now(),
            position: None,
            missed: 0,
            outdated: 0,
            moves: 0,
        }
    }

    /// Waits for the next notification and drops older ones.
    pub async fn next(&mut self, wait: Duration) -> Update {
        let end = Instant::now() + wait;
        loop {
            let Some((packet, at)) = self.exchange.answer(left(end)).await else {
                return Update::Silent;
            };
            let Some(observe) = message::number(&packet, CoapOption::Observe) else {
                return Update::Ended(Outcome::of(&packet));
            };
            self.last_heard = at;
            if self.is_newer(observe, at) {
                self.newest = Some((observe, at));
                self.locate(&packet.payload);
                let payload = packet.payload;
                return Update::Notification { observe, payload };
            }
            self.outdated += 1;
        }
    }

    /// Registers again under the same token; the answer comes as an update.
    pub async fn renew(&mut self) {
        self.register(0).await;
    }

    /// Ends the feed and waits for the answer to that.
    pub async fn cancel(mut self, deadline: Duration) -> Outcome {
        self.register(1).await;
        let end = Instant::now() + deadline;
        loop {
            match self.next(left(end)).await {
                Update::Notification { .. } => {}
                Update::Ended(outcome) => return outcome,
                Update::Silent => return Outcome::Silent,
            }
        }
    }

    /// When anything was last heard on it.
    pub fn last_heard(&self) -> Instant {
        self.last_heard
    }

    /// Notifications of one server that never came.
    pub fn missed(&self) -> u64 {
        self.missed
    }

    /// Notifications dropped because a newer one was there.
    pub fn outdated(&self) -> u64 {
        self.outdated
    }

    /// How often the feed came to be served by another server.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// The server that sent the newest notification.
    pub fn server(&self) -> Option<&str> {
        self.position.as_ref().map(|at| at.server.as_str())
    }

    async fn register(&mut self, observe: u32) {
        let shared = self.exchange.shared.clone();
        let mut packet = shared.request(RequestType::Get, &self.path);
        packet.set_observe_value(observe);
        packet.set_token(self.exchange.token.clone());
        self.exchange.send(&packet).await;
    }

    /// The rule of RFC 7641, section 3.4.
    fn is_newer(&self, observe: u32, at: Instant) -> bool {
        let Some((newest, heard)) = self.newest else {
            return true;
        };
        (newest < observe && observe - newest < OBSERVE_HALF)
            || (newest > observe && newest - observe > OBSERVE_HALF)
            || at > heard + OBSERVE_FRESH
    }

    fn locate(&mut self, payload: &[u8]) {
        let Some(now) = Position::parse(payload) else {
            return;
        };
        match &self.position {
            Some(before) if before.server == now.server => {
                self.missed += now.count.saturating_sub(before.count + 1);
            }
            Some(_) => self.moves += 1,
            None => {}
        }
        self.position = Some(now);
    }
}
