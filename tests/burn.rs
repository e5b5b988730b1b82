//! Service-level burn: counting, merging, verdicts and gathering.

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

fn ledger(start: Instant) -> BurnCounter {
    let mut ledger = BurnCounter::new(holder("e1#1"), start);
    ledger.configure(&BTreeMap::from([(service("booking"), OBJECTIVE)]));
    ledger
}

/// Good and bad events in 5 min, 1 h, 6 h and 3 d.
type Counts = [(u64, u64); 4];

fn counts(sample: &Sample) -> Counts {
    let windows = &sample.services[&service("booking")].windows;
    Window::ALL.map(|window| (windows[&window].good, windows[&window].bad))
}

fn sample(holder_text: &str, covered_ms: u64, objective: Objective, counts: Counts) -> Sample {
    let counts = counts.map(|(good, bad)| Count { good, bad });
    let tally = Tally {
        objective,
        windows: Window::ALL.into_iter().zip(counts).collect(),
    };
    Sample {
        holder: holder(holder_text),
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

fn line(report: &Report) -> &burn::ServiceBurn {
    &report.services[&service("booking")]
}

fn rates(report: &Report) -> [Option<f64>; 4] {
    Window::ALL.map(|window| line(report).windows[&window].rate.map(|rate| rate.0))
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
    let mut ledger = ledger(start);
    ledger.bad(start, &service("booking"));
    let gone = |n| {
        let kept = |window| (0, u64::from(window >= n));
        [kept(0), kept(1), kept(2), kept(3)]
    };
    for (seconds, expected) in [
        (0, gone(0)),
        (5 * MINUTE - 1, gone(0)),
        (5 * MINUTE, gone(1)),
        (HOUR - 1, gone(1)),
        (HOUR, gone(2)),
        (6 * HOUR - 1, gone(2)),
        (6 * HOUR, gone(3)),
        (3 * DAY - 1, gone(3)),
        (3 * DAY, gone(4)),
        (300 * DAY, gone(4)),
    ] {
        let sample = ledger.sample(at(seconds));
        assert_eq!(counts(&sample), expected, "after {seconds} s");
        assert_eq!(sample.covered_ms, seconds * 1_000);
    }
}

#[test]
fn a_late_event_goes_into_its_own_bucket() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut ledger = ledger(start);
    ledger.good(at(400), &service("booking"));
    ledger.good(at(395), &service("booking"));
    ledger.good(at(110), &service("booking"));
    ledger.good(at(109), &service("booking"));
    assert_eq!(
        counts(&ledger.sample(at(400))),
        [(3, 0), (4, 0), (4, 0), (4, 0)]
    );
    assert_eq!(counts(&ledger.sample(at(410)))[0], (2, 0));
    assert_eq!(counts(&ledger.sample(at(695)))[0], (1, 0));
}

#[test]
fn settled_requests_count_under_the_objective_in_force() {
    let start = Instant::now();
    let mut ledger = ledger(start);
    let booking = service("booking");
    let answered = Outcome::Answered(bytes::Bytes::new());
    let elapsed = Duration::from_millis(400);
    ledger.settle(start, &booking, &answered, elapsed);
    let strict = Objective {
        latency_ms: 300,
        ..OBJECTIVE
    };
    ledger.configure(&BTreeMap::from([(booking.clone(), strict)]));
    ledger.settle(start, &booking, &answered, elapsed);
    ledger.settle(start, &service("records"), &answered, elapsed);

    let sample = ledger.sample(start);

    assert_eq!(counts(&sample), [(1, 1); 4]);
    assert_eq!(sample.services[&booking].objective, strict);
    assert_eq!(sample.services.len(), 1);
    ledger.configure(&BTreeMap::new());
    assert!(ledger.sample(start).services.is_empty());
}

#[test]
fn memory_of_a_service_is_bounded() {
    let events = 234 * size_of::<Count>();
    assert!((events..=events + 256).contains(&burn::STATE_BYTES));
}

proptest! {
    /// The rings hold just what a list of all events holds.
    #[test]
    fn rings_agree_with_a_list(events in prop::collection::vec((0..5_000_u64, any::<bool>()), 1..200)) {
        let start = Instant::now();
        let mut ledger = ledger(start);
        let mut list = Vec::new();
        let mut now = 0;
        for (step, good) in events {
            now += step;
            let at = start + Duration::from_secs(now);
            if good {
                ledger.good(at, &service("booking"));
            } else {
                ledger.bad(at, &service("booking"));
            }
            list.push((now, good));
            let expected = Window::ALL.map(|window| {
                let bucket = window.bucket().as_secs();
                let oldest = (now / bucket + 1).saturating_sub(window.buckets() as u64);
                let kept = list.iter().filter(|(at, _)| at / bucket >= oldest);
                let good = kept.clone().filter(|(_, good)| *good).count() as u64;
                (good, kept.count() as u64 - good)
            });
            prop_assert_eq!(counts(&ledger.sample(at)), expected);
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

    let heard: Vec<String> = report.heard.iter().map(|h| h.holder.to_string()).collect();
    assert_eq!(heard, ["e1#1", "e1#2", "e2#9"]);
    let figure = line(&report).windows[&Window::Hour];
    assert_eq!(
        figure.count,
        Count {
            good: 1_987,
            bad: 13
        }
    );
    assert_eq!(figure.rate, Some(Rate(6.5)));
    assert_eq!(report.worst(), Verdict::Ticket);
}

#[test]
fn both_windows_must_burn_above_the_threshold() {
    let at_page = (98_560, 1_440);
    let over_page = (98_559, 1_441);
    let at_ticket = (999, 1);
    let over_ticket = (998, 2);
    let none = (100, 0);
    for (windows, verdict) in [
        ([over_page, over_page, none, none], Verdict::Page),
        ([at_page, over_page, none, none], Verdict::Ok),
        ([over_page, at_page, none, none], Verdict::Ok),
        ([over_page, none, over_ticket, over_ticket], Verdict::Ticket),
        ([none, none, over_ticket, over_ticket], Verdict::Ticket),
        ([none, none, at_ticket, over_ticket], Verdict::Ok),
        ([none, none, over_ticket, at_ticket], Verdict::Ok),
        ([over_page; 4], Verdict::Page),
    ] {
        let one = [sample("e1#1", 1, OBJECTIVE, windows)];
        let whole = Report::merge(&one, Vec::new());
        assert_eq!(line(&whole).verdict, verdict, "{windows:?}");
        let blind = Report::merge(&one, vec![gap("e2")]);
        assert_eq!(
            line(&blind).verdict,
            verdict.max(Verdict::UnknownGap),
            "{windows:?}"
        );
    }
    let exact = Report::merge(
        &[sample(
            "e1#1",
            1,
            OBJECTIVE,
            [at_page, over_page, at_ticket, none],
        )],
        Vec::new(),
    );
    assert_eq!(
        rates(&exact),
        [Some(14.4), Some(14.41), Some(1.0), Some(0.0)]
    );
}

#[test]
fn a_gap_is_named_everywhere_and_never_health() {
    let samples = [sample("e1#1", 5_000, OBJECTIVE, [(100, 0); 4])];
    let report = Report::merge(&samples, vec![gap("e3"), gap("e2"), gap("e3")]);

    assert_eq!(report.gaps, [gap("e2"), gap("e3")]);
    assert_eq!(line(&report).verdict, Verdict::UnknownGap);
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

/// A registration that cannot be read, or a list that cannot be had, is found out
/// beside the samples. The services must not go on looking well.
#[test]
fn what_is_missed_after_the_merge_is_not_health() {
    let whole = || {
        let counts = [(10, 0); 4];
        Report::merge(&[sample("bole-1#1", 1, OBJECTIVE, counts)], Vec::new())
    };
    let mut report = whole();
    report.add_missing(Vec::new(), None);
    assert_eq!(
        (line(&report).verdict, report.is_complete()),
        (Verdict::Ok, true)
    );
    report.add_missing(vec![gap("kality-1")], None);
    assert_eq!(line(&report).verdict, Verdict::UnknownGap);
    assert_eq!(report.worst(), Verdict::UnknownGap);
    assert!(!report.is_complete());
    let mut report = whole();
    report.add_missing(Vec::new(), Some("platform: no answer".to_owned()));
    assert_eq!(line(&report).verdict, Verdict::UnknownGap);
    assert!(!report.is_complete());
    assert!(
        report
            .text()
            .contains("may be incomplete: platform: no answer")
    );
}

#[test]
fn nothing_heard_is_not_health() {
    let none = Report::merge(&[], Vec::new());
    assert_eq!(none.worst(), Verdict::UnknownGap);
    assert!(none.text().contains("no instance was heard from"));
    assert!(
        none.svg()
            .expect("a plot")
            .contains("no instance was heard from")
    );

    let idle = Report::merge(&[sample("e1#1", 1, OBJECTIVE, [(0, 0); 4])], Vec::new());
    assert_eq!(rates(&idle), [None; 4]);
    assert_eq!(idle.worst(), Verdict::Ok);
    assert!(
        !idle.text().contains("0.00"),
        "no events is not a rate of 0"
    );
}

#[test]
fn the_strictest_of_different_objectives_is_used_and_said() {
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
    assert_eq!(line(&report).objective, strictest);
    assert_eq!(line(&report).conflict, [loose, OBJECTIVE]);
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
    let back: Report = serde_json::from_str(&json).expect("the report");
    assert_eq!(back, report);

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

fn instance(sample: Sample) -> Router {
    Router::new().route("/burn", get(move || async move { Json(sample) }))
}

/// One instance answers. The others are gone, hang, answer for an instance that
/// took over the address, or answer with something else. Each must show as a gap,
/// since leaving it out would look like health, and none may hold up the report.
#[tokio::test]
async fn instances_that_give_no_sample_of_their_own_are_gaps() {
    let mine = sample("e1#1", 1, OBJECTIVE, [(10, 0); 4]);
    let hang = || async {
        std::future::pending::<()>().await;
    };
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let gone = id::Endpoint(closed.local_addr().expect("an address"));
    drop(closed);
    let endpoints = [
        ("e1", serve(instance(mine.clone())).await),
        ("e2", gone),
        ("e3", serve(Router::new().route("/burn", get(hang))).await),
        ("e4", serve(instance(mine)).await),
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
        line(&report).windows[&Window::Hour].count,
        Count { good: 10, bad: 0 }
    );
    assert_eq!(line(&report).verdict, Verdict::UnknownGap);
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
