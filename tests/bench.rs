//! An external test bench can drive the decision core through a single adapter file.

mod adapter;

use adapter::Adapter;
use serde_json::Value;

const EVENTS: &str = include_str!("fixtures/bench-events.jsonl");
const ACTIONS: &str = include_str!("fixtures/bench-actions.txt");

fn adapter() -> Adapter {
    let holder = "bole-1#1".parse().expect("a holder");
    Adapter::new(holder, "bole".parse().expect("a zone"))
}

/// Handles all event lines and returns the resulting actions, each with its line number.
fn replay(events: &str) -> Vec<(usize, Value)> {
    let mut adapter = adapter();
    let mut numbered_actions = Vec::new();
    for (index, line) in events.lines().enumerate() {
        let actions = adapter.handle_line(line).expect("a valid event line");
        let number = index + 1;
        numbered_actions.extend(actions.into_iter().map(|action| (number, action)));
    }
    numbered_actions
}

/// The recorded events cover a booking that is claimed at the backup before it is
/// forwarded, a retransmission that gets the same answer, a feed that survives the
/// drain of its server, and a booking with an unknown outcome because its server
/// does not answer. The adapter uses only those interfaces of the core that the
/// daemon uses.
#[test]
fn recorded_events_lead_to_the_recorded_actions() {
    let actual = replay(EVENTS);
    // After an intended change, the printed lines replace those in the fixture file.
    if std::env::var_os("RECORD").is_some() {
        for (number, action) in &actual {
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
    for (action, expected) in actual.iter().zip(&recorded) {
        assert_eq!(action, expected);
    }
    assert_eq!(actual.len(), recorded.len());
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
