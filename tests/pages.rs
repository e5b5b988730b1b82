//! The operators' page lists every metric and reason code with its meaning.

use std::collections::BTreeMap;
use std::path::Path;

use godwitreel::metric::NAMES;
use godwitreel::reason::Reason;

/// Parses the table under a heading. Its first column holds a code, its second one
/// the meaning.
fn table_rows(page: &str, heading: &str) -> BTreeMap<String, String> {
    page.lines()
        .skip_while(|line| *line != heading)
        .skip(1)
        .take_while(|line| !line.starts_with("## "))
        .filter_map(|line| line.strip_prefix("| `")?.strip_suffix(" |"))
        .filter_map(|row| row.split_once("` | "))
        .map(|(code, meaning)| (code.to_owned(), meaning.to_owned()))
        .collect()
}

fn operations_page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/OPERATIONS.md");
    std::fs::read_to_string(path).expect("the page")
}

#[test]
fn every_metric_is_on_the_page_with_its_meaning() {
    let expected: BTreeMap<String, String> = NAMES
        .iter()
        .map(|(name, meaning)| ((*name).to_owned(), format!("{meaning}.")))
        .collect();
    assert_eq!(table_rows(&operations_page(), "## Metrics"), expected);
}

#[test]
fn every_reason_code_is_on_the_page_with_its_meaning() {
    let expected: BTreeMap<String, String> = Reason::ALL
        .iter()
        .map(|reason| (reason.code().to_owned(), reason.meaning().to_owned()))
        .collect();
    assert_eq!(table_rows(&operations_page(), "## Reason codes"), expected);
}
