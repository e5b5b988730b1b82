//! Tests the operators' tool as a real process against a stand-in platform.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::fleet::ToolTest;
use crate::fleet::run;
use crate::fleet::run_with_config;
use crate::fleet::status;
use crate::fleet::wait_until;

/// Store key of the profile that most tests change.
const PROFILE_KEY: &str = "godwitreel/profiles/open";
/// Delay of each platform call, so that a test can act between two calls of the tool.
const CALL_DELAY: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn profiles_are_applied_shown_compared_and_kept() {
    let test = ToolTest::start().await;
    for round in 1..=12_u64 {
        let file = test.profile(1_000 * round);
        let applied = test.run(&["profile", "apply", "open", &file]).await;
        assert_eq!(applied.code, 0, "{applied:?}");
        assert_eq!(applied.json()["ours"]["revision"], round);
        assert_eq!(applied.json()["notes"], json!([]));
    }
    let shown = test.run(&["profile", "get", "open"]).await.json();
    assert_eq!(shown["operator"], "alem");
    assert_eq!(shown["body"]["deadline_ms"], 12_000);

    let list = test.run(&["profile", "list"]).await.json();
    assert_eq!(list[0]["name"], "open");
    assert_eq!(list[0]["document"]["revision"], 12);

    let file = test.profile(3_000);
    let diff = test.run(&["profile", "diff", "open", &file]).await.json();
    let expected = json!([{ "field": "deadline_ms", "stored": 12_000, "file": 3_000 }]);
    assert_eq!(diff["differences"], expected);

    let history = test.run(&["profile", "history", "open"]).await.json();
    let revisions: Vec<_> = history.as_array().unwrap().iter().collect();
    let revisions: Vec<_> = revisions.iter().map(|line| line["name"].as_str()).collect();
    let expected = ["12", "11", "10", "9", "8", "7", "6", "5", "4", "3"].map(Some);
    assert_eq!(revisions, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn table_output_shows_the_documents() {
    let test = ToolTest::start().await;
    let file = test.profile(4_321);
    let commands: [(&[&str], &str); 4] = [
        (
            &["profile", "apply", "open", &file],
            "profiles/open revision 1",
        ),
        (&["profile", "get", "open"], "4321"),
        (&["profile", "list"], "4321 ms"),
        (&["profile", "history", "open"], "4321 ms"),
    ];
    for (command, expected) in commands {
        let table = test.run(&[command, &["--output", "table"]].concat()).await;
        assert_eq!(table.code, 0, "{table:?}");
        assert!(table.stdout.contains(expected), "{table:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_field_is_refused_with_its_line() {
    let test = ToolTest::start().await;
    let cases = [
        (
            "{\n\n \"deadline\": 5\n}",
            ":3: deadline: unknown: want one of `deadline_ms`",
        ),
        (
            "{\n \"deadline_ms\": 5\n}",
            ":2: deadline_ms: 5: want 100 to",
        ),
        (
            "{\n // Too long.\n \"deadline_ms\": 500,\n \"attempt_timeout_ms\": 900\n}",
            ":4: attempt_timeout_ms: 900: want 20 to 500",
        ),
    ];
    for (text, expected) in cases {
        let file = test.file("wrong.jsonc", text);
        let file = file.to_str().unwrap();
        let refused = test.run(&["profile", "apply", "open", file]).await;
        assert_eq!(refused.code, 1, "{refused:?}");
        assert!(refused.stderr.contains(expected), "{refused:?}");
        assert_eq!(refused.json()["outcome"], "failed");
    }
    assert_eq!(test.platform.counters().writes, 0);
}

// Two operators read revision 1 and both write revision 2. The platform accepts the
// first write and refuses the second. The second operator must get exit code 2 and see
// both changes. Without the compare-and-swap the first change would be overwritten and
// neither operator would know.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_is_accepted_and_the_other_sees_both_sides() {
    let test = ToolTest::start().await;
    let (first, ours, theirs) = (
        test.profile(1_000),
        test.profile(2_000),
        test.profile(3_000),
    );
    test.run(&["profile", "apply", "open", &first]).await;
    // With slow calls both tools read before either writes.
    test.platform.slow(CALL_DELAY / 4);
    let apply = ["profile", "apply", "open", "--expect", "1"];
    let (ours, theirs) = (
        [&apply[..], &[&ours]].concat(),
        [&apply[..], &[&theirs]].concat(),
    );
    let (alem, hana) = tokio::join!(test.run_as("alem", &ours), test.run_as("hana", &theirs));
    let (won, lost) = match alem.code {
        0 => (alem, hana),
        _ => (hana, alem),
    };
    assert_eq!((won.code, lost.code), (0, 2), "{won:?} {lost:?}");
    let (won, lost) = (won.json(), lost.json());
    assert_eq!(lost["outcome"], "refused");
    assert_eq!(lost["first"], won["ours"]);
    assert_eq!(lost["first"]["revision"], 2);
    assert_ne!(lost["ours"]["operator"], lost["first"]["operator"]);
    assert_eq!(test.stored(PROFILE_KEY), Some(won["ours"].clone()));
}

// Another change is accepted after the tool has read revision 1 and before its own write
// arrives. The write must be refused even without `--expect`, since it depends on the
// revision that was read. If the tool read the revision again before writing, it would
// overwrite a change that its operator has never seen.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_accepted_between_read_and_write_is_not_overwritten() {
    let test = ToolTest::start().await;
    let (first, second) = (test.profile(1_000), test.profile(2_000));
    test.run(&["profile", "apply", "open", &first]).await;
    let mut theirs = test.stored(PROFILE_KEY).unwrap();
    theirs["revision"] = 2.into();
    theirs["operator"] = "hana".into();
    let reads = test.platform.counters().reads;
    test.platform.slow(CALL_DELAY);
    let arguments = ["profile", "apply", "open", &second];
    let (refused, _) = tokio::join!(test.run(&arguments), async {
        wait_until(|| test.platform.counters().reads > reads).await;
        test.platform.put(PROFILE_KEY, theirs.to_string());
    });
    assert_eq!(refused.code, 2, "{refused:?}");
    assert_eq!(refused.json()["first"], theirs);
    assert_eq!(test.stored(PROFILE_KEY), Some(theirs));
}

// The operator mistypes the expected revision as the greatest u64. The change is refused
// like any other with a wrong expected revision.
#[tokio::test(flavor = "multi_thread")]
async fn any_expected_revision_can_be_refused() {
    let test = ToolTest::start().await;
    let file = test.profile(1_000);
    let last = u64::MAX.to_string();
    let arguments = ["profile", "apply", "open", &file, "--expect", &last];
    let refused = test.run(&arguments).await;
    assert_eq!(refused.code, 2, "{refused:?}");
    assert_eq!(test.stored(PROFILE_KEY), None);
}

// An operator's change expects revision 1, but revisions 2 and 3 have been accepted
// since. The tool must show revision 2, which conflicts with the operator's change, and
// not the latest revision, which may be unrelated.
#[tokio::test(flavor = "multi_thread")]
async fn the_change_that_was_accepted_first_is_shown() {
    let test = ToolTest::start().await;
    for (operator, deadline) in [("alem", 1_000), ("hana", 2_000), ("sara", 3_000)] {
        let file = test.profile(deadline);
        test.run_as(operator, &["profile", "apply", "open", &file])
            .await;
    }
    let file = test.profile(4_000);
    let arguments = ["profile", "apply", "open", &file, "--expect", "1"];
    let refused = test.run(&arguments).await;
    assert_eq!(refused.code, 2, "{refused:?}");
    let refused = refused.json();
    assert_eq!(refused["ours"]["revision"], 2);
    assert_eq!(refused["first"]["revision"], 2);
    assert_eq!(refused["first"]["operator"], "hana");
    let table = [&arguments[..], &["--output", "table"]].concat();
    let table = test.run(&table).await.stdout;
    assert!(table.contains("hana") && table.contains("alem"), "{table}");
}

// The platform accepts the change, but its answer is lost. The tool reads the document
// back, recognizes its change by the write id, reports it as accepted and does not send
// it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let test = ToolTest::start().await;
    let file = test.profile(1_000);
    test.platform.lose_answers(1);
    let applied = test.run(&["profile", "apply", "open", &file]).await;
    assert_eq!(applied.code, 0, "{applied:?}");
    let applied = applied.json();
    assert_eq!(applied["outcome"], "accepted");
    assert_eq!(applied["notes"], json!([]));
    assert_eq!(test.stored(PROFILE_KEY), Some(applied["ours"].clone()));
    // One write for the change and one for its history entry.
    assert_eq!(test.platform.counters().writes, 2);
}

// The platform is down when the tool reads the current revision, so that the change is
// never sent. The tool reports that nothing was written.
#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_is_down_means_nothing_written() {
    let test = ToolTest::start().await;
    let file = test.profile(1_000);
    test.platform.down(true);
    let failed = test.run(&["profile", "apply", "open", &file]).await;
    assert_eq!(failed.code, 5, "{failed:?}");
    assert_eq!(failed.json()["exit"], 5);
    assert_eq!(test.platform.counters().writes, 0);
    assert_eq!(test.stored(PROFILE_KEY), None);
}

// The platform accepts the change, its answer is lost, and the platform goes down before
// the tool can read the document back. The tool must report neither success nor failure,
// since it knows neither. In this test the change was accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_and_a_platform_then_down_is_unknown() {
    let test = ToolTest::start().await;
    let file = test.profile(1_000);
    test.platform.lose_answers(1);
    test.platform.slow(CALL_DELAY);
    let arguments = ["profile", "apply", "open", &file];
    let (unknown, _) = tokio::join!(test.run(&arguments), async {
        test.wait_for_key(PROFILE_KEY).await;
        test.platform.down(true);
    });
    assert_eq!(unknown.code, 3, "{unknown:?}");
    let unknown = unknown.json();
    assert_eq!(unknown["outcome"], "unknown");
    assert_eq!(test.stored(PROFILE_KEY), Some(unknown["ours"].clone()));
}

// The change is accepted and answered, then the platform goes down before the history
// entry is written. The change succeeds, with a note about the missing entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_history_is_said_and_is_no_failure() {
    let test = ToolTest::start().await;
    let file = test.profile(1_000);
    test.platform.slow(CALL_DELAY);
    let arguments = ["profile", "apply", "open", &file];
    let (applied, _) = tokio::join!(test.run(&arguments), async {
        test.wait_for_key(PROFILE_KEY).await;
        test.platform.down(true);
    });
    assert_eq!(applied.code, 0, "{applied:?}");
    let notes = applied.json()["notes"].to_string();
    assert!(notes.contains("revision 1 may be missing"), "{notes}");
}

// The answer to a change is lost, and before the tool reads the document back, another
// change has replaced it. If the stored change has the same revision, ours was refused.
// If it has a later revision, only the history shows whether ours was accepted and then
// replaced, or refused. Without a history entry the outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn an_overtaken_change_is_judged_by_revision_and_history() {
    let refused = run_superseded(1, None).await;
    assert_eq!(refused, (2, "refused".to_owned()));
    let replaced = run_superseded(2, Some(true)).await;
    assert_eq!(replaced, (0, "accepted".to_owned()));
    let refused = run_superseded(2, Some(false)).await;
    assert_eq!(refused, (2, "refused".to_owned()));
    let unknown = run_superseded(2, None).await;
    assert_eq!(unknown, (3, "unknown".to_owned()));
}

/// Replaces a change whose answer was lost by another with this revision. The history
/// entry of revision 1 is our change, the other one, or missing. Returns the tool's exit
/// code and outcome.
async fn run_superseded(revision: u64, is_history_ours: Option<bool>) -> (i32, String) {
    let test = ToolTest::start().await;
    let file = test.profile(1_000);
    test.platform.lose_answers(1);
    test.platform.slow(CALL_DELAY);
    let arguments = ["profile", "apply", "open", &file];
    let (run, _) = tokio::join!(test.run(&arguments), async {
        let ours = test.wait_for_key(PROFILE_KEY).await;
        let mut theirs = ours.clone();
        theirs["revision"] = revision.into();
        theirs["write_id"] = "theirs".into();
        if let Some(is_ours) = is_history_ours {
            let kept = if is_ours { &ours } else { &theirs };
            let key = "godwitreel/history/profiles/open/1";
            test.platform.put(key, kept.to_string());
        }
        test.platform.put(PROFILE_KEY, theirs.to_string());
    });
    let outcome = run.json()["outcome"].as_str().unwrap().to_owned();
    (run.code, outcome)
}

// Two instances are registered. One applies the change, the other does not answer. The
// change is accepted, but the wait times out and must name the instance that does not
// answer, since it may still use the old profile.
#[tokio::test(flavor = "multi_thread")]
async fn a_wait_names_the_instance_that_does_not_answer() {
    let mut test = ToolTest::start().await;
    let platform = test.platform.clone();
    let current_status = move || {
        let envelope = platform.get(PROFILE_KEY).unwrap_or_default();
        let envelope: Value = serde_json::from_slice(&envelope).unwrap_or_default();
        status("bole-1", json!({ "profiles/open": envelope["revision"] }))
    };
    test.instance("bole-1", current_status).await;
    test.unreachable_instance("bole-2").await;
    let file = test.profile(1_000);
    let arguments = ["profile", "apply", "open", &file, "--wait=1"];
    let waited = test.run(&arguments).await;
    assert_eq!(waited.code, 4, "{waited:?}");
    let waited = waited.json();
    assert_eq!(waited["outcome"], "accepted");
    assert_eq!(waited["wait"]["in_force"], json!(["bole-1"]));
    assert_eq!(waited["wait"]["silent"][0]["instance"], "bole-2");
}

// An instance receives the change late. The wait must continue after the first status
// answer, which still has the old revision, until the change is in force there.
#[tokio::test(flavor = "multi_thread")]
async fn a_wait_ends_when_the_last_instance_has_followed() {
    let mut test = ToolTest::start().await;
    let requests = Arc::new(AtomicU32::new(0));
    let request_count = requests.clone();
    let late_status = move || {
        let is_late = request_count.fetch_add(1, Ordering::Relaxed) < 2;
        let revisions = match is_late {
            true => json!({}),
            false => json!({ "profiles/open": 1 }),
        };
        status("bole-1", revisions)
    };
    test.instance("bole-1", late_status).await;
    let file = test.profile(1_000);
    let waited = test
        .run(&["profile", "apply", "--wait", "open", &file])
        .await;
    assert_eq!(waited.code, 0, "{waited:?}");
    assert_eq!(waited.json()["wait"]["in_force"], json!(["bole-1"]));
    assert_eq!(requests.load(Ordering::Relaxed), 3);
}

// After an outage of the platform all leases may have expired, so that no instance is
// listed although all of them run. A wait must not treat the empty list as success.
#[tokio::test(flavor = "multi_thread")]
async fn a_wait_for_nobody_is_no_success() {
    let test = ToolTest::start().await;
    let file = test.profile(1_000);
    let waited = test
        .run(&["profile", "apply", "open", &file, "--wait=0"])
        .await;
    assert_eq!(waited.code, 4, "{waited:?}");
}

// One instance applies the new choice of a profile and another never receives it. The
// wait must compare the revision of the service document. That of the profile document
// is in force at both instances already.
#[tokio::test(flavor = "multi_thread")]
async fn a_choice_is_waited_for_at_every_instance() {
    let mut test = ToolTest::start().await;
    let platform = test.platform.clone();
    let current_status = move || {
        let envelope = platform.get("godwitreel/services/dispatch");
        let envelope: Value =
            serde_json::from_slice(&envelope.unwrap_or_default()).unwrap_or_default();
        let revisions = json!({ "profiles/calm": 1, "services/dispatch": envelope["revision"] });
        status("bole-1", revisions)
    };
    test.instance("bole-1", current_status).await;
    for name in ["open", "calm"] {
        let file = test.profile(1_000);
        test.run(&["profile", "apply", name, &file]).await;
    }
    let add = ["service", "add", "dispatch", "127.0.0.1:5683", "open"];
    assert_eq!(test.run(&add).await.code, 0);
    let choose = ["service", "choose", "dispatch", "calm", "--wait=1"];
    let waited = test.run(&choose).await;
    assert_eq!(waited.code, 0, "{waited:?}");
    let waited = waited.json();
    assert_eq!(waited["wait"]["document"], "services/dispatch");
    assert_eq!(waited["wait"]["revision"], 2);
    assert_eq!(waited["wait"]["in_force"], json!(["bole-1"]));

    let revisions = json!({ "profiles/open": 1, "services/dispatch": 2 });
    let late_status = move || status("bole-2", revisions.clone());
    test.instance("bole-2", late_status).await;
    let choose = ["service", "choose", "dispatch", "open", "--wait=1"];
    let waited = test.run(&choose).await;
    assert_eq!(waited.code, 4, "{waited:?}");
    let waited = waited.json();
    assert_eq!(waited["outcome"], "accepted");
    assert_eq!(waited["wait"]["in_force"], json!(["bole-1"]));
    let behind = json!([{ "instance": "bole-2", "revision": 2, "refused": null }]);
    assert_eq!(waited["wait"]["behind"], behind);
}

// The platform was down for longer than the leases, so that its list of instances is
// empty although every instance runs. A report that covers no instance must not look
// like that of a healthy fleet.
#[tokio::test(flavor = "multi_thread")]
async fn an_empty_list_of_instances_is_not_the_whole_fleet() {
    let test = ToolTest::start().await;
    let caller = [
        "explain",
        "--service",
        "dispatch",
        "--caller",
        "127.0.0.1:9",
    ];
    for arguments in [&["status"][..], &["report", "burn"], &caller] {
        let run = test.run(arguments).await;
        assert_eq!(run.code, 4, "{run:?}");
        assert!(run.stdout.contains("none is registered"), "{run:?}");
    }
}

// An instance's lease has expired while the platform was down, but the instance runs and
// is home of a slice. If the tool reported it as drained, the operator would stop it and
// the slice would lose its home.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_lease_is_not_drained_while_it_is_home() {
    let test = ToolTest::start().await;
    let key = "godwitreel/slices/0";
    let rows = |home: &str| {
        let row = json!({ "e": 1, "h": home });
        json!({ "write_id": "test", "rows": [row] }).to_string()
    };
    let drain = ["instance", "drain", "bole-1", "--wait=0"];
    test.platform.put(key, rows("bole-1#1"));
    let waited = test.run(&drain).await;
    assert_eq!(waited.code, 4, "{waited:?}");
    let seen = waited.json()["wait"]["seen"].to_string();
    assert!(seen.contains("home of 1 slices"), "{seen}");
    test.platform.put(key, rows("bole-2#1"));
    let drained = test.run(&drain).await;
    assert_eq!(drained.code, 0, "{drained:?}");
}

// The environment variable names one settings file and the command line another. The
// command line takes precedence, whether the option stands before or after the command.
// Otherwise a change would go to the wrong platform.
#[tokio::test(flavor = "multi_thread")]
async fn a_settings_file_on_the_command_line_counts_more_than_the_variable() {
    let test = ToolTest::start().await;
    let platform = format!("http://{}", test.platform.address());
    let valid = json!({ "platform": [platform] }).to_string();
    let valid = test.file("right.jsonc", &valid);
    let invalid = test.file("wrong.jsonc", "{ \"no_such_field\": 1 }");
    let valid = valid.to_str().unwrap();
    let invalid = invalid.to_str().unwrap();
    for arguments in [
        ["--config", valid, "profile", "list"],
        ["profile", "list", "--config", valid],
    ] {
        let run = run_with_config(Some(invalid), arguments.to_vec()).await;
        assert_eq!(run.code, 0, "{run:?}");
    }
    let run = run_with_config(Some(invalid), vec!["profile", "list"]).await;
    assert_eq!(run.code, 1, "{run:?}");
    let run = run_with_config(Some(valid), vec!["profile", "list"]).await;
    assert_eq!(run.code, 0, "{run:?}");
}

// The plot cannot be written. The output must still be a single JSON value, which reports
// the failure, so that programs can parse it.
#[tokio::test(flavor = "multi_thread")]
async fn a_plot_that_cannot_be_written_is_one_failure() {
    let mut test = ToolTest::start().await;
    let fake_status = || status("bole-1", json!({}));
    test.instance("bole-1", fake_status).await;
    let failed = test
        .run(&["report", "burn", "--plot", "/nowhere/burn.svg"])
        .await;
    assert_eq!(failed.code, 1, "{failed:?}");
    assert_eq!(failed.json()["outcome"], "failed");
}

#[tokio::test(flavor = "multi_thread")]
async fn services_are_added_and_choose_profiles_that_exist() {
    let test = ToolTest::start().await;
    let add = ["service", "add", "dispatch", "127.0.0.1:5683", "open"];
    assert_eq!(
        test.run(&add).await.code,
        2,
        "the profile does not exist yet"
    );
    for name in ["open", "calm"] {
        let file = test.profile(1_000);
        test.run(&["profile", "apply", name, &file]).await;
    }
    assert_eq!(test.run(&add).await.code, 0);
    let again = test.run(&add).await;
    assert_eq!(again.code, 2, "{again:?}");
    assert_eq!(again.json()["first"]["revision"], 1);

    let missing = test.run(&["service", "choose", "dispatch", "none"]).await;
    assert_eq!(missing.code, 2, "{missing:?}");
    assert!(missing.stderr.contains("profiles/none"), "{missing:?}");
    let chosen = test.run(&["service", "choose", "dispatch", "calm"]).await;
    assert_eq!(chosen.code, 0, "{chosen:?}");
    let shown = test.run(&["service", "get", "dispatch"]).await.json();
    assert_eq!(shown["revision"], 2);
    assert_eq!(
        shown["body"],
        json!({ "profile": "calm", "address": "127.0.0.1:5683" })
    );
    let list = test.run(&["service", "list"]).await.json();
    assert_eq!(list[0]["name"], "dispatch");
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_and_instances_are_drained_and_kept_after_all() {
    let mut test = ToolTest::start().await;
    let key = "godwitreel/drain/servers/d1";
    let drained = test.run(&["server", "drain", "d1"]).await;
    assert_eq!(drained.code, 0, "{drained:?}");
    assert_eq!(test.stored(key).unwrap()["operator"], "alem");
    assert!(
        drained.json()["notes"][0]
            .as_str()
            .unwrap()
            .contains("not listed")
    );
    let again = test.run_as("hana", &["server", "drain", "d1"]).await;
    assert_eq!(again.json()["wish"]["operator"], "alem");
    let undone = test.run(&["server", "drain", "d1", "--undo"]).await;
    assert_eq!(undone.code, 0, "{undone:?}");
    assert_eq!(test.stored(key), None);

    let status = move || status("bole-1", json!({}));
    test.instance("bole-1", status).await;
    let waited = test.run(&["instance", "drain", "bole-1", "--wait=0"]).await;
    assert_eq!(waited.code, 4, "bole-1 is still home of slices: {waited:?}");
    let kept = test
        .run(&["instance", "drain", "bole-1", "--undo", "--wait"])
        .await;
    assert_eq!(kept.code, 0, "{kept:?}");
}

// Guards against evacuating a zone that does not exist, and against reporting the
// evacuation as complete while an instance does not apply it.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_evacuated_and_used_again() {
    let mut test = ToolTest::start().await;
    let key = "godwitreel/drain/zones/kality";
    let unknown = test.run(&["zone", "evacuate", "kality"]).await;
    assert_eq!(unknown.code, 1, "{unknown:?}");
    assert!(unknown.stderr.contains("no zone kality"), "{unknown:?}");
    assert_eq!(test.stored(key), None);
    let server = json!({ "service": "dispatch", "zone": "kality", "address": "127.0.0.1:1",
        "health": "127.0.0.1:2", "slots": 2, "state": "up" });
    test.platform.put("platform/servers/d1", server.to_string());
    test.instance("bole-1", || status("bole-1", json!({})))
        .await;
    let order = ["zone", "evacuate", "kality", "--wait=0"];
    let waited = test.run(&order).await;
    assert_eq!(
        waited.code, 4,
        "bole-1 does not apply the evacuation: {waited:?}"
    );
    assert_eq!(waited.json()["wait"]["behind"], json!(["bole-1"]));
    assert_eq!(test.stored(key).unwrap()["operator"], "alem");
    let again = test.run_as("hana", &["zone", "evacuate", "kality"]).await;
    assert_eq!(again.json()["wish"]["operator"], "alem");
    let undone = test
        .run(&["zone", "evacuate", "kality", "--undo", "--wait"])
        .await;
    assert_eq!(undone.code, 0, "{undone:?}");
    assert_eq!(test.stored(key), None);
}

// The answer to the deletion of a drain request is lost, and before the tool reads the
// key back, another operator requests the drain again. The new request must remain. A
// second, unconditional deletion would give work to a server that is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_drain_request_survives_a_lost_undo() {
    let test = ToolTest::start().await;
    let key = "godwitreel/drain/servers/d1";
    test.run(&["server", "drain", "d1"]).await;
    let new_request = json!({ "operator": "hana", "write_id": "theirs" });
    test.platform.lose_answers(1);
    test.platform.slow(CALL_DELAY);
    let arguments = ["server", "drain", "d1", "--undo"];
    let (refused, _) = tokio::join!(test.run(&arguments), async {
        wait_until(|| test.stored(key).is_none()).await;
        test.platform.put(key, new_request.to_string());
    });
    assert_eq!(refused.code, 2, "{refused:?}");
    assert_eq!(refused.json()["wish"], new_request);
    assert_eq!(test.stored(key), Some(new_request));
}

// One instance answers, one does not, and at the address of a third a different instance
// answers. The tool must name the last two, since a status without them would look
// complete.
#[tokio::test(flavor = "multi_thread")]
async fn status_and_explain_name_instances_that_do_not_answer() {
    let mut test = ToolTest::start().await;
    let fake_status = || status("bole-1", json!({ "profiles/open": 1 }));
    let address = test.instance("bole-1", fake_status).await;
    test.unreachable_instance("bole-2").await;
    test.instance("bole-3", fake_status).await;
    let partial = test.run(&["status"]).await;
    assert_eq!(partial.code, 4, "{partial:?}");
    let partial = partial.json();
    assert_eq!(partial["heard"]["bole-1"]["homes"], 4);
    let silent = partial["silent"].as_array().unwrap().iter();
    let silent: Vec<_> = silent.map(|silence| &silence["instance"]).collect();
    assert_eq!(silent, ["bole-2", "bole-3"]);

    let arguments = [
        "explain",
        "--service",
        "dispatch",
        "--caller",
        "127.0.0.1:9",
    ];
    let explained = test.run(&arguments).await;
    assert_eq!(explained.code, 4, "{explained:?}");
    assert_eq!(explained.json()["steps"][0]["instance"], "bole-1");

    // While the platform is down, the tool queries the instances in its settings. Their
    // answers must not be reported as those of all instances.
    test.platform.down(true);
    let text = json!({ "instances": { "bole-1": address } }).to_string();
    let file = test.file("tool.jsonc", &text);
    let partial = test
        .run(&["status", "--config", file.to_str().unwrap()])
        .await;
    assert_eq!(partial.code, 4, "{partial:?}");
    assert_eq!(partial.json()["heard"]["bole-1"]["homes"], 4);
    assert_eq!(test.run(&["status"]).await.code, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_usage_and_settings_are_reported() {
    let test = ToolTest::start().await;
    assert_eq!(run(vec!["profile", "list"]).await.code, 1);
    assert_eq!(run(vec!["profile", "apply", "no/name", "x"]).await.code, 1);
    let file = test.file("tool.jsonc", "{\n // Wrong.\n \"platfrom\": []\n}");
    let wrong = run(vec!["status", "--config", file.to_str().unwrap()]).await;
    assert_eq!(wrong.code, 1, "{wrong:?}");
    assert!(wrong.stderr.contains("tool.jsonc:3: platfrom"), "{wrong:?}");
    for shell in ["bash", "zsh", "fish"] {
        let script = run(vec!["completions", shell]).await;
        assert!(script.stdout.contains("--bpaf-complete-rev"), "{script:?}");
    }
    let help = run(vec!["--help"]).await;
    assert!(help.stdout.contains("5  Platform unreachable"), "{help:?}");
}
