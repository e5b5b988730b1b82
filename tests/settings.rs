//! Tests which settings and document files are accepted, and the error messages for
//! those that are not.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use godwitreel::Error;
use godwitreel::settings;
use godwitreel::settings::Daemon;
use godwitreel::settings::Level;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::sample::Index;

const SAMPLE: &str = r#"// A daemon.
{
    "instance": "bole-1", /* a comment
    over two lines */
    "zone": "bole",
    "peer": "127.0.0.1:7100",
    "status": "127.0.0.1:7101",
    "platform": ["http://127.0.0.1:7090"],
    "listeners": { "dispatch": "127.0.0.1:7102" },
    "keys": ["000102030405060708090a0b0c0d0e0f"],
    "heartbeat_ms": 1000,
    "probe": {
        "interval_ms": 500
    }
}"#;

fn parse(text: &str) -> Result<Daemon, Error> {
    Daemon::parse(Path::new("daemon.jsonc"), text)
}

/// Replaces one text in the sample, which must make it invalid, and returns the error's
/// line, field, value and allowed values.
fn field_error(from: &str, to: &str) -> (usize, String, String, String) {
    assert!(SAMPLE.contains(from), "{from} is missing in the sample");
    let error = parse(&SAMPLE.replacen(from, to, 1)).expect_err(to);
    match error {
        Error::Field {
            line,
            field,
            value,
            allowed,
            ..
        } => (line, field, value, allowed),
        other => panic!("{other}"),
    }
}

fn deploy_files(path: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    let files = fs::read_dir(root.join(path)).expect(path);
    files
        .map(|file| file.expect("a file").path())
        .filter(|file| file.is_file())
        .collect()
}

#[test]
fn sample_has_its_values_and_the_defaults() {
    let daemon = parse(SAMPLE).expect("the sample is valid");
    assert_eq!(daemon.keys[0].as_bytes(), (0..16).collect::<Vec<u8>>());
    assert_eq!(daemon.advertised(), daemon.peer);
    assert_eq!(daemon.limits.max_flows, 500_000);
    assert_eq!(daemon.probe.confirm_for_ms, 1_500);
    assert_eq!(daemon.outsider_wait_s, 1_980);
    assert_eq!(daemon.peer_bytes_per_second.to_string(), "2048/s");
    assert_eq!(daemon.log.level, Level::Info);
    assert!(
        !format!("{daemon:?}").contains("0a0b"),
        "the debug output contains a key"
    );
}

#[test]
fn refusals_name_line_field_and_value() {
    let cases = [
        (r#""bole-1""#, r#""bole 1""#, 3, "instance", r#""bole 1""#),
        (r#""bole","#, "7,", 5, "zone", "7"),
        ("127.0.0.1:7100", "127.0.0.1:0", 6, "peer", "127.0.0.1:0"),
        ("127.0.0.1:7100", "0.0.0.0:7100", 6, "peer", "0.0.0.0:7100"),
        ("127.0.0.1:7101", "127.0.0.1", 7, "status", r#""127.0.0.1""#),
        ("7101", "7100", 7, "status", "127.0.0.1:7100"),
        (
            "http:",
            "https:",
            8,
            "platform[0]",
            r#""https://127.0.0.1:7090""#,
        ),
        (r#"["http://127.0.0.1:7090"]"#, "[]", 8, "platform", "[]"),
        ("7102", "7101", 9, "listeners.dispatch", "127.0.0.1:7101"),
        (
            "127.0.0.1:7102",
            "0.0.0.0:7100",
            9,
            "listeners.dispatch",
            "0.0.0.0:7100",
        ),
        (
            r#""dispatch":"#,
            r#""a b":"#,
            9,
            "listeners.a b",
            r#""127.0.0.1:7102""#,
        ),
        (
            r#""dispatch":"#,
            r#""dispatch": "127.0.0.1:9", "dispatch":"#,
            9,
            "listeners.dispatch",
            r#""127.0.0.1:7102""#,
        ),
        ("0e0f", "0e", 10, "keys[0]", "(hidden)"),
        ("0e0f", "0e0x", 10, "keys[0]", "(hidden)"),
        ("\"keys\"", "\"key\"", 10, "key", "unknown"),
        ("1000", "1500", 1, "suspect_after_ms", "3000 (default)"),
        ("1000", "1", 11, "heartbeat_ms", "1"),
        ("1000", "-1", 11, "heartbeat_ms", "-1"),
        (
            "\"interval_ms\": 500",
            "\"interval_ms\": 5",
            13,
            "probe.interval_ms",
            "5",
        ),
        (
            "\"interval_ms\"",
            "\"intervall_ms\"",
            13,
            "probe.intervall_ms",
            "unknown",
        ),
    ];
    for (from, to, line, field, value) in cases {
        let found = field_error(from, to);
        assert_eq!(
            (found.0, found.1.as_str(), found.2.as_str()),
            (line, field, value),
            "{from} -> {to}"
        );
    }
}

#[test]
fn refusals_say_what_is_allowed() {
    let extra = |field: &str| format!("{field}, \"heartbeat_ms\"");
    let cases = [
        (r#""workers": 0"#, "1 to 64"),
        (r#""workers": 65"#, "1 to 64"),
        (r#""slices": 1000"#, "a power of two, 16 to 65536"),
        (
            r#""suspect_after_ms": 2000"#,
            "more than twice heartbeat_ms (1000)",
        ),
        (
            r#""outsider_wait_s": 1800"#,
            "more than isolation_limit_s (1800)",
        ),
        (r#""stop_grace_s": 0"#, "1 to 3600"),
        (r#""limits": {"max_datagram": 100}"#, "576 to 65507"),
        (r#""peer_bytes_per_second": 1"#, "256 to 10000000"),
        (r#""backend_bind": "bole""#, "an IP address as in 127.0.0.1"),
        (
            r#""peer_advertise": "bole""#,
            "an address as in 127.0.0.1:7100",
        ),
        (
            r#""peer_advertise": "127.0.0.1:7102""#,
            "an address other than that of listeners.dispatch",
        ),
        (
            r#""log": {"level": "loud"}"#,
            "one of `critical`, `error`, `warning`, `info`, `debug`, `trace`",
        ),
        (
            r#""log": {"modules": {"a b": "info"}}"#,
            "a module's path as in godwitreel::platform",
        ),
    ];
    for (field, allowed) in cases {
        let found = field_error("\"heartbeat_ms\"", &extra(field));
        assert_eq!((found.0, found.3.as_str()), (11, allowed), "{field}");
    }
    let unknown = field_error("\"zone\"", "\"sone\"");
    assert_eq!((unknown.0, unknown.1.as_str()), (5, "sone"));
    assert!(unknown.3.contains("`zone`"), "{}", unknown.3);
    let twice = field_error("\"zone\"", "\"zone\": \"ayat\", \"zone\"");
    assert_eq!(
        (twice.1.as_str(), twice.3.as_str()),
        ("zone", "each field once")
    );
    let missing = field_error("\"zone\": \"bole\",", "");
    assert_eq!(
        (missing.1.as_str(), missing.2.as_str()),
        ("zone", "missing")
    );
}

#[test]
fn broken_text_is_refused_with_its_line() {
    assert_eq!(field_error("\"bole\",", "\"bole\"").0, 6);
    assert_eq!(field_error("// A daemon.", "/ A daemon.").1, "(file)");
    assert_eq!(field_error("    }\n}", "    }\n} x").0, 15);
}

#[test]
fn documents_are_refused_with_line_and_field() {
    let file = Path::new("p.jsonc");
    let text = "{\n// why\n\"balance_weight\": 101 }";
    let error = settings::profile(file, text).expect_err("out of range");
    assert_eq!(
        error.to_string(),
        "p.jsonc:3: balance_weight: 101: want 0 to 100"
    );
    let text = "{\n\"objective\": {\n\"good_percent\": 100 } }";
    let error = settings::profile(file, text).expect_err("out of range");
    assert!(
        error
            .to_string()
            .starts_with("p.jsonc:3: objective.good_percent: 100: ")
    );
    let text = "{ \"profile\": \"p\",\n\"address\": \"0.0.0.0:1\" }";
    let error = settings::service(file, text).expect_err("address is unspecified");
    assert!(
        error
            .to_string()
            .starts_with("p.jsonc:2: address: 0.0.0.0:1: ")
    );
}

#[test]
fn sample_deployments_are_accepted() {
    for (customer, instances) in [("abay", 8), ("naukluft", 7)] {
        let mut addresses = Vec::new();
        for file in deploy_files(customer) {
            let daemon = Daemon::load(&file).unwrap_or_else(|e| panic!("{e}"));
            let stem = file.file_stem().and_then(|stem| stem.to_str());
            assert_eq!(stem, Some(daemon.instance.as_str()));
            addresses.extend([daemon.peer, daemon.status]);
            addresses.extend(daemon.listeners.values());
        }
        let total = addresses.len();
        addresses.sort();
        addresses.dedup();
        assert_eq!((total, addresses.len()), (instances * 4, instances * 4));
        check_documents(customer);
    }
}

fn check_documents(customer: &str) {
    let read = |file: &PathBuf| settings::read(file).expect("a file");
    let profiles = deploy_files(&format!("{customer}/profiles"));
    for file in &profiles {
        settings::profile(file, &read(file)).unwrap_or_else(|e| panic!("{e}"));
    }
    for file in deploy_files(&format!("{customer}/services")) {
        let service = settings::service(&file, &read(&file)).unwrap_or_else(|e| panic!("{e}"));
        let chosen = file.with_file_name(format!("../profiles/{}.jsonc", service.profile));
        assert!(chosen.exists(), "{} is chosen", service.profile);
    }
}

proptest! {
    #[test]
    fn any_text_is_accepted_or_refused(text in any::<String>()) {
        let file = Path::new("any.jsonc");
        let _ = Daemon::parse(file, &text);
        let _ = settings::profile(file, &text);
        let _ = settings::service(file, &text);
    }

    #[test]
    fn any_damage_to_the_sample_is_accepted_or_refused(
        at in any::<Index>(),
        length in 0_usize..20,
        new in any::<String>(),
    ) {
        let start = at.index(SAMPLE.len());
        let end = (start + length).min(SAMPLE.len());
        let _ = parse(&format!("{}{new}{}", &SAMPLE[..start], &SAMPLE[end..]));
    }
}
