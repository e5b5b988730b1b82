//! Effect of one instance's reports about a server on the server's load in the zone.

use std::time::Duration;

use godwitreel::entry::outcomes_from_message;
use godwitreel::entry::outcomes_to_message;
use godwitreel::flow::ServerOutcomes;
use godwitreel::flow::StateUpdate;
use godwitreel::replica::OutcomeAggregator;
use godwitreel::replica::OutcomeEntry;
use godwitreel::replica::OutcomeReport;

use crate::experience::Behavior;
use crate::experience::GOOD;
use crate::experience::HANGING;
use crate::experience::LoadGenerator;
use crate::experience::four_servers;

/// Requests of an instance between two messages to its neighbours, 0.2 s.
const REQUESTS: usize = 20;

/// Number of messages, for a minute and a half.
const MESSAGES: usize = 450;

/// The instances of a zone and the aggregator on which they exchange their counts.
struct Zone {
    generators: Vec<LoadGenerator>,
    aggregator: OutcomeAggregator,
    subscribers: Vec<u64>,
    /// Requests of an instance between two messages, and its idle time per message.
    requests: usize,
    idle_time: Duration,
}

impl Zone {
    fn busy(instances: usize) -> Self {
        Self::new(instances, REQUESTS, Duration::ZERO)
    }

    /// Each instance sends one request per second to each server.
    fn calm(instances: usize) -> Self {
        Self::new(instances, 1, Duration::from_millis(240))
    }

    fn new(instances: usize, requests: usize, idle_time: Duration) -> Self {
        let aggregator = OutcomeAggregator::default();
        Self {
            generators: (0..instances)
                .map(|_| LoadGenerator::new(four_servers()))
                .collect(),
            subscribers: (0..instances)
                .map(|_| aggregator.add_subscriber())
                .collect(),
            aggregator,
            requests,
            idle_time,
        }
    }

    /// Requests of all instances but the first to each server during the whole run.
    fn run(
        &mut self,
        false_report: Option<OutcomeEntry>,
        behavior: impl Fn(usize, u64) -> Behavior,
    ) -> Vec<usize> {
        let mut counts = vec![0; 10];
        for _ in 0..MESSAGES {
            for (number, generator) in self.generators.iter_mut().enumerate() {
                generator.now += self.idle_time;
                let sent = generator.run(self.requests, |server| behavior(number, server));
                if number > 0 {
                    for (count, sent) in counts.iter_mut().zip(sent) {
                        *count += sent;
                    }
                }
                let own = generator.plane.server_outcomes(generator.now);
                let mut outcomes: Vec<OutcomeEntry> = own.iter().map(outcomes_to_message).collect();
                if let Some(entry) = false_report.filter(|_| number == 0) {
                    outcomes = vec![entry];
                }
                let report = OutcomeReport {
                    outcomes,
                    instances: 1,
                };
                self.aggregator.receive_from_subscriber(
                    generator.now,
                    self.subscribers[number],
                    report,
                );
            }
            let now = self.generators[0].now;
            let zone_counts: Vec<ServerOutcomes> = self
                .aggregator
                .confirmed_outcomes(now)
                .iter()
                .map(outcomes_from_message)
                .collect();
            for generator in &mut self.generators {
                generator.plane.apply(
                    generator.now,
                    StateUpdate::ZoneOutcomes(zone_counts.clone()),
                );
            }
        }
        counts
    }
}

/// Asserts that the first server gets at least four fifths of the others' mean load.
fn assert_used(counts: &[usize]) {
    let others = counts[2..5].iter().sum::<usize>() / 3;
    assert!(counts[1] * 5 >= others * 4, "{counts:?}");
}

// One instance reports falsely that a good server hangs and fails, with the highest counts
// that are accepted. The server answers the other instances and must keep its load.
#[test]
fn an_instance_with_false_reports_takes_little_load_from_a_good_server() {
    let false_report = OutcomeEntry {
        serial: 1,
        incarnation: None,
        answers: 0.0,
        premature: 1e9,
        stalls: 1e9,
        ..OutcomeEntry::default()
    };
    for mut zone in [Zone::busy(3), Zone::busy(8), Zone::calm(8), Zone::calm(23)] {
        let counts = zone.run(Some(false_report), |_, _| GOOD);
        assert_used(&counts);
    }
}

// One instance cannot reach a server, so that all of its requests there hang. Its report is
// right for itself, but the server answers all other instances and must keep their load.
#[test]
fn an_instance_that_is_cut_off_takes_little_load_from_a_good_server() {
    let cut_off = |number, server| match (number, server) {
        (0, 1) => HANGING,
        _ => GOOD,
    };
    for mut zone in [Zone::busy(3), Zone::busy(8), Zone::calm(8), Zone::calm(23)] {
        let counts = zone.run(None, cut_off);
        assert_used(&counts);
    }
}

// A server hangs for all instances. Once two of them report it, the instances that have
// not sent it any request avoid it too.
#[test]
fn reports_of_two_instances_apply_to_all() {
    let hanging = |_, server| if server == 1 { HANGING } else { GOOD };
    for mut zone in [Zone::busy(3), Zone::calm(8), Zone::calm(23)] {
        let counts = zone.run(None, hanging);
        let others = counts[2..5].iter().sum::<usize>() / 3;
        assert!(counts[1] * 10 < others, "{counts:?}");
    }
}
