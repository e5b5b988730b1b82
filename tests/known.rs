//! The list of tests whose known failures CI ignores.

use std::path::Path;

use assert_cmd::Command;
use tempfile::TempDir;

const TESTS: &str =
    "a_stop: test\nmodule::a_start: test\na_start_again: test\n\n3 tests, 0 benchmarks\n";

fn run_known_red(entries: &str) -> assert_cmd::assert::Assert {
    let folder = TempDir::new().expect("a folder");
    let list = folder.path().join("list");
    let tests = folder.path().join("tests");
    std::fs::write(&list, entries).expect("a list");
    std::fs::write(&tests, TESTS).expect("tests");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let mut command = Command::new("bash");
    command.args([&script, &list, &tests]).assert()
}

// An entry names a test by its whole name. If a part of the name matched, CI would
// also ignore failures of all other tests whose names contain that part.
#[test]
fn a_listed_test_is_passed_over_alone() {
    run_known_red("a_start: `cargo test`, seen twice; issue 1\n")
        .success()
        .stdout("module::a_start\n");
}

// An entry whose test was renamed or deleted has no effect any more, so CI must fail
// rather than accept it.
#[test]
fn an_entry_without_a_test_fails() {
    run_known_red("a_stop: seen once; issue 1\na_rest: seen once; issue 1\n")
        .failure()
        .stderr(predicates::str::contains("does not exist: a_rest"));
}

#[test]
fn an_empty_list_names_nothing() {
    run_known_red("").success().stdout("");
}
