//! The burn report and `explain` with a fleet of daemon processes.

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

const TIMEOUT: Duration = Duration::from_secs(30);

/// Names of the report's time windows.
const WINDOWS: [&str; 4] = ["5m", "1h", "6h", "3d"];

/// A plan with an objective so lenient that no request of a test is too slow and its
/// few bad requests leave the verdict at `ok`.
fn lenient_plan() -> Plan {
    Plan {
        profile: json!({
            "deadline_ms": 60_000, "copy_lifetime_s": 120,
            "objective": { "good_percent": 50.0, "latency_ms": 120_000 },
        }),
        ..Plan::default()
    }
}

async fn send_booking(booking_caller: &Caller, name: &str) -> Outcome {
    booking_caller
        .request(RequestType::Post, "/book", name, TIMEOUT)
        .await
}

async fn send_bookings(booking_caller: &Caller, kind: &str, count: u64) {
    for number in 0..count {
        let name = format!("{kind}-{number}");
        let outcome = send_booking(booking_caller, &name).await;
        let refused = matches!(outcome, Outcome::NotRun { .. });
        assert_eq!(refused, kind == "bad", "{name}: {outcome:?}");
    }
}

/// Returns the good and bad events of `dispatch`, which must be equal in all windows.
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

// Twenty bookings are answered and every server refuses four. Each must be counted
// once although any instance may receive and relay the callers' packets; counting
// relayed packets again would distort the rates. Then an instance is killed: its
// counts are lost, so the report must not appear healthy.
#[tokio::test(flavor = "multi_thread")]
async fn the_report_counts_each_request_once_and_names_missing_instances() {
    let mut cluster = Cluster::start(lenient_plan()).await;
    let operator_dir = OperatorDir::new();
    operator_dir.configure(&cluster, &["bole-1", "kality-2", "merkato-3"]);
    let booking_caller = cluster.caller("dispatch", 1).await;
    send_bookings(&booking_caller, "good", 20).await;
    cluster
        .servers
        .values()
        .for_each(|server| server.shed(true));
    send_bookings(&booking_caller, "bad", 4).await;

    let arguments = ["report", "burn", "--output", "json", "--plot", "burn.svg"];
    let complete = operator_dir.run(&arguments).await;
    assert_eq!(complete.code, 0, "{complete:?}");
    let report = complete.json();
    assert_eq!(counts(&report), (20, 4));
    assert_eq!(report["services"]["dispatch"]["verdict"], "ok");
    assert_eq!(report["gaps"], json!([]));
    let plot = std::fs::read_to_string(operator_dir.file("burn.svg")).expect("a plot");
    assert!(plot.contains("<svg") && plot.contains("dispatch"), "{plot}");

    cluster.instances[1].kill();
    let incomplete = operator_dir.run(&arguments).await;
    assert_eq!(incomplete.code, 4, "{incomplete:?}");
    let report = incomplete.json();
    assert_eq!(report["gaps"][0]["instance"], "kality-2");
    assert_eq!(report["services"]["dispatch"]["verdict"], "unknown-gap");
    let table = operator_dir.run(&["report", "burn"]).await;
    assert!(table.stdout.contains("gap: kality-2"), "{table:?}");
}

// While the platform is down, all instances named in the settings answer, but others
// may exist. Their report must not be taken for a report of the whole fleet.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_list_of_instances_no_service_is_healthy() {
    let cluster = Cluster::start(lenient_plan()).await;
    let operator_dir = OperatorDir::new();
    operator_dir.configure(&cluster, &["bole-1", "kality-2", "merkato-3"]);
    cluster.platform.down(true);
    let incomplete = operator_dir
        .run(&["report", "burn", "--output", "json"])
        .await;
    assert_eq!(incomplete.code, 4, "{incomplete:?}");
    let report = incomplete.json();
    assert_eq!(report["gaps"], json!([]));
    assert!(report["unlisted"].is_string(), "{report:#}");
    assert_eq!(report["services"]["dispatch"]["verdict"], "unknown-gap");
}

// An operator looks up a booking. The trace must show its slice and epoch, the
// profile's revision, the server and the reason codes, no matter which instance
// carried out each step.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_explained() {
    let cluster = Cluster::start(lenient_plan()).await;
    let operator_dir = OperatorDir::new();
    operator_dir.configure(&cluster, &["bole-1", "kality-2", "merkato-3"]);
    // The caller bypasses the fabric, so that the instances see its own address.
    let listener = cluster.instances[0].listeners["dispatch"];
    let mut settings = caller::Settings::new(listener);
    settings.max_retransmit = 5;
    let booking_caller = caller::start(settings).await.expect("caller");
    let outcome = send_booking(&booking_caller, "booking-1").await;
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");

    let address = booking_caller.address().expect("an address");
    let caller_address = format!("127.0.0.1:{}", address.port());
    let arguments = [
        "explain",
        "--service",
        "dispatch",
        "--caller",
        &caller_address,
    ];
    let output = operator_dir
        .run(&[&arguments[..], &["--output", "json"]].concat())
        .await;
    assert_eq!(output.code, 0, "{output:?}");
    let trace = output.json();
    let steps = trace["steps"].as_array().expect("steps");
    for reason in ["claimed", "forwarded", "answered"] {
        let found = steps.iter().find(|step| step["reason"] == reason);
        let step = found.unwrap_or_else(|| panic!("no {reason} in {trace:#}"));
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

    let table = operator_dir.run(&arguments).await;
    for word in ["answered", "forwarded", server] {
        assert!(table.stdout.contains(word), "{word}: {table:?}");
    }
}
