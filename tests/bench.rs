//! A bench of another kind drives the decision core through one adapter file.

mod adapter;

use adapter::Adapter;
use serde_json::Value;

const EVENTS: &str = include_str!("fixtures/bench-events.jsonl");
const ACTIONS: &str = include_str!("fixtures/bench-actions.txt");

fn adapter() -> Adapter {
    let me = "bole-1#1".parse().expect("a holder");
    Adapter::new(me, "bole".parse().expect("a zone"))
}

/// What one line led to, as one line: the line's number and the actions.
fn answers(events: &str) -> Vec<(usize, Value)> {
    let mut adapter = adapter();
    let mut answers = Vec::new();
    for (place, line) in events.lines().enumerate() {
        let actions = adapter
            .handle_line(line)
            .expect("a line that is understood");
        let number = place + 1;
        answers.extend(actions.into_iter().map(|action| (number, action)));
    }
    answers
}

/// A booking is claimed at the backup before it is forwarded, a copy of it gets
/// the same answer, a feed survives its server's leaving, and a booking whose
/// server stays silent ends as unknown: all from recorded lines, none of which
/// needs anything of the core that the daemon does not use.
#[test]
fn recorded_events_lead_to_the_recorded_actions() {
    let answers = answers(EVENTS);
    // The printed lines replace the recorded ones after a change that is meant.
    if std::env::var_os("RECORD").is_some() {
        for (number, action) in &answers {
            println!("{number} {action}");
        }
    }
    let recorded: Vec<(usize, Value)> = ACTIONS
        .lines()
        .map(|line| {
            let (number, action) = line.split_once(' ').expect("a number");
            let action = serde_json::from_str(action).expect("an action");
            (number.parse().expect("a number"), action)
        })
        .collect();
    for (answer, record) in answers.iter().zip(&recorded) {
        assert_eq!(answer, record);
    }
    assert_eq!(answers.len(), recorded.len());
}

#[test]
fn lines_that_are_no_events_are_refused() {
    let mut adapter = adapter();
    for line in [
        "",
        "{}",
        r#"{"at_ms": 0, "event": "nonsense"}"#,
        r#"{"at_ms": 0, "event": "health", "server": "nobody", "state": "up"}"#,
        r#"{"at_ms": 0, "event": "peer", "from": "kality-1#1", "frame": "!"}"#,
    ] {
        assert!(adapter.handle_line(line).is_err(), "{line}");
    }
}
