//! Simulated callers: they retransmit until an answer or acknowledgement arrives, and
//! the outcomes they receive are recorded.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::request::Flow;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use rand::RngExt;

use crate::fleet::CallerMessage;
use crate::fleet::Fleet;
use crate::fleet::Input;
use crate::fleet::Scheduled;
use crate::fleet::number_of;
use crate::lab::ms;

/// Delays between the transmissions of a request.
pub(crate) const RETRANSMIT_DELAYS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(8),
];

/// Time without a notification after which a caller registers its feed again, as a
/// client does when Max-Age has passed.
pub(crate) const REOPEN_AFTER: Duration = Duration::from_secs(20);

/// A request and everything that happened to it.
pub(crate) struct TrackedRequest {
    pub(crate) flow: Flow,
    pub(crate) kind: Kind,
    pub(crate) sent_at: Duration,
    pub(crate) transmissions: usize,
    pub(crate) is_acknowledged: bool,
    pub(crate) starts: u32,
    /// Outcomes that instances sent, with the time.
    pub(crate) sent_outcomes: Vec<(Duration, Outcome)>,
    /// Outcomes that the caller received.
    pub(crate) received_outcomes: Vec<Outcome>,
    /// Time at which an engine first handled the request.
    pub(crate) first_handled: Option<Duration>,
    /// Node and incarnation of each process that handled the request.
    pub(crate) handled_by: Vec<(usize, u64)>,
    /// Whether a message with the request was lost, or a process that held it was
    /// killed or frozen; the request may then end without an outcome.
    pub(crate) is_fault_affected: bool,
}

/// A feed that a caller keeps open.
#[derive(Clone, Debug)]
pub(crate) struct Subscription {
    pub(crate) flow: Flow,
    pub(crate) number: u64,
    pub(crate) newest_sequence: u32,
    pub(crate) last_notification: Duration,
    pub(crate) reopened: u32,
    /// Message IDs received, with the time: a caller drops messages with a known ID as
    /// duplicates.
    pub(crate) message_ids: HashMap<u16, Duration>,
    /// Longest time without a new notification.
    pub(crate) longest_gap: Duration,
}

/// How long a message ID identifies a duplicate (RFC 7252, section 4.8.2).
const MESSAGE_LIFETIME: Duration = Duration::from_secs(145);

impl Subscription {
    /// Whether a message with this ID was received within [`MESSAGE_LIFETIME`].
    pub(crate) fn is_duplicate(&mut self, now: Duration, message: u16) -> bool {
        let seen = self.message_ids.insert(message, now);
        seen.is_some_and(|at| now < at + MESSAGE_LIFETIME)
    }

    /// Records a new notification.
    pub(crate) fn record_notification(&mut self, now: Duration, sequence: u32) {
        self.longest_gap = self.longest_gap.max(now - self.last_notification);
        self.newest_sequence = sequence;
        self.last_notification = now;
    }
}

/// Whether a notification is newer than the newest received (RFC 7641, section 3.4).
pub(crate) fn is_newer(old: (u32, Duration), new: (u32, Duration)) -> bool {
    const HALF: u32 = 1 << 23;
    const LONG: Duration = Duration::from_secs(128);
    let (v1, v2) = (old.0, new.0);
    (v1 < v2 && v2 - v1 < HALF) || (v1 > v2 && v1 - v2 > HALF) || new.1 > old.1 + LONG
}

impl Fleet {
    /// Sends a new request from a caller.
    pub(crate) fn send_request(&mut self, flow: Flow, kind: Kind) -> u64 {
        let number = self.tracked_requests.len() as u64;
        self.tracked_requests.push(TrackedRequest {
            flow,
            kind,
            sent_at: self.now,
            transmissions: 0,
            is_acknowledged: false,
            starts: 0,
            sent_outcomes: Vec::new(),
            received_outcomes: Vec::new(),
            first_handled: None,
            handled_by: Vec::new(),
            is_fault_affected: false,
        });
        self.transmit(number);
        number
    }

    pub(crate) fn transmit(&mut self, number: u64) {
        let tracked = &self.tracked_requests[number as usize];
        if tracked.is_acknowledged || !tracked.received_outcomes.is_empty() {
            return;
        }
        let transmissions = tracked.transmissions;
        self.tracked_requests[number as usize].transmissions += 1;
        if let Some(wait) = RETRANSMIT_DELAYS.get(transmissions) {
            self.schedule(self.now + *wait, Scheduled::Retransmit(number));
        }
        if self.is_lost() {
            self.mark_as_affected(number);
            return;
        }
        self.send_to_any_node(Input::Request(number, 0));
    }

    /// Sends a packet to a random instance, as the fabric does.
    pub(crate) fn send_to_any_node(&mut self, input: Input) {
        let index = self.rng.random_range(0..self.nodes.len());
        let at = self.now + ms(3) + self.delay();
        self.schedule(at, Scheduled::Node(index, 0, input));
    }

    pub(crate) fn receive_at_caller(&mut self, message: CallerMessage) {
        match message {
            CallerMessage::Acknowledge(number) => {
                self.tracked_requests[number as usize].is_acknowledged = true;
            }
            CallerMessage::Outcome {
                number,
                outcome,
                sequence,
                separate,
            } => self.receive_outcome(number, outcome, sequence, separate),
            CallerMessage::Notify {
                flow,
                token,
                message,
                sequence,
                confirmable,
                datagram,
            } => {
                if confirmable {
                    self.send_to_any_node(Input::Receipt(flow.clone(), message, 0));
                }
                let subscription = self
                    .subscriptions
                    .iter_mut()
                    .find(|subscription| subscription.number == token);
                if subscription
                    .is_none_or(|subscription| !subscription.is_duplicate(self.now, message))
                {
                    self.receive_notification(&flow, token, sequence, datagram);
                }
            }
        }
    }

    pub(crate) fn receive_outcome(
        &mut self,
        number: u64,
        outcome: Outcome,
        sequence: Option<u32>,
        separate: Option<u16>,
    ) {
        let tracked = &mut self.tracked_requests[number as usize];
        let flow = tracked.flow.clone();
        tracked.received_outcomes.push(outcome);
        let (now, is_open) = (self.now, tracked.kind == Kind::OpenFeed);
        if let Some(message) = separate {
            self.send_to_any_node(Input::Receipt(flow, message, 0));
        }
        let subscription = self
            .subscriptions
            .iter_mut()
            .find(|subscription| subscription.number == number);
        if let (Some(subscription), true, Some(sequence)) = (subscription, is_open, sequence)
            && is_newer(
                (subscription.newest_sequence, subscription.last_notification),
                (sequence, now),
            )
        {
            subscription.record_notification(now, sequence);
        }
    }

    pub(crate) fn receive_notification(
        &mut self,
        flow: &Flow,
        token: u64,
        sequence: u32,
        datagram: Option<Bytes>,
    ) {
        let now = self.now;
        if let Some(datagram) = &datagram
            && number_of(datagram) != token
        {
            let text = format!("(c) feed {token} received the notification of another feed");
            self.violations.push(text);
        }
        let subscription = self
            .subscriptions
            .iter()
            .position(|subscription| subscription.number == token);
        let Some(index) = subscription else {
            return;
        };
        let subscription = &mut self.subscriptions[index];
        if subscription.flow != *flow {
            self.violations.push(format!(
                "(c) the notification for feed {token} went to another caller"
            ));
            return;
        }
        if datagram.is_none() {
            self.reopen(index);
        } else if is_newer(
            (subscription.newest_sequence, subscription.last_notification),
            (sequence, now),
        ) {
            subscription.record_notification(now, sequence);
            self.counts.notifications += 1;
        }
    }

    /// Opens a feed that the caller keeps open until the end of the run.
    pub(crate) fn open_subscription(&mut self, flow: Flow) {
        let number = self.send_request(flow.clone(), Kind::OpenFeed);
        self.subscriptions.push(Subscription {
            flow,
            number,
            newest_sequence: 0,
            last_notification: self.now,
            reopened: 0,
            message_ids: HashMap::new(),
            longest_gap: Duration::ZERO,
        });
    }

    pub(crate) fn reopen(&mut self, index: usize) {
        let flow = self.subscriptions[index].flow.clone();
        let number = self.send_request(flow, Kind::OpenFeed);
        let subscription = &mut self.subscriptions[index];
        subscription.number = number;
        subscription.newest_sequence = 0;
        subscription.last_notification = self.now;
        subscription.reopened += 1;
    }

    pub(crate) fn reopen_silent_subscriptions(&mut self) {
        for index in 0..self.subscriptions.len() {
            if self.now >= self.subscriptions[index].last_notification + REOPEN_AFTER {
                self.reopen(index);
            }
        }
    }
}
