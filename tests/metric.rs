//! Metrics in the text format in which they are scraped.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use godwitreel::action::TraceEvent;
use godwitreel::metric::Direction;
use godwitreel::metric::GaugeValues;
use godwitreel::metric::MAX_SERVICES;
use godwitreel::metric::Metrics;
use godwitreel::metric::NAMES;
use godwitreel::platform;
use godwitreel::reason::Reason;
use godwitreel::request::Flow;

fn client() -> platform::Client {
    let base = "http://127.0.0.1:9".parse().expect("an address");
    platform::Client::new(vec![base], platform::Options::default()).expect("a client")
}

fn answered_event(service: &str, elapsed: Duration) -> TraceEvent {
    TraceEvent {
        flow: Some(Flow {
            service: service.parse().expect("a service"),
            caller: "127.0.0.1:1".parse().expect("an endpoint"),
        }),
        elapsed: Some(elapsed),
        ..TraceEvent::new(Reason::Answered)
    }
}

fn assert_has_line(text: &str, line: &str) {
    assert!(text.lines().any(|l| l == line), "no {line:?} in\n{text}");
}

#[test]
fn every_reason_starts_at_zero() {
    let text = Metrics::new(client()).encode();
    for reason in Reason::ALL {
        assert_has_line(
            &text,
            &format!(r#"godwitreel_events_total{{reason="{reason}",service=""}} 0"#),
        );
    }
    assert!(text.ends_with("# EOF\n"));
}

#[test]
fn counts_and_gauges_are_exact() {
    let client = client();
    client.counts().writes.fetch_add(3, Ordering::Relaxed);
    client.counts().stale.fetch_add(2, Ordering::Relaxed);
    let metrics = Metrics::new(client);
    metrics.count_event(&answered_event("dispatch", Duration::from_millis(15)));
    metrics.count_event(&answered_event("dispatch", Duration::from_millis(500)));
    metrics.count_event(&TraceEvent::new(Reason::HomeGained));
    metrics.peer_message("heartbeat", Direction::Sent, 120);
    metrics.peer_message("heartbeat", Direction::Sent, 30);
    metrics.peer_message("relay", Direction::Received, 900);
    metrics.set(&GaugeValues {
        homes: 128,
        backups: 127,
        alone: 1,
        in_progress: 9,
        feeds: 1_000,
        parked: 4,
        ready: true,
    });

    let text = metrics.encode();

    for line in [
        r#"godwitreel_events_total{reason="answered",service="dispatch"} 2"#,
        r#"godwitreel_events_total{reason="home_gained",service=""} 1"#,
        r#"godwitreel_peer_messages_total{kind="heartbeat",direction="sent"} 2"#,
        r#"godwitreel_peer_bytes_total{kind="heartbeat",direction="sent"} 150"#,
        r#"godwitreel_peer_bytes_total{kind="relay",direction="received"} 900"#,
        r#"godwitreel_platform_calls_total{kind="write"} 3"#,
        r#"godwitreel_platform_calls_total{kind="read"} 0"#,
        r#"godwitreel_platform_failures_total{kind="stale"} 2"#,
        "godwitreel_home_slices 128",
        "godwitreel_backup_slices 127",
        "godwitreel_alone_slices 1",
        "godwitreel_in_progress_requests 9",
        "godwitreel_open_feeds 1000",
        "godwitreel_parked_requests 4",
        "godwitreel_ready 1",
        r#"godwitreel_request_duration_seconds_count{service="dispatch"} 2"#,
        r#"godwitreel_request_duration_seconds_bucket{le="0.01",service="dispatch"} 0"#,
        r#"godwitreel_request_duration_seconds_bucket{le="0.02",service="dispatch"} 1"#,
        r#"godwitreel_request_duration_seconds_bucket{le="0.5",service="dispatch"} 2"#,
        "# UNIT godwitreel_peer_bytes bytes",
    ] {
        assert_has_line(&text, line);
    }
}

#[test]
fn the_names_are_those_that_are_scraped() {
    let metrics = Metrics::new(client());
    metrics.count_event(&answered_event("dispatch", Duration::from_millis(1)));
    metrics.peer_message("pull", Direction::Sent, 1);
    let text = metrics.encode();

    let scraped: BTreeSet<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split_once(' '))
        .map(|(name, kind)| match kind {
            "counter" => format!("{name}_total"),
            _ => name.to_owned(),
        })
        .collect();
    let listed: BTreeSet<String> = NAMES.iter().map(|(name, _)| (*name).to_owned()).collect();

    assert_eq!(scraped, listed);
}

#[test]
fn services_past_the_bound_share_a_label() {
    let metrics = Metrics::new(client());
    for number in 0..MAX_SERVICES + 5 {
        metrics.count_event(&answered_event(
            &format!("service-{number}"),
            Duration::from_millis(1),
        ));
    }
    metrics.count_event(&answered_event("service-0", Duration::from_millis(1)));

    let text = metrics.encode();

    assert_has_line(
        &text,
        r#"godwitreel_events_total{reason="answered",service="(other)"} 5"#,
    );
    assert_has_line(
        &text,
        r#"godwitreel_events_total{reason="answered",service="service-0"} 2"#,
    );
}

// A refused request or one with an unknown outcome is a bad event in the burn report,
// whatever the reason. A reason that is missing there would make an overloaded or
// stopping fleet appear healthy.
#[test]
fn every_reason_of_a_request_without_an_answer_is_a_failure() {
    for reason in Reason::ALL {
        let code = reason.code();
        let has_no_answer = code.starts_with("refused_") || code.starts_with("unknown_");
        // `UnknownService` is about a datagram, for which no objective is known.
        let expected = has_no_answer && *reason != Reason::UnknownService;
        assert_eq!(reason.is_failure(), expected, "{code}");
    }
}
