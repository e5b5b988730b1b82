//! The operators' tool as a real process against a stand-in platform.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::fleet::Bench;
use crate::fleet::run;
use crate::fleet::run_with;
use crate::fleet::status;
use crate::fleet::until;

/// Key of the profile that most tests change.
const KEY: &str = "godwitreel/profiles/open";
/// Delay of each call that leaves a test time to step in between two.
const STEP: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn profiles_are_applied_shown_compared_and_kept() {
    let bench = Bench::start().await;
    for round in 1..=12_u64 {
        let file = bench.profile(1_000 * round);
        let applied = bench.run(&["profile", "apply", "open", &file]).await;
        assert_eq!(applied.code, 0, "{applied:?}");
        assert_eq!(applied.json()["ours"]["revision"], round);
        assert_eq!(applied.json()["notes"], json!([]));
    }
    let shown = bench.run(&["profile", "get", "open"]).await.json();
    assert_eq!(shown["operator"], "alem");
    assert_eq!(shown["body"]["deadline_ms"], 12_000);

    let list = bench.run(&["profile", "list"]).await.json();
    assert_eq!(list[0]["name"], "open");
    assert_eq!(list[0]["document"]["revision"], 12);

    let file = bench.profile(3_000);
    let diff = bench.run(&["profile", "diff", "open", &file]).await.json();
    let expected = json!([{ "field": "deadline_ms", "stored": 12_000, "file": 3_000 }]);
    assert_eq!(diff["differences"], expected);

    let history = bench.run(&["profile", "history", "open"]).await.json();
    let revisions: Vec<_> = history.as_array().unwrap().iter().collect();
    let revisions: Vec<_> = revisions.iter().map(|line| line["name"].as_str()).collect();
    let expected = ["12", "11", "10", "9", "8", "7", "6", "5", "4", "3"].map(Some);
    assert_eq!(revisions, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn tables_show_the_same() {
    let bench = Bench::start().await;
    let file = bench.profile(4_321);
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
        let table = bench.run(&[command, &["--output", "table"]].concat()).await;
        assert_eq!(table.code, 0, "{table:?}");
        assert!(table.out.contains(expected), "{table:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_field_is_refused_with_its_line() {
    let bench = Bench::start().await;
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
        let file = bench.file("wrong.jsonc", text);
        let file = file.to_str().unwrap();
        let refused = bench.run(&["profile", "apply", "open", file]).await;
        assert_eq!(refused.code, 1, "{refused:?}");
        assert!(refused.err.contains(expected), "{refused:?}");
        assert_eq!(refused.json()["outcome"], "failed");
    }
    assert_eq!(bench.platform.counters().writes, 0);
}

// Two operators read revision 1 and both send a change for revision 2. The
// platform takes the first and refuses the second. The second operator must see
// both sides and exit code 2; without the compare-and-swap the first change
// would be overwritten unseen.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_is_accepted_and_the_other_sees_both_sides() {
    let bench = Bench::start().await;
    let (first, ours, theirs) = (
        bench.profile(1_000),
        bench.profile(2_000),
        bench.profile(3_000),
    );
    bench.run(&["profile", "apply", "open", &first]).await;
    // Slow calls let both read before either writes.
    bench.platform.slow(STEP / 4);
    let apply = ["profile", "apply", "open", "--expect", "1"];
    let (ours, theirs) = (
        [&apply[..], &[&ours]].concat(),
        [&apply[..], &[&theirs]].concat(),
    );
    let (alem, hana) = tokio::join!(bench.run_as("alem", &ours), bench.run_as("hana", &theirs));
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
    assert_eq!(bench.stored(KEY), Some(won["ours"].clone()));
}

// A change is accepted after the tool has read revision 1 and before its own
// write arrives. Though the operator expects nothing, the write must be refused
// for the revision that was read; a later reading would let it overwrite a
// change that its operator has never seen.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_accepted_between_read_and_write_is_not_overwritten() {
    let bench = Bench::start().await;
    let (first, second) = (bench.profile(1_000), bench.profile(2_000));
    bench.run(&["profile", "apply", "open", &first]).await;
    let mut theirs = bench.stored(KEY).unwrap();
    theirs["revision"] = 2.into();
    theirs["operator"] = "hana".into();
    let reads = bench.platform.counters().reads;
    bench.platform.slow(STEP);
    let arguments = ["profile", "apply", "open", &second];
    let (refused, _) = tokio::join!(bench.run(&arguments), async {
        until(|| bench.platform.counters().reads > reads).await;
        bench.platform.put(KEY, theirs.to_string());
    });
    assert_eq!(refused.code, 2, "{refused:?}");
    assert_eq!(refused.json()["first"], theirs);
    assert_eq!(bench.stored(KEY), Some(theirs));
}

// A slip of the pen makes the expected revision the last number that there is. The
// change is refused like any other that expects the wrong one.
#[tokio::test(flavor = "multi_thread")]
async fn any_expected_revision_can_be_refused() {
    let bench = Bench::start().await;
    let file = bench.profile(1_000);
    let last = u64::MAX.to_string();
    let arguments = ["profile", "apply", "open", &file, "--expect", &last];
    let refused = bench.run(&arguments).await;
    assert_eq!(refused.code, 2, "{refused:?}");
    assert_eq!(bench.stored(KEY), None);
}

// An operator's change expects revision 1, but two more were accepted since. The
// one to show is the first of them, which took the operator's place, and not
// the latest, which may have nothing to do with it.
#[tokio::test(flavor = "multi_thread")]
async fn the_change_that_was_accepted_first_is_shown() {
    let bench = Bench::start().await;
    for (operator, deadline) in [("alem", 1_000), ("hana", 2_000), ("sara", 3_000)] {
        let file = bench.profile(deadline);
        bench
            .run_as(operator, &["profile", "apply", "open", &file])
            .await;
    }
    let file = bench.profile(4_000);
    let arguments = ["profile", "apply", "open", &file, "--expect", "1"];
    let refused = bench.run(&arguments).await;
    assert_eq!(refused.code, 2, "{refused:?}");
    let refused = refused.json();
    assert_eq!(refused["ours"]["revision"], 2);
    assert_eq!(refused["first"]["revision"], 2);
    assert_eq!(refused["first"]["operator"], "hana");
    let table = [&arguments[..], &["--output", "table"]].concat();
    let table = bench.run(&table).await.out;
    assert!(table.contains("hana") && table.contains("alem"), "{table}");
}

// The platform takes the change and its answer is lost. The tool reads the
// change back by its write id and reports it as accepted, once.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let bench = Bench::start().await;
    let file = bench.profile(1_000);
    bench.platform.lose_answers(1);
    let applied = bench.run(&["profile", "apply", "open", &file]).await;
    assert_eq!(applied.code, 0, "{applied:?}");
    let applied = applied.json();
    assert_eq!(applied["outcome"], "accepted");
    assert_eq!(applied["notes"], json!([]));
    assert_eq!(bench.stored(KEY), Some(applied["ours"].clone()));
    // The change and its history: the change was not sent again.
    assert_eq!(bench.platform.counters().writes, 2);
}

// The platform is down when the tool reads the current revision, so the change
// is never sent. The operator is told that nothing was written, and nothing was.
#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_is_down_means_nothing_written() {
    let bench = Bench::start().await;
    let file = bench.profile(1_000);
    bench.platform.down(true);
    let failed = bench.run(&["profile", "apply", "open", &file]).await;
    assert_eq!(failed.code, 5, "{failed:?}");
    assert_eq!(failed.json()["exit"], 5);
    assert_eq!(bench.platform.counters().writes, 0);
    assert_eq!(bench.stored(KEY), None);
}

// The platform takes the change, its answer is lost, and the platform goes down
// before the tool can read back. Neither success nor failure may be told, since
// either would be a guess; here the change does stand.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_and_a_platform_then_down_is_unknown() {
    let bench = Bench::start().await;
    let file = bench.profile(1_000);
    bench.platform.lose_answers(1);
    bench.platform.slow(STEP);
    let arguments = ["profile", "apply", "open", &file];
    let (unknown, _) = tokio::join!(bench.run(&arguments), async {
        bench.seen(KEY).await;
        bench.platform.down(true);
    });
    assert_eq!(unknown.code, 3, "{unknown:?}");
    let unknown = unknown.json();
    assert_eq!(unknown["outcome"], "unknown");
    assert_eq!(bench.stored(KEY), Some(unknown["ours"].clone()));
}

// The change is accepted and answered, then the platform goes down before its
// history is kept. That is no failure of the change, but it is said.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_history_is_said_and_is_no_failure() {
    let bench = Bench::start().await;
    let file = bench.profile(1_000);
    bench.platform.slow(STEP);
    let arguments = ["profile", "apply", "open", &file];
    let (applied, _) = tokio::join!(bench.run(&arguments), async {
        bench.seen(KEY).await;
        bench.platform.down(true);
    });
    assert_eq!(applied.code, 0, "{applied:?}");
    let notes = applied.json()["notes"].to_string();
    assert!(notes.contains("revision 1 may be missing"), "{notes}");
}

// The change is taken and its answer lost; before the tool reads back, another
// stands in its place. The one of the same revision proves that ours was
// refused. A later one proves nothing by itself: only the history tells whether
// ours was accepted and replaced, or refused, and without it the outcome is
// unknown.
#[tokio::test(flavor = "multi_thread")]
async fn an_overtaken_change_is_judged_by_revision_and_history() {
    let refused = overtaken(1, None).await;
    assert_eq!(refused, (2, "refused".to_owned()));
    let replaced = overtaken(2, Some(true)).await;
    assert_eq!(replaced, (0, "accepted".to_owned()));
    let refused = overtaken(2, Some(false)).await;
    assert_eq!(refused, (2, "refused".to_owned()));
    let unknown = overtaken(2, None).await;
    assert_eq!(unknown, (3, "unknown".to_owned()));
}

/// Replaces an unanswered change by one of this revision, with ours or another
/// in the history, or none.
async fn overtaken(revision: u64, kept_is_ours: Option<bool>) -> (i32, String) {
    let bench = Bench::start().await;
    let file = bench.profile(1_000);
    bench.platform.lose_answers(1);
    bench.platform.slow(STEP);
    let arguments = ["profile", "apply", "open", &file];
    let (judged, _) = tokio::join!(bench.run(&arguments), async {
        let ours = bench.seen(KEY).await;
        let mut theirs = ours.clone();
        theirs["revision"] = revision.into();
        theirs["write_id"] = "theirs".into();
        if let Some(is_ours) = kept_is_ours {
            let kept = if is_ours { &ours } else { &theirs };
            let key = "godwitreel/history/profiles/open/1";
            bench.platform.put(key, kept.to_string());
        }
        bench.platform.put(KEY, theirs.to_string());
    });
    let outcome = judged.json()["outcome"].as_str().unwrap().to_owned();
    (judged.code, outcome)
}

// Two instances are registered. One follows the platform, the other answers
// nothing. The change is accepted, but the wait runs out and has to name the
// silent one: it may go on with the old profile.
#[tokio::test(flavor = "multi_thread")]
async fn a_wait_names_the_instance_that_is_not_heard() {
    let mut bench = Bench::start().await;
    let platform = bench.platform.clone();
    let follow = move || {
        let envelope = platform.get(KEY).unwrap_or_default();
        let envelope: Value = serde_json::from_slice(&envelope).unwrap_or_default();
        status("bole-1", json!({ "profiles/open": envelope["revision"] }))
    };
    bench.instance("bole-1", follow).await;
    bench.silent("bole-2").await;
    let file = bench.profile(1_000);
    let arguments = ["profile", "apply", "open", &file, "--wait=1"];
    let waited = bench.run(&arguments).await;
    assert_eq!(waited.code, 4, "{waited:?}");
    let waited = waited.json();
    assert_eq!(waited["outcome"], "accepted");
    assert_eq!(waited["wait"]["in_force"], json!(["bole-1"]));
    assert_eq!(waited["wait"]["silent"][0]["instance"], "bole-2");
}

// An instance gets the change late. The wait goes on until it is in force there
// and does not take the first, older answer for the last word.
#[tokio::test(flavor = "multi_thread")]
async fn a_wait_ends_when_the_last_instance_has_followed() {
    let mut bench = Bench::start().await;
    let asked = Arc::new(AtomicU32::new(0));
    let counted = asked.clone();
    let late = move || {
        let is_late = counted.fetch_add(1, Ordering::Relaxed) < 2;
        let revisions = match is_late {
            true => json!({}),
            false => json!({ "profiles/open": 1 }),
        };
        status("bole-1", revisions)
    };
    bench.instance("bole-1", late).await;
    let file = bench.profile(1_000);
    let waited = bench
        .run(&["profile", "apply", "--wait", "open", &file])
        .await;
    assert_eq!(waited.code, 0, "{waited:?}");
    assert_eq!(waited.json()["wait"]["in_force"], json!(["bole-1"]));
    assert_eq!(asked.load(Ordering::Relaxed), 3);
}

// After an outage of the platform all leases may have lapsed, so that no
// instance is listed though all of them run. A wait must not take the empty list
// for success.
#[tokio::test(flavor = "multi_thread")]
async fn a_wait_for_nobody_is_no_success() {
    let bench = Bench::start().await;
    let file = bench.profile(1_000);
    let waited = bench
        .run(&["profile", "apply", "open", &file, "--wait=0"])
        .await;
    assert_eq!(waited.code, 4, "{waited:?}");
}

// One instance follows the platform and another never gets the choice. The wait
// must go by the service's revision, not the profile's, which both have already.
#[tokio::test(flavor = "multi_thread")]
async fn a_choice_is_waited_for_at_every_instance() {
    let mut bench = Bench::start().await;
    let platform = bench.platform.clone();
    let follow = move || {
        let envelope = platform.get("godwitreel/services/dispatch");
        let envelope: Value =
            serde_json::from_slice(&envelope.unwrap_or_default()).unwrap_or_default();
        let revisions = json!({ "profiles/calm": 1, "services/dispatch": envelope["revision"] });
        status("bole-1", revisions)
    };
    bench.instance("bole-1", follow).await;
    for name in ["open", "calm"] {
        let file = bench.profile(1_000);
        bench.run(&["profile", "apply", name, &file]).await;
    }
    let add = ["service", "add", "dispatch", "127.0.0.1:5683", "open"];
    assert_eq!(bench.run(&add).await.code, 0);
    let choose = ["service", "choose", "dispatch", "calm", "--wait=1"];
    let waited = bench.run(&choose).await;
    assert_eq!(waited.code, 0, "{waited:?}");
    let waited = waited.json();
    assert_eq!(waited["wait"]["document"], "services/dispatch");
    assert_eq!(waited["wait"]["revision"], 2);
    assert_eq!(waited["wait"]["in_force"], json!(["bole-1"]));

    let revisions = json!({ "profiles/open": 1, "services/dispatch": 2 });
    let late = move || status("bole-2", revisions.clone());
    bench.instance("bole-2", late).await;
    let choose = ["service", "choose", "dispatch", "open", "--wait=1"];
    let waited = bench.run(&choose).await;
    assert_eq!(waited.code, 4, "{waited:?}");
    let waited = waited.json();
    assert_eq!(waited["outcome"], "accepted");
    assert_eq!(waited["wait"]["in_force"], json!(["bole-1"]));
    let behind = json!([{ "instance": "bole-2", "revision": 2, "refused": null }]);
    assert_eq!(waited["wait"]["behind"], behind);
}

// The platform was away for longer than the leases, so that its list is empty
// though every instance runs. What is gathered from nobody must not look like a
// fleet that is well.
#[tokio::test(flavor = "multi_thread")]
async fn an_empty_list_of_instances_is_not_the_whole_fleet() {
    let bench = Bench::start().await;
    let caller = [
        "explain",
        "--service",
        "dispatch",
        "--caller",
        "127.0.0.1:9",
    ];
    for arguments in [&["status"][..], &["report", "burn"], &caller] {
        let run = bench.run(arguments).await;
        assert_eq!(run.code, 4, "{run:?}");
        assert!(run.out.contains("none is registered"), "{run:?}");
    }
}

// An instance's lease has lapsed while the platform was away; it runs and is home
// of a slice. An operator who believes that it is drained stops it, and the slice
// is without a home.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_lease_is_not_drained_while_it_is_home() {
    let bench = Bench::start().await;
    let key = "godwitreel/slices/0";
    let rows = |home: &str| {
        let row = json!({ "e": 1, "h": home });
        json!({ "write_id": "test", "rows": [row] }).to_string()
    };
    let drain = ["instance", "drain", "bole-1", "--wait=0"];
    bench.platform.put(key, rows("bole-1#1"));
    let waited = bench.run(&drain).await;
    assert_eq!(waited.code, 4, "{waited:?}");
    let seen = waited.json()["wait"]["seen"].to_string();
    assert!(seen.contains("home of 1 slices"), "{seen}");
    bench.platform.put(key, rows("bole-2#1"));
    let gone = bench.run(&drain).await;
    assert_eq!(gone.code, 0, "{gone:?}");
}

// The variable names a settings file, and the command line another one before the
// command. What the operator has typed must count, or a change would go to another
// platform than the one that was meant.
#[tokio::test(flavor = "multi_thread")]
async fn a_settings_file_on_the_command_line_counts_more_than_the_variable() {
    let bench = Bench::start().await;
    let platform = format!("http://{}", bench.platform.address());
    let right = json!({ "platform": [platform] }).to_string();
    let right = bench.file("right.jsonc", &right);
    let wrong = bench.file("wrong.jsonc", "{ \"no_such_field\": 1 }");
    let right = right.to_str().unwrap();
    let wrong = wrong.to_str().unwrap();
    for arguments in [
        ["--config", right, "profile", "list"],
        ["profile", "list", "--config", right],
    ] {
        let run = run_with(Some(wrong), arguments.to_vec()).await;
        assert_eq!(run.code, 0, "{run:?}");
    }
    let run = run_with(Some(wrong), vec!["profile", "list"]).await;
    assert_eq!(run.code, 1, "{run:?}");
    let run = run_with(Some(right), vec!["profile", "list"]).await;
    assert_eq!(run.code, 0, "{run:?}");
}

// The plot cannot be written. A program that reads the output must still find one
// JSON value there, which says so.
#[tokio::test(flavor = "multi_thread")]
async fn a_plot_that_cannot_be_written_is_one_failure() {
    let mut bench = Bench::start().await;
    let fake = || status("bole-1", json!({}));
    bench.instance("bole-1", fake).await;
    let failed = bench
        .run(&["report", "burn", "--plot", "/nowhere/burn.svg"])
        .await;
    assert_eq!(failed.code, 1, "{failed:?}");
    assert_eq!(failed.json()["outcome"], "failed");
}

#[tokio::test(flavor = "multi_thread")]
async fn services_are_added_and_choose_profiles_that_exist() {
    let bench = Bench::start().await;
    let add = ["service", "add", "dispatch", "127.0.0.1:5683", "open"];
    assert_eq!(bench.run(&add).await.code, 2, "there is no profile yet");
    for name in ["open", "calm"] {
        let file = bench.profile(1_000);
        bench.run(&["profile", "apply", name, &file]).await;
    }
    assert_eq!(bench.run(&add).await.code, 0);
    let again = bench.run(&add).await;
    assert_eq!(again.code, 2, "{again:?}");
    assert_eq!(again.json()["first"]["revision"], 1);

    let missing = bench.run(&["service", "choose", "dispatch", "none"]).await;
    assert_eq!(missing.code, 2, "{missing:?}");
    assert!(missing.err.contains("profiles/none"), "{missing:?}");
    let chosen = bench.run(&["service", "choose", "dispatch", "calm"]).await;
    assert_eq!(chosen.code, 0, "{chosen:?}");
    let shown = bench.run(&["service", "get", "dispatch"]).await.json();
    assert_eq!(shown["revision"], 2);
    assert_eq!(
        shown["body"],
        json!({ "profile": "calm", "address": "127.0.0.1:5683" })
    );
    let list = bench.run(&["service", "list"]).await.json();
    assert_eq!(list[0]["name"], "dispatch");
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_and_instances_are_drained_and_kept_after_all() {
    let mut bench = Bench::start().await;
    let wish = "godwitreel/drain/servers/d1";
    let drained = bench.run(&["server", "drain", "d1"]).await;
    assert_eq!(drained.code, 0, "{drained:?}");
    assert_eq!(bench.stored(wish).unwrap()["operator"], "alem");
    assert!(
        drained.json()["notes"][0]
            .as_str()
            .unwrap()
            .contains("not listed")
    );
    let again = bench.run_as("hana", &["server", "drain", "d1"]).await;
    assert_eq!(again.json()["wish"]["operator"], "alem");
    let undone = bench.run(&["server", "drain", "d1", "--undo"]).await;
    assert_eq!(undone.code, 0, "{undone:?}");
    assert_eq!(bench.stored(wish), None);

    let status = move || status("bole-1", json!({}));
    bench.instance("bole-1", status).await;
    let waited = bench
        .run(&["instance", "drain", "bole-1", "--wait=0"])
        .await;
    assert_eq!(waited.code, 4, "it is still home of slices: {waited:?}");
    let kept = bench
        .run(&["instance", "drain", "bole-1", "--undo", "--wait"])
        .await;
    assert_eq!(kept.code, 0, "{kept:?}");
}

// Guards against an order for a zone that nobody has, and against one that is taken for
// done while an instance does not act on it.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_evacuated_and_used_again() {
    let mut bench = Bench::start().await;
    let key = "godwitreel/drain/zones/kality";
    let unknown = bench.run(&["zone", "evacuate", "kality"]).await;
    assert_eq!(unknown.code, 1, "{unknown:?}");
    assert!(unknown.err.contains("no zone kality"), "{unknown:?}");
    assert_eq!(bench.stored(key), None);
    let server = json!({ "service": "dispatch", "zone": "kality", "address": "127.0.0.1:1",
        "health": "127.0.0.1:2", "slots": 2, "state": "up" });
    bench
        .platform
        .put("platform/servers/d1", server.to_string());
    bench
        .instance("bole-1", || status("bole-1", json!({})))
        .await;
    let order = ["zone", "evacuate", "kality", "--wait=0"];
    let waited = bench.run(&order).await;
    assert_eq!(waited.code, 4, "bole-1 does not act on it: {waited:?}");
    assert_eq!(waited.json()["wait"]["behind"], json!(["bole-1"]));
    assert_eq!(bench.stored(key).unwrap()["operator"], "alem");
    let again = bench.run_as("hana", &["zone", "evacuate", "kality"]).await;
    assert_eq!(again.json()["wish"]["operator"], "alem");
    let undone = bench
        .run(&["zone", "evacuate", "kality", "--undo", "--wait"])
        .await;
    assert_eq!(undone.code, 0, "{undone:?}");
    assert_eq!(bench.stored(key), None);
}

// The answer to taking a wish back is lost, and before the tool looks, another
// operator wishes the same again. The new wish must stand: a second, blind
// deletion would let a server that is leaving take work again.
#[tokio::test(flavor = "multi_thread")]
async fn a_wish_made_anew_survives_a_lost_undo() {
    let bench = Bench::start().await;
    let wish = "godwitreel/drain/servers/d1";
    bench.run(&["server", "drain", "d1"]).await;
    let anew = json!({ "operator": "hana", "write_id": "theirs" });
    bench.platform.lose_answers(1);
    bench.platform.slow(STEP);
    let arguments = ["server", "drain", "d1", "--undo"];
    let (refused, _) = tokio::join!(bench.run(&arguments), async {
        until(|| bench.stored(wish).is_none()).await;
        bench.platform.put(wish, anew.to_string());
    });
    assert_eq!(refused.code, 2, "{refused:?}");
    assert_eq!(refused.json()["wish"], anew);
    assert_eq!(bench.stored(wish), Some(anew));
}

// One instance answers, one is silent, and at the address of a third another
// one answers. The last two must be named, for a status that looks whole would
// hide that they were not asked.
#[tokio::test(flavor = "multi_thread")]
async fn status_and_explain_name_those_not_heard() {
    let mut bench = Bench::start().await;
    let fake = || status("bole-1", json!({ "profiles/open": 1 }));
    let address = bench.instance("bole-1", fake).await;
    bench.silent("bole-2").await;
    bench.instance("bole-3", fake).await;
    let partly = bench.run(&["status"]).await;
    assert_eq!(partly.code, 4, "{partly:?}");
    let partly = partly.json();
    assert_eq!(partly["heard"]["bole-1"]["homes"], 4);
    let silent = partly["silent"].as_array().unwrap().iter();
    let silent: Vec<_> = silent.map(|silence| &silence["instance"]).collect();
    assert_eq!(silent, ["bole-2", "bole-3"]);

    let arguments = [
        "explain",
        "--service",
        "dispatch",
        "--caller",
        "127.0.0.1:9",
    ];
    let account = bench.run(&arguments).await;
    assert_eq!(account.code, 4, "{account:?}");
    assert_eq!(account.json()["steps"][0]["instance"], "bole-1");

    // With the platform down the settings' addresses are asked, and the answer
    // is not taken for that of all instances.
    bench.platform.down(true);
    let text = json!({ "instances": { "bole-1": address } }).to_string();
    let file = bench.file("tool.jsonc", &text);
    let partly = bench
        .run(&["status", "--config", file.to_str().unwrap()])
        .await;
    assert_eq!(partly.code, 4, "{partly:?}");
    assert_eq!(partly.json()["heard"]["bole-1"]["homes"], 4);
    assert_eq!(bench.run(&["status"]).await.code, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_and_settings_are_checked_and_told() {
    let bench = Bench::start().await;
    assert_eq!(run(vec!["profile", "list"]).await.code, 1);
    assert_eq!(run(vec!["profile", "apply", "no/name", "x"]).await.code, 1);
    let file = bench.file("tool.jsonc", "{\n // Wrong.\n \"platfrom\": []\n}");
    let wrong = run(vec!["status", "--config", file.to_str().unwrap()]).await;
    assert_eq!(wrong.code, 1, "{wrong:?}");
    assert!(wrong.err.contains("tool.jsonc:3: platfrom"), "{wrong:?}");
    for shell in ["bash", "zsh", "fish"] {
        let script = run(vec!["completions", shell]).await;
        assert!(script.out.contains("--bpaf-complete-rev"), "{script:?}");
    }
    let help = run(vec!["--help"]).await;
    assert!(help.out.contains("5  Platform unreachable"), "{help:?}");
}
