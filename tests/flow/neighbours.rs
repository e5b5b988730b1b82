//! What one instance says of a server, and what it costs that server in its zone.

use std::time::Duration;

use godwitreel::entry::outcomes_from_message;
use godwitreel::entry::outcomes_to_message;
use godwitreel::flow::ServerOutcomes;
use godwitreel::flow::StateUpdate;
use godwitreel::replica::OutcomeAggregator;
use godwitreel::replica::OutcomeEntry;
use godwitreel::replica::OutcomeReport;

use crate::experience::GOOD;
use crate::experience::HANGING;
use crate::experience::Load;
use crate::experience::Manner;
use crate::experience::four;

/// Requests of an instance between two messages to its neighbours, 0.2 s.
const REQUESTS: usize = 20;

/// Messages: a minute and a half.
const MESSAGES: usize = 450;

/// The zone's instances: who tells what, and how servers answer each.
struct Zone {
    loads: Vec<Load>,
    board: OutcomeAggregator,
    subscribers: Vec<u64>,
    /// Requests of an instance between two messages, and the rest of the time.
    requests: usize,
    rest: Duration,
}

impl Zone {
    fn busy(instances: usize) -> Self {
        Self::new(instances, REQUESTS, Duration::ZERO)
    }

    /// Each instance sends each server one request a second.
    fn calm(instances: usize) -> Self {
        Self::new(instances, 1, Duration::from_millis(240))
    }

    fn new(instances: usize, requests: usize, rest: Duration) -> Self {
        let board = OutcomeAggregator::default();
        Self {
            loads: (0..instances).map(|_| Load::new(four())).collect(),
            subscribers: (0..instances).map(|_| board.add_subscriber()).collect(),
            board,
            requests,
            rest,
        }
    }

    /// Requests of all instances but the first to each server, over the whole time.
    fn run(
        &mut self,
        first_says: Option<OutcomeEntry>,
        manner: impl Fn(usize, u64) -> Manner,
    ) -> Vec<usize> {
        let mut counts = vec![0; 10];
        for _ in 0..MESSAGES {
            for (number, load) in self.loads.iter_mut().enumerate() {
                load.now += self.rest;
                let sent = load.run(self.requests, |server| manner(number, server));
                if number > 0 {
                    for (count, sent) in counts.iter_mut().zip(sent) {
                        *count += sent;
                    }
                }
                let own = load.plane.server_outcomes(load.now);
                let mut remarks: Vec<OutcomeEntry> = own.iter().map(outcomes_to_message).collect();
                if let Some(said) = first_says.filter(|_| number == 0) {
                    remarks = vec![said];
                }
                let told = OutcomeReport {
                    outcomes: remarks,
                    instances: 1,
                };
                self.board
                    .receive_from_subscriber(load.now, self.subscribers[number], told);
            }
            let now = self.loads[0].now;
            let sum: Vec<ServerOutcomes> = self
                .board
                .confirmed_outcomes(now)
                .iter()
                .map(outcomes_from_message)
                .collect();
            for load in &mut self.loads {
                load.plane
                    .apply(load.now, StateUpdate::ZoneOutcomes(sum.clone()));
            }
        }
        counts
    }
}

/// Whether the first server has at least four fifths of what the others have each.
fn assert_used(counts: &[usize]) {
    let others = counts[2..5].iter().sum::<usize>() / 3;
    assert!(counts[1] * 5 >= others * 4, "{counts:?}");
}

// One instance lies: it says all the time, as loudly as one is heard, that a good server
// hangs and fails. The others get its answers, and it keeps its work.
#[test]
fn one_that_lies_takes_little_work_from_a_good_server() {
    let lie = OutcomeEntry {
        serial: 1,
        incarnation: None,
        answers: 0.0,
        premature: 1e9,
        stalls: 1e9,
        ..OutcomeEntry::default()
    };
    for mut zone in [Zone::busy(3), Zone::busy(8), Zone::calm(8), Zone::calm(23)] {
        let counts = zone.run(Some(lie), |_, _| GOOD);
        assert_used(&counts);
    }
}

// One instance alone is cut off from a server, so that all that it sends there hangs. It
// says so, and is right for itself; the server serves all others and keeps their work.
#[test]
fn one_that_is_cut_off_takes_little_work_from_a_good_server() {
    let cut_off = |number, server| match (number, server) {
        (0, 1) => HANGING,
        _ => GOOD,
    };
    for mut zone in [Zone::busy(3), Zone::busy(8), Zone::calm(8), Zone::calm(23)] {
        let counts = zone.run(None, cut_off);
        assert_used(&counts);
    }
}

// A server hangs for all. It takes two of them to say so, and those that have sent it
// nothing yet leave it, too.
#[test]
fn what_two_have_seen_counts_for_all() {
    let hanging = |_, server| if server == 1 { HANGING } else { GOOD };
    for mut zone in [Zone::busy(3), Zone::calm(8), Zone::calm(23)] {
        let counts = zone.run(None, hanging);
        let others = counts[2..5].iter().sum::<usize>() / 3;
        assert!(counts[1] * 10 < others, "{counts:?}");
    }
}
