//! Burn rates of service-level objectives: counting events, merging samples, verdicts
//! and collecting samples from instances.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::routing::get;
use godwitreel::burn;
use godwitreel::burn::BurnCounter;
use godwitreel::burn::Count;
use godwitreel::burn::EventClass;
use godwitreel::burn::Gap;
use godwitreel::burn::Rate;
use godwitreel::burn::Report;
use godwitreel::burn::Sample;
use godwitreel::burn::Tally;
use godwitreel::burn::Verdict;
use godwitreel::burn::Window;
use godwitreel::document::Objective;
use godwitreel::id;
use godwitreel::report;
use godwitreel::request::Outcome;
use proptest::prelude::*;
use tokio::net::TcpListener;
use tokio::time::Instant;

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

const OBJECTIVE: Objective = Objective {
    good_percent: 99.9,
    latency_ms: 500,
};

fn service(name: &str) -> id::Service {
    name.parse().expect("a service")
}

fn holder(text: &str) -> id::Holder {
    text.parse().expect("a holder")
}

fn counter(start: Instant) -> BurnCounter {
    let mut counter = BurnCounter::new(holder("e1#1"), start);
    counter.configure(&BTreeMap::from([(service("booking"), OBJECTIVE)]));
    counter
}

/// Good and bad events in 5 min, 1 h, 6 h and 3 d.
type Counts = [(u64, u64); 4];

fn counts(sample: &Sample) -> Counts {
    let windows = &sample.services[&service("booking")].windows;
    Window::ALL.map(|window| (windows[&window].good, windows[&window].bad))
}

fn sample(holder_name: &str, covered_ms: u64, objective: Objective, counts: Counts) -> Sample {
    let counts = counts.map(|(good, bad)| Count { good, bad });
    let tally = Tally {
        objective,
        windows: Window::ALL.into_iter().zip(counts).collect(),
    };
    Sample {
        holder: holder(holder_name),
        covered_ms,
        services: BTreeMap::from([(service("booking"), tally)]),
    }
}

fn gap(instance: &str) -> Gap {
    Gap {
        instance: instance.parse().expect("an instance"),
        reason: "no answer in time".to_owned(),
    }
}

fn service_line(report: &Report) -> &burn::ServiceBurn {
    &report.services[&service("booking")]
}

fn rates(report: &Report) -> [Option<f64>; 4] {
    Window::ALL.map(|window| {
        service_line(report).windows[&window]
            .rate
            .map(|rate| rate.0)
    })
}

#[test]
fn only_an_answer_in_time_is_good() {
    let answered = Outcome::Answered(bytes::Bytes::new());
    let not_run = Outcome::NotRun { retry_after: 2 };
    let (limit, late) = (Duration::from_millis(500), Duration::from_millis(501));
    assert_eq!(
        burn::classify(&answered, limit, &OBJECTIVE),
        EventClass::Good
    );
    assert_eq!(burn::classify(&answered, late, &OBJECTIVE), EventClass::Bad);
    assert_eq!(
        burn::classify(&not_run, Duration::ZERO, &OBJECTIVE),
        EventClass::Bad
    );
    assert_eq!(
        burn::classify(&Outcome::Unknown, Duration::ZERO, &OBJECTIVE),
        EventClass::Bad
    );
}

#[test]
fn an_event_leaves_each_window_at_its_length() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut counter = counter(start);
    counter.bad(start, &service("booking"));
    let expired_in = |expired_windows| {
        let bad_events = |window| (0, u64::from(window >= expired_windows));
        [bad_events(0), bad_events(1), bad_events(2), bad_events(3)]
    };
    for (seconds, expected) in [
        (0, expired_in(0)),
        (5 * MINUTE - 1, expired_in(0)),
        (5 * MINUTE, expired_in(1)),
        (HOUR - 1, expired_in(1)),
        (HOUR, expired_in(2)),
        (6 * HOUR - 1, expired_in(2)),
        (6 * HOUR, expired_in(3)),
        (3 * DAY - 1, expired_in(3)),
        (3 * DAY, expired_in(4)),
        (300 * DAY, expired_in(4)),
    ] {
        let sample = counter.sample(at(seconds));
        assert_eq!(counts(&sample), expected, "after {seconds} s");
        assert_eq!(sample.covered_ms, seconds * 1_000);
    }
}

#[test]
fn a_late_event_goes_into_its_own_bucket() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut counter = counter(start);
    counter.good(at(400), &service("booking"));
    counter.good(at(395), &service("booking"));
    counter.good(at(110), &service("booking"));
    counter.good(at(109), &service("booking"));
    assert_eq!(
        counts(&counter.sample(at(400))),
        [(3, 0), (4, 0), (4, 0), (4, 0)]
    );
    assert_eq!(counts(&counter.sample(at(410)))[0], (2, 0));
    assert_eq!(counts(&counter.sample(at(695)))[0], (1, 0));
}

#[test]
fn settled_requests_count_under_the_objective_in_force() {
    let start = Instant::now();
    let mut counter = counter(start);
    let booking = service("booking");
    let answered = Outcome::Answered(bytes::Bytes::new());
    let elapsed = Duration::from_millis(400);
    counter.settle(start, &booking, &answered, elapsed);
    let strict = Objective {
        latency_ms: 300,
        ..OBJECTIVE
    };
    counter.configure(&BTreeMap::from([(booking.clone(), strict)]));
    counter.settle(start, &booking, &answered, elapsed);
    counter.settle(start, &service("records"), &answered, elapsed);

    let sample = counter.sample(start);

    assert_eq!(counts(&sample), [(1, 1); 4]);
    assert_eq!(sample.services[&booking].objective, strict);
    assert_eq!(sample.services.len(), 1);
    counter.configure(&BTreeMap::new());
    assert!(counter.sample(start).services.is_empty());
}

#[test]
fn memory_of_a_service_is_bounded() {
    let events = 234 * size_of::<Count>();
    assert!((events..=events + 256).contains(&burn::STATE_BYTES));
}

proptest! {
    /// The ring buffers of the windows hold the same counts as a list of all events.
    #[test]
    fn rings_agree_with_a_list(events in prop::collection::vec((0..5_000_u64, any::<bool>()), 1..200)) {
        let start = Instant::now();
        let mut counter = counter(start);
        let mut list = Vec::new();
        let mut now = 0;
        for (step, good) in events {
            now += step;
            let at = start + Duration::from_secs(now);
            if good {
                counter.good(at, &service("booking"));
            } else {
                counter.bad(at, &service("booking"));
            }
            list.push((now, good));
            let expected = Window::ALL.map(|window| {
                let bucket = window.bucket().as_secs();
                let oldest = (now / bucket + 1).saturating_sub(window.buckets() as u64);
                let kept = list.iter().filter(|(at, _)| at / bucket >= oldest);
                let good = kept.clone().filter(|(_, good)| *good).count() as u64;
                (good, kept.count() as u64 - good)
            });
            prop_assert_eq!(counts(&counter.sample(at)), expected);
        }
    }
}

#[test]
fn samples_of_many_instances_add_up_and_none_counts_twice() {
    let samples = [
        sample("e1#1", 5_000, OBJECTIVE, [(990, 10); 4]),
        sample("e1#1", 4_000, OBJECTIVE, [(400, 4); 4]),
        sample("e1#1", 5_000, OBJECTIVE, [(990, 10); 4]),
        sample("e1#2", 100, OBJECTIVE, [(7, 3); 4]),
        sample("e2#9", 6_000, OBJECTIVE, [(990, 0); 4]),
    ];
    let report = Report::merge(&samples, Vec::new());

    let holders: Vec<String> = report
        .heard
        .iter()
        .map(|source| source.holder.to_string())
        .collect();
    assert_eq!(holders, ["e1#1", "e1#2", "e2#9"]);
    let hour = service_line(&report).windows[&Window::Hour];
    assert_eq!(
        hour.count,
        Count {
            good: 1_987,
            bad: 13
        }
    );
    assert_eq!(hour.rate, Some(Rate(6.5)));
    assert_eq!(report.worst(), Verdict::Ticket);
}

#[test]
fn both_windows_must_burn_above_the_threshold() {
    let at_page = (98_560, 1_440);
    let over_page = (98_559, 1_441);
    let at_ticket = (999, 1);
    let over_ticket = (998, 2);
    let all_good = (100, 0);
    for (windows, verdict) in [
        ([over_page, over_page, all_good, all_good], Verdict::Page),
        ([at_page, over_page, all_good, all_good], Verdict::Ok),
        ([over_page, at_page, all_good, all_good], Verdict::Ok),
        (
            [over_page, all_good, over_ticket, over_ticket],
            Verdict::Ticket,
        ),
        (
            [all_good, all_good, over_ticket, over_ticket],
            Verdict::Ticket,
        ),
        ([all_good, all_good, at_ticket, over_ticket], Verdict::Ok),
        ([all_good, all_good, over_ticket, at_ticket], Verdict::Ok),
        ([over_page; 4], Verdict::Page),
    ] {
        let samples = [sample("e1#1", 1, OBJECTIVE, windows)];
        let complete = Report::merge(&samples, Vec::new());
        assert_eq!(service_line(&complete).verdict, verdict, "{windows:?}");
        let incomplete = Report::merge(&samples, vec![gap("e2")]);
        assert_eq!(
            service_line(&incomplete).verdict,
            verdict.max(Verdict::UnknownGap),
            "{windows:?}"
        );
    }
    let exact = Report::merge(
        &[sample(
            "e1#1",
            1,
            OBJECTIVE,
            [at_page, over_page, at_ticket, all_good],
        )],
        Vec::new(),
    );
    assert_eq!(
        rates(&exact),
        [Some(14.4), Some(14.41), Some(1.0), Some(0.0)]
    );
}

#[test]
fn a_gap_is_named_everywhere_and_never_healthy() {
    let samples = [sample("e1#1", 5_000, OBJECTIVE, [(100, 0); 4])];
    let report = Report::merge(&samples, vec![gap("e3"), gap("e2"), gap("e3")]);

    assert_eq!(report.gaps, [gap("e2"), gap("e3")]);
    assert_eq!(service_line(&report).verdict, Verdict::UnknownGap);
    assert_eq!(report.worst(), Verdict::UnknownGap);
    let text = report.text();
    assert!(text.contains("unknown-gap"), "{text}");
    assert!(
        text.contains("gap: e2 was not heard from: no answer in time"),
        "{text}"
    );
    assert!(
        text.contains("counts of e1#1 reach back 5 s only"),
        "{text}"
    );
    assert!(
        report
            .svg()
            .expect("a plot")
            .contains("not heard from: e2, e3")
    );
}

/// An unreadable registration or a missing instance list is detected apart from the
/// samples and added after the merge. The services must not be reported as healthy.
#[test]
fn instances_missed_after_the_merge_are_not_healthy() {
    let complete_report = || {
        let counts = [(10, 0); 4];
        Report::merge(&[sample("bole-1#1", 1, OBJECTIVE, counts)], Vec::new())
    };
    let mut report = complete_report();
    report.add_missing(Vec::new(), None);
    assert_eq!(
        (service_line(&report).verdict, report.is_complete()),
        (Verdict::Ok, true)
    );
    report.add_missing(vec![gap("kality-1")], None);
    assert_eq!(service_line(&report).verdict, Verdict::UnknownGap);
    assert_eq!(report.worst(), Verdict::UnknownGap);
    assert!(!report.is_complete());
    let mut report = complete_report();
    report.add_missing(Vec::new(), Some("platform: no answer".to_owned()));
    assert_eq!(service_line(&report).verdict, Verdict::UnknownGap);
    assert!(!report.is_complete());
    assert!(
        report
            .text()
            .contains("may be incomplete: platform: no answer")
    );
}

#[test]
fn a_report_without_samples_is_not_healthy() {
    let empty = Report::merge(&[], Vec::new());
    assert_eq!(empty.worst(), Verdict::UnknownGap);
    assert!(empty.text().contains("no instance was heard from"));
    assert!(
        empty
            .svg()
            .expect("a plot")
            .contains("no instance was heard from")
    );

    let idle = Report::merge(&[sample("e1#1", 1, OBJECTIVE, [(0, 0); 4])], Vec::new());
    assert_eq!(rates(&idle), [None; 4]);
    assert_eq!(idle.worst(), Verdict::Ok);
    assert!(
        !idle.text().contains("0.00"),
        "without events there is no rate, not a rate of 0"
    );
}

#[test]
fn the_strictest_of_different_objectives_is_used_and_reported() {
    let loose = Objective {
        good_percent: 99.0,
        latency_ms: 200,
    };
    let samples = [
        sample("e1#1", 1, loose, [(995, 5); 4]),
        sample("e2#1", 1, OBJECTIVE, [(1_000, 0); 4]),
    ];
    let report = Report::merge(&samples, Vec::new());

    let strictest = Objective {
        good_percent: 99.9,
        latency_ms: 200,
    };
    assert_eq!(service_line(&report).objective, strictest);
    assert_eq!(service_line(&report).conflict, [loose, OBJECTIVE]);
    assert_eq!(rates(&report), [Some(2.5); 4]);
    let text = report.text();
    assert!(
        text.contains("different objectives for booking: 99 % in 200 ms, 99.9 % in 500 ms"),
        "{text}"
    );
}

#[test]
fn a_report_is_shown_as_table_json_and_plot() {
    let windows = [(9_856, 144), (9_990, 10), (0, 0), (1_000, 0)];
    let report = Report::merge(
        &[sample("e1#1", 3 * DAY * 1_000, OBJECTIVE, windows)],
        Vec::new(),
    );

    let text = report.text();
    let row = text
        .lines()
        .find(|row| row.contains("booking"))
        .expect("a row");
    let cells: Vec<&str> = row
        .split(['|', '┆', '│'])
        .map(str::trim)
        .filter(|cell| !cell.is_empty())
        .collect();
    assert_eq!(
        cells,
        [
            "booking",
            "99.9 % in 500 ms",
            "14.40 (144/10000)",
            "1.00 (10/10000)",
            "-",
            "0.00 (0/1000)",
            "ok"
        ]
    );
    assert!(!text.contains("reach back"), "{text}");

    let json = report.json().expect("JSON");
    let decoded: Report = serde_json::from_str(&json).expect("the report");
    assert_eq!(decoded, report);

    let svg = report.svg().expect("a plot");
    for part in ["<svg", "booking", "page above 14.4", "ticket above 1", "3d"] {
        assert!(svg.contains(part), "no {part:?} in {svg}");
    }
}

async fn serve(router: Router) -> id::Endpoint {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    id::Endpoint(address)
}

fn sample_server(sample: Sample) -> Router {
    Router::new().route("/burn", get(move || async move { Json(sample) }))
}

/// One instance answers. The others have ended, hang, answer on behalf of an instance
/// that took over the address, or answer with an invalid body. Each must be reported
/// as a gap, since a report without it would appear healthy, and none may delay the
/// report past its timeout.
#[tokio::test]
async fn instances_that_give_no_sample_of_their_own_are_gaps() {
    let own_sample = sample("e1#1", 1, OBJECTIVE, [(10, 0); 4]);
    let never_answer = || async {
        std::future::pending::<()>().await;
    };
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let closed_endpoint = id::Endpoint(listener.local_addr().expect("an address"));
    drop(listener);
    let endpoints = [
        ("e1", serve(sample_server(own_sample.clone())).await),
        ("e2", closed_endpoint),
        (
            "e3",
            serve(Router::new().route("/burn", get(never_answer))).await,
        ),
        ("e4", serve(sample_server(own_sample)).await),
        (
            "e5",
            serve(Router::new().route("/burn", get(|| async { "?" }))).await,
        ),
        ("e6", serve(Router::new()).await),
    ];
    let instances = endpoints.map(|(name, at)| (name.parse().expect("an instance"), at));

    let report = report::burn(&instances, Duration::from_millis(500))
        .await
        .expect("a report");

    assert_eq!(
        service_line(&report).windows[&Window::Hour].count,
        Count { good: 10, bad: 0 }
    );
    assert_eq!(service_line(&report).verdict, Verdict::UnknownGap);
    let gaps: Vec<&str> = report
        .gaps
        .iter()
        .map(|gap| gap.instance.as_str())
        .collect();
    assert_eq!(gaps, ["e2", "e3", "e4", "e5", "e6"]);
    let reasons: Vec<&str> = report.gaps.iter().map(|gap| gap.reason.as_str()).collect();
    for (reason, part) in reasons.iter().zip([
        "no connection",
        "no answer",
        "is of e1#1",
        "get burn",
        "404",
    ]) {
        assert!(reason.contains(part), "no {part:?} in {reason:?}");
    }
}
