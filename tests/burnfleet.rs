//! The burn report and `explain` over a fleet of real daemons.

mod program;
mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use program::OperatorDir;
use serde_json::Value;
use serde_json::json;
use standin::caller;
use standin::caller::Caller;
use standin::caller::Outcome;
use utils::Cluster;
use utils::Plan;

const DEADLINE: Duration = Duration::from_secs(30);

/// Windows of the report.
const WINDOWS: [&str; 4] = ["5m", "1h", "6h", "3d"];

/// An objective under which no request of a test is late, and the bad requests of
/// one are few.
fn lenient() -> Plan {
    Plan {
        profile: json!({
            "deadline_ms": 60_000, "copy_lifetime_s": 120,
            "objective": { "good_percent": 50.0, "latency_ms": 120_000 },
        }),
        ..Plan::default()
    }
}

async fn book(driver: &Caller, name: &str) -> Outcome {
    driver
        .request(RequestType::Post, "/book", name, DEADLINE)
        .await
}

async fn book_all(driver: &Caller, kind: &str, count: u64) {
    for number in 0..count {
        let name = format!("{kind}-{number}");
        let outcome = book(driver, &name).await;
        let refused = matches!(outcome, Outcome::NotRun { .. });
        assert_eq!(refused, kind == "bad", "{name}: {outcome:?}");
    }
}

/// Good and bad events of `dispatch`, which must be the same in each window.
fn counts(report: &Value) -> (u64, u64) {
    let windows = &report["services"]["dispatch"]["windows"];
    let count = |window: &str| {
        let count = &windows[window]["count"];
        (count["good"].as_u64(), count["bad"].as_u64())
    };
    for window in WINDOWS {
        assert_eq!(count(window), count(WINDOWS[0]), "{report:#}");
    }
    let (good, bad) = count(WINDOWS[0]);
    (good.expect("good"), bad.expect("bad"))
}

// Twenty bookings are answered and four are turned away by every server. Each
// counts once, though the callers' packets go to any instance and are relayed;
// copies would make the report useless. Then an instance dies: the counts that it
// had are lost, so the report may not say that all is well.
#[tokio::test(flavor = "multi_thread")]
async fn the_report_counts_each_request_once_and_names_who_is_missing() {
    let mut cluster = Cluster::start(lenient()).await;
    let operator_dir = OperatorDir::new();
    operator_dir.configure(&cluster, &["bole-1", "kality-2", "merkato-3"]);
    let driver = cluster.caller("dispatch", 1).await;
    book_all(&driver, "good", 20).await;
    cluster
        .servers
        .values()
        .for_each(|server| server.shed(true));
    book_all(&driver, "bad", 4).await;

    let arguments = ["report", "burn", "--output", "json", "--plot", "burn.svg"];
    let whole = operator_dir.run(&arguments).await;
    assert_eq!(whole.code, 0, "{whole:?}");
    let report = whole.json();
    assert_eq!(counts(&report), (20, 4));
    assert_eq!(report["services"]["dispatch"]["verdict"], "ok");
    assert_eq!(report["gaps"], json!([]));
    let plot = std::fs::read_to_string(operator_dir.file("burn.svg")).expect("a plot");
    assert!(plot.contains("<svg") && plot.contains("dispatch"), "{plot}");

    cluster.instances[1].kill();
    let partly = operator_dir.run(&arguments).await;
    assert_eq!(partly.code, 4, "{partly:?}");
    let report = partly.json();
    assert_eq!(report["gaps"][0]["instance"], "kality-2");
    assert_eq!(report["services"]["dispatch"]["verdict"], "unknown-gap");
    let table = operator_dir.run(&["report", "burn"]).await;
    assert!(table.stdout.contains("gap: kality-2"), "{table:?}");
}

// With the platform down, the instances that the settings name are all heard, but
// there may be more. Their report alone must not pass for that of the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_list_of_instances_nothing_is_well() {
    let cluster = Cluster::start(lenient()).await;
    let operator_dir = OperatorDir::new();
    operator_dir.configure(&cluster, &["bole-1", "kality-2", "merkato-3"]);
    cluster.platform.down(true);
    let partly = operator_dir
        .run(&["report", "burn", "--output", "json"])
        .await;
    assert_eq!(partly.code, 4, "{partly:?}");
    let report = partly.json();
    assert_eq!(report["gaps"], json!([]));
    assert!(report["unlisted"].is_string(), "{report:#}");
    assert_eq!(report["services"]["dispatch"]["verdict"], "unknown-gap");
}

// An operator asks what became of a booking. The trace must lead from the booking
// to the slice and its epoch, the profile's revision, the server and the reasons,
// whichever instance did each step.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_explained() {
    let cluster = Cluster::start(lenient()).await;
    let operator_dir = OperatorDir::new();
    operator_dir.configure(&cluster, &["bole-1", "kality-2", "merkato-3"]);
    // Past the fabric, so that the instances see the caller's own address.
    let listener = cluster.instances[0].listeners["dispatch"];
    let mut settings = caller::Settings::new(listener);
    settings.max_retransmit = 5;
    let driver = caller::start(settings).await.expect("caller");
    let outcome = book(&driver, "booking-1").await;
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");

    let address = driver.address().expect("an address");
    let own = format!("127.0.0.1:{}", address.port());
    let question = ["explain", "--service", "dispatch", "--caller", &own];
    let told = operator_dir
        .run(&[&question[..], &["--output", "json"]].concat())
        .await;
    assert_eq!(told.code, 0, "{told:?}");
    let account = told.json();
    let steps = account["steps"].as_array().expect("steps");
    for reason in ["claimed", "forwarded", "answered"] {
        let found = steps.iter().find(|step| step["reason"] == reason);
        let step = found.unwrap_or_else(|| panic!("no {reason} in {account:#}"));
        assert!(step["instance"].is_string(), "{step}");
        assert!(step["slice"].is_u64(), "{step}");
        assert!(
            step["epoch"].as_u64().is_some_and(|epoch| epoch > 0),
            "{step}"
        );
        assert_eq!(step["revision"], 1, "{step}");
        assert!(step["request"].is_string(), "{step}");
    }
    let answered = steps.iter().find(|step| step["reason"] == "answered");
    let server = answered.expect("found above")["server"].as_str();
    let server = server.expect("a server");
    assert_eq!(cluster.servers[server].starts("booking-1"), 1);

    let table = operator_dir.run(&question).await;
    for word in ["answered", "forwarded", server] {
        assert!(table.stdout.contains(word), "{word}: {table:?}");
    }
}
