//! Feeds (CoAP observations) that a caller keeps open.
//!
//! A feed orders notifications as RFC 7641 requires and counts missing ones, outdated
//! ones and changes of the server that sends them.

use std::time::Duration;

use coap_lite::CoapOption;
use coap_lite::RequestType;
use tokio::time::Instant;

use crate::caller::Exchange;
use crate::caller::Outcome;
use crate::caller::time_left;
use crate::message;

/// Half of the range of Observe numbers; a greater difference means a wraparound.
const OBSERVE_HALF_RANGE: u32 = 1 << 23;
/// Age of the newest notification after which any other counts as newer (RFC 7641).
const OBSERVE_MAX_AGE: Duration = Duration::from_secs(128);

/// Result of waiting for a feed's next notification.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A notification newer than all previous ones.
    Notification {
        /// Value of its Observe option.
        observe: u32,
        /// Its payload.
        payload: Vec<u8>,
    },
    /// The feed has ended with this outcome.
    Ended(Outcome),
    /// No newer notification arrived in time.
    Silent,
}

/// Server and sequence number in the payload of a stand-in server's notification.
#[derive(Clone, PartialEq, Eq)]
struct SequenceNumber {
    server: String,
    number: u64,
}

impl SequenceNumber {
    fn parse(payload: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(payload).ok()?;
        let (server, number) = text.strip_prefix("server=")?.split_once(",n=")?;
        Some(Self {
            server: server.to_owned(),
            number: number.parse().ok()?,
        })
    }
}

/// A feed that the caller keeps open.
pub struct Feed {
    exchange: Exchange,
    path: String,
    newest: Option<(u32, Instant)>,
    last_received: Instant,
    last_sequence: Option<SequenceNumber>,
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
            last_received: Instant::now(),
            last_sequence: None,
            missed: 0,
            outdated: 0,
            moves: 0,
        }
    }

    /// Waits for the next notification and drops outdated ones.
    pub async fn next(&mut self, wait: Duration) -> Update {
        let end = Instant::now() + wait;
        loop {
            let Some((packet, at)) = self.exchange.answer(time_left(end)).await else {
                return Update::Silent;
            };
            let Some(observe) = message::uint_option(&packet, CoapOption::Observe) else {
                return Update::Ended(Outcome::from_answer(&packet));
            };
            self.last_received = at;
            if self.is_newer(observe, at) {
                self.newest = Some((observe, at));
                self.record_sequence(&packet.payload);
                let payload = packet.payload;
                return Update::Notification { observe, payload };
            }
            self.outdated += 1;
        }
    }

    /// Registers again under the same token; [`Feed::next`] returns the answer.
    pub async fn renew(&mut self) {
        self.send_registration(0).await;
    }

    /// Cancels the feed and waits for the answer to the cancellation.
    pub async fn cancel(mut self, deadline: Duration) -> Outcome {
        self.send_registration(1).await;
        let end = Instant::now() + deadline;
        loop {
            match self.next(time_left(end)).await {
                Update::Notification { .. } => {}
                Update::Ended(outcome) => return outcome,
                Update::Silent => return Outcome::Silent,
            }
        }
    }

    /// Arrival time of the last notification, outdated ones included.
    pub fn last_received(&self) -> Instant {
        self.last_received
    }

    /// Number of missing notifications, by the sequence numbers of each server.
    pub fn missed(&self) -> u64 {
        self.missed
    }

    /// Number of notifications dropped because a newer one had arrived before.
    pub fn outdated(&self) -> u64 {
        self.outdated
    }

    /// Number of times that the notifications came from another server than before.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// Name of the server that sent the newest notification.
    pub fn server(&self) -> Option<&str> {
        self.last_sequence.as_ref().map(|last| last.server.as_str())
    }

    async fn send_registration(&mut self, observe: u32) {
        let shared = self.exchange.shared.clone();
        let mut packet = shared.request(RequestType::Get, &self.path);
        packet.set_observe_value(observe);
        packet.set_token(self.exchange.token.clone());
        self.exchange.send(&packet).await;
    }

    /// Whether a notification is newer than the newest one (RFC 7641, section 3.4).
    fn is_newer(&self, observe: u32, at: Instant) -> bool {
        let Some((newest, newest_at)) = self.newest else {
            return true;
        };
        (newest < observe && observe - newest < OBSERVE_HALF_RANGE)
            || (newest > observe && newest - observe > OBSERVE_HALF_RANGE)
            || at > newest_at + OBSERVE_MAX_AGE
    }

    fn record_sequence(&mut self, payload: &[u8]) {
        let Some(current) = SequenceNumber::parse(payload) else {
            return;
        };
        match &self.last_sequence {
            Some(previous) if previous.server == current.server => {
                self.missed += current.number.saturating_sub(previous.number + 1);
            }
            Some(_) => self.moves += 1,
            None => {}
        }
        self.last_sequence = Some(current);
    }
}
