//! Callers: copies until something is heard, and what they were told.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::request::Flow;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use rand::RngExt;

use crate::fleet::Fleet;
use crate::fleet::Input;
use crate::fleet::Item;
use crate::fleet::ToCaller;
use crate::fleet::number_of;
use crate::lab::ms;

/// Waits between the copies of a request.
pub(crate) const COPY_WAITS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(8),
];

/// Silence after which a caller opens its feed anew, as with Max-Age.
pub(crate) const REOPEN_AFTER: Duration = Duration::from_secs(20);

/// One request through its whole life.
pub(crate) struct Ticket {
    pub(crate) flow: Flow,
    pub(crate) kind: Kind,
    pub(crate) sent: Duration,
    pub(crate) copies: usize,
    pub(crate) is_acknowledged: bool,
    pub(crate) starts: u32,
    /// Outcomes that some instance gave, with the time.
    pub(crate) given: Vec<(Duration, Outcome)>,
    /// Outcomes that reached the caller.
    pub(crate) told: Vec<Outcome>,
    /// When an engine first had it.
    pub(crate) handled: Option<Duration>,
    /// Engines that had it.
    pub(crate) holders: Vec<(usize, u64)>,
    /// Whether something that carried it was lost, killed or frozen.
    pub(crate) excused: bool,
}

/// The feed that a caller keeps open.
#[derive(Clone, Debug)]
pub(crate) struct Board {
    pub(crate) flow: Flow,
    pub(crate) number: u64,
    pub(crate) newest: u32,
    pub(crate) at: Duration,
    pub(crate) reopened: u32,
    /// Message numbers seen, with the time: a caller drops what looks like a copy.
    pub(crate) messages: HashMap<u16, Duration>,
    /// Longest time without a fresh notification.
    pub(crate) gap: Duration,
}

/// How long a message number is remembered (RFC 7252, section 4.8.2).
const MESSAGE_LIFETIME: Duration = Duration::from_secs(145);

impl Board {
    /// Whether a message is a copy by its number.
    pub(crate) fn is_copy(&mut self, now: Duration, message: u16) -> bool {
        let seen = self.messages.insert(message, now);
        seen.is_some_and(|at| now < at + MESSAGE_LIFETIME)
    }

    /// Notes a sign of life.
    pub(crate) fn refresh(&mut self, now: Duration, sequence: u32) {
        self.gap = self.gap.max(now - self.at);
        self.newest = sequence;
        self.at = now;
    }
}

/// Whether a notification is newer than the newest seen (RFC 7641, section 3.4).
pub(crate) fn is_fresh(old: (u32, Duration), new: (u32, Duration)) -> bool {
    const HALF: u32 = 1 << 23;
    const LONG: Duration = Duration::from_secs(128);
    let (v1, v2) = (old.0, new.0);
    (v1 < v2 && v2 - v1 < HALF) || (v1 > v2 && v1 - v2 > HALF) || new.1 > old.1 + LONG
}

impl Fleet {
    /// A caller sends a new request.
    pub(crate) fn send_new(&mut self, flow: Flow, kind: Kind) -> u64 {
        let number = self.tickets.len() as u64;
        self.tickets.push(Ticket {
            flow,
            kind,
            sent: self.now,
            copies: 0,
            is_acknowledged: false,
            starts: 0,
            given: Vec::new(),
            told: Vec::new(),
            handled: None,
            holders: Vec::new(),
            excused: false,
        });
        self.copy(number);
        number
    }

    pub(crate) fn copy(&mut self, number: u64) {
        let ticket = &self.tickets[number as usize];
        if ticket.is_acknowledged || !ticket.told.is_empty() {
            return;
        }
        let copies = ticket.copies;
        self.tickets[number as usize].copies += 1;
        if let Some(wait) = COPY_WAITS.get(copies) {
            self.push(self.now + *wait, Item::Copy(number));
        }
        if self.is_lost() {
            self.excuse(number);
            return;
        }
        self.spray(Input::Request(number, 0));
    }

    /// The fabric gives a packet to any instance.
    pub(crate) fn spray(&mut self, input: Input) {
        let place = self.rng.random_range(0..self.nodes.len());
        let at = self.now + ms(3) + self.delay();
        self.push(at, Item::Node(place, 0, input));
    }

    pub(crate) fn hear(&mut self, message: ToCaller) {
        match message {
            ToCaller::Acknowledge(number) => {
                self.tickets[number as usize].is_acknowledged = true;
            }
            ToCaller::Outcome {
                number,
                outcome,
                sequence,
                separate,
            } => self.hear_outcome(number, outcome, sequence, separate),
            ToCaller::Notify {
                flow,
                token,
                message,
                sequence,
                confirmable,
                datagram,
            } => {
                if confirmable {
                    self.spray(Input::Receipt(flow.clone(), message, 0));
                }
                let board = self.boards.iter_mut().find(|board| board.number == token);
                if board.is_none_or(|board| !board.is_copy(self.now, message)) {
                    self.hear_notification(&flow, token, sequence, datagram);
                }
            }
        }
    }

    pub(crate) fn hear_outcome(
        &mut self,
        number: u64,
        outcome: Outcome,
        sequence: Option<u32>,
        separate: Option<u16>,
    ) {
        let ticket = &mut self.tickets[number as usize];
        let flow = ticket.flow.clone();
        ticket.told.push(outcome);
        let (now, is_open) = (self.now, ticket.kind == Kind::OpenFeed);
        if let Some(message) = separate {
            self.spray(Input::Receipt(flow, message, 0));
        }
        let board = self.boards.iter_mut().find(|board| board.number == number);
        if let (Some(board), true, Some(sequence)) = (board, is_open, sequence)
            && is_fresh((board.newest, board.at), (sequence, now))
        {
            board.refresh(now, sequence);
        }
    }

    pub(crate) fn hear_notification(
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
            let text = format!("(c) feed {token} was given another's notification");
            self.violations.push(text);
        }
        let board = self.boards.iter().position(|board| board.number == token);
        let Some(place) = board else {
            return;
        };
        let board = &mut self.boards[place];
        if board.flow != *flow {
            self.violations
                .push(format!("(c) feed {token}: wrong caller"));
            return;
        }
        if datagram.is_none() {
            self.reopen(place);
        } else if is_fresh((board.newest, board.at), (sequence, now)) {
            board.refresh(now, sequence);
            self.figures.notifications += 1;
        }
    }

    /// A caller opens a feed and keeps it open from now on.
    pub(crate) fn open_board(&mut self, flow: Flow) {
        let number = self.send_new(flow.clone(), Kind::OpenFeed);
        self.boards.push(Board {
            flow,
            number,
            newest: 0,
            at: self.now,
            reopened: 0,
            messages: HashMap::new(),
            gap: Duration::ZERO,
        });
    }

    pub(crate) fn reopen(&mut self, place: usize) {
        let flow = self.boards[place].flow.clone();
        let number = self.send_new(flow, Kind::OpenFeed);
        let board = &mut self.boards[place];
        board.number = number;
        board.newest = 0;
        board.at = self.now;
        board.reopened += 1;
    }

    pub(crate) fn watch_boards(&mut self) {
        for place in 0..self.boards.len() {
            if self.now >= self.boards[place].at + REOPEN_AFTER {
                self.reopen(place);
            }
        }
    }
}
