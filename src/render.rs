//! Renders results as tables for people and as JSON for programs.
//!
//! JSON holds the whole result; tables leave out details.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;
use serde_json::Value;

use crate::command::change::Change;
use crate::command::change::Outcome;
use crate::command::drain;
use crate::command::drain::Drain;
use crate::document;
use crate::document::Envelope;
use crate::entry;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::FleetAnswers;
use crate::fleet::UnansweredInstance;
use crate::id;
use crate::query::departure::Departure;
use crate::query::evacuation::Evacuation;
use crate::query::explain::CallerHistory;
use crate::query::profile::Diff;
use crate::query::profile::fields;
use crate::query::rollout::Rollout;
use crate::query::stored::ListedDocument;
use crate::status;
use crate::status::Status;

/// Shown in place of a missing value.
const NO_VALUE: &str = "-";

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    #[default]
    Table,
    /// One JSON value.
    Json,
}

impl FromStr for Output {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(Error::Decode {
                step: "output",
                peer: text.to_owned(),
                reason: "want table or json".to_owned(),
            }),
        }
    }
}

impl fmt::Display for Output {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Table => "table",
            Self::Json => "json",
        })
    }
}

impl Output {
    /// Formats a result; `table` renders it for [`Output::Table`].
    pub fn text<T: Serialize>(self, result: &T, table: impl FnOnce(&T) -> String) -> String {
        match self {
            Self::Table => table(result),
            // Results are plain data with string keys, whose conversion to JSON cannot fail.
            Self::Json => serde_json::to_string_pretty(result).unwrap_or_default(),
        }
    }
}

fn new_table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY).set_header(header);
    table
}

fn optional(value: Option<impl ToString>) -> String {
    value.map_or_else(|| NO_VALUE.to_owned(), |value| value.to_string())
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Joins the non-empty parts with newlines.
fn join_lines(parts: impl IntoIterator<Item = String>) -> String {
    let parts: Vec<_> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    parts.join("\n")
}

/// State of an entry instance: the instance, evacuated zones, servers, refused entries,
/// classes of the routes, routes without a class.
pub fn view(view: &entry::Status) -> String {
    let mut head = new_table([
        "instance",
        "zone",
        "ready",
        "configuration",
        "flows",
        "age ms",
        "from",
    ]);
    head.add_row([
        view.instance.to_string(),
        view.zone.to_string(),
        yes_no(view.is_ready).to_owned(),
        view.version.to_string(),
        view.flows.to_string(),
        optional(view.contact_age_ms),
        view.upstream
            .as_ref()
            .map_or("store".to_owned(), ToString::to_string),
    ]);
    let mut evacuated = new_table(["evacuated zone", "known ms"]);
    for evacuation in &view.evacuated {
        evacuated.add_row([evacuation.zone.to_string(), evacuation.known_ms.to_string()]);
    }
    let evacuated = (!view.evacuated.is_empty()).then(|| evacuated.to_string());
    let mut servers = new_table([
        "server",
        "service",
        "zone",
        "state",
        "missing ms",
        "heard ms",
        "misses",
        "bad %",
        "requests",
        "flows",
    ]);
    for server in &view.servers {
        servers.add_row([
            server.server.to_string(),
            server.service.to_string(),
            server.zone.to_string(),
            server.state().to_owned(),
            optional(server.missing_ms),
            optional(server.heard_ms),
            server.misses.to_string(),
            server.bad_percent.to_string(),
            server.outstanding.to_string(),
            server.flows.to_string(),
        ]);
    }
    let mut load = new_table(["service", "load %", "slots", "waiting", "refused"]);
    for service in &view.load {
        load.add_row([
            service.service.to_string(),
            service.load_percent.to_string(),
            service.slots.to_string(),
            service.waiting.to_string(),
            service.refused.to_string(),
        ]);
    }
    let load = (!view.load.is_empty()).then(|| load.to_string());
    let mut refused = new_table(["refused entry", "reason"]);
    for refusal in &view.refused {
        refused.add_row([&refusal.key, &refusal.reason]);
    }
    let refused = (!view.refused.is_empty()).then(|| refused.to_string());
    join_lines(
        [
            Some(head.to_string()),
            evacuated,
            Some(servers.to_string()),
            load,
            refused,
            classes(view),
            invalid_classes(view),
        ]
        .into_iter()
        .flatten(),
    )
}

fn classes(view: &entry::Status) -> Option<String> {
    let mut table = new_table([
        "route",
        "address",
        "priority",
        "objective ms",
        "deadline ms",
        "idempotent",
    ]);
    for class in &view.classes {
        table.add_row([
            class.route.clone(),
            class.address.to_string(),
            class.priority.to_string(),
            class.objective_ms.to_string(),
            class.deadline_ms.to_string(),
            yes_no(class.is_idempotent).to_owned(),
        ]);
    }
    (!view.classes.is_empty()).then(|| table.to_string())
}

fn invalid_classes(view: &entry::Status) -> Option<String> {
    let mut table = new_table(["route without a class", "reason"]);
    for invalid in &view.invalid_classes {
        table.add_row([&invalid.route, &invalid.reason]);
    }
    (!view.invalid_classes.is_empty()).then(|| table.to_string())
}

/// One document, with a row for each field.
pub fn envelope<T: Serialize>(envelope: &Envelope<T>) -> String {
    let mut table = new_table(["field", "value"]);
    table.add_row(["(revision)", &envelope.revision.to_string()]);
    table.add_row(["(operator)", envelope.operator.as_str()]);
    for (field, value) in fields(&envelope.body) {
        table.add_row([field, format_value(&value)]);
    }
    table.to_string()
}

/// A list of profiles, or the history of one.
pub fn profiles(documents: &[ListedDocument<document::Profile>]) -> String {
    let mut table = new_table(["name", "revision", "operator", "policy", "deadline", "note"]);
    for listed in documents {
        let document = listed.document.as_ref();
        table.add_row([
            listed.name.clone(),
            optional(document.map(|d| d.revision)),
            optional(document.map(|d| &d.operator)),
            optional(document.and_then(|d| fields(&d.body).get("policy").map(format_value))),
            optional(document.map(|d| format!("{} ms", d.body.deadline_ms))),
            listed.unreadable.clone().unwrap_or_default(),
        ]);
    }
    table.to_string()
}

/// A list of services.
pub fn services(documents: &[ListedDocument<document::Service>]) -> String {
    let mut table = new_table(["name", "revision", "operator", "profile", "address", "note"]);
    for listed in documents {
        let document = listed.document.as_ref();
        table.add_row([
            listed.name.clone(),
            optional(document.map(|d| d.revision)),
            optional(document.map(|d| &d.operator)),
            optional(document.map(|d| &d.body.profile)),
            optional(document.map(|d| d.body.address)),
            listed.unreadable.clone().unwrap_or_default(),
        ]);
    }
    table.to_string()
}

/// Differences between a stored profile and a file.
pub fn diff(diff: &Diff) -> String {
    if diff.differences.is_empty() {
        return format!("same as revision {} by {}", diff.revision, diff.operator);
    }
    let stored = format!("revision {} by {}", diff.revision, diff.operator);
    let mut table = new_table(["field", &stored, "file"]);
    for difference in &diff.differences {
        let (stored, file) = (&difference.stored, &difference.file);
        table.add_row([
            &difference.field,
            &format_value(stored),
            &format_value(file),
        ]);
    }
    table.to_string()
}

/// A change and its outcome.
pub fn change<T: Serialize>(change: &Change<T>) -> String {
    let document = &change.document;
    let summary = match &change.outcome {
        Outcome::Accepted { ours, replaced_by } => {
            let accepted = format!("accepted: {document} revision {}", ours.revision);
            let replaced = replaced_by.as_ref().map(|later| {
                let (revision, operator) = (later.revision, &later.operator);
                format!("replaced since by revision {revision} of {operator}")
            });
            join_lines([accepted, replaced.unwrap_or_default()])
        }
        Outcome::Refused { ours, first } => join_lines([
            format!("refused: {document}: another change was accepted first"),
            compare_documents(ours, first.as_ref(), "accepted first"),
        ]),
        Outcome::Unknown { ours, found } => join_lines([
            format!(
                "unknown: {document}: no answer, and the outcome could not be read back; \
                 our change may be in force or may still take effect"
            ),
            compare_documents(ours, found.as_ref(), "found"),
        ]),
    };
    join_lines([summary, format_notes(&change.notes)])
}

/// Compares the two documents of a lost race, with a row for each field.
fn compare_documents<T: Serialize>(
    ours: &Envelope<T>,
    theirs: Option<&Envelope<T>>,
    their_title: &str,
) -> String {
    let mut table = new_table(["field", "ours", their_title]);
    let their_fields = theirs.map(|theirs| fields(&theirs.body));
    table.add_row([
        "(revision)".to_owned(),
        ours.revision.to_string(),
        optional(theirs.map(|theirs| theirs.revision)),
    ]);
    table.add_row([
        "(operator)".to_owned(),
        ours.operator.to_string(),
        optional(theirs.map(|theirs| &theirs.operator)),
    ]);
    for (field, value) in fields(&ours.body) {
        let theirs = their_fields.as_ref().and_then(|fields| fields.get(&field));
        table.add_row([
            field,
            format_value(&value),
            optional(theirs.map(format_value)),
        ]);
    }
    table.to_string()
}

/// Progress of a change toward all instances.
pub fn rollout(rollout: &Rollout) -> String {
    let (document, revision) = (&rollout.document, rollout.revision);
    if rollout.is_complete() {
        let count = rollout.in_force.len();
        return format!("in force at all {count} instances: {document} revision {revision}");
    }
    let mut table = new_table(["instance", "in force", "note"]);
    for instance in &rollout.in_force {
        table.add_row([instance.as_str(), "yes", ""]);
    }
    for behind in &rollout.behind {
        let found = format!("no: has revision {}", optional(behind.revision));
        let refused = behind.refused.clone().unwrap_or_default();
        table.add_row([behind.instance.as_str(), &found, &refused]);
    }
    for unanswered in &rollout.silent {
        table.add_row([&unanswered.instance, "not heard", &unanswered.reason]);
    }
    join_lines([
        format!("not in force everywhere yet: {document} revision {revision}"),
        table.to_string(),
        incomplete_list_note(rollout.unlisted.as_deref()),
    ])
}

/// A drain or evacuation order and its outcome.
pub fn drain(drain: &Drain) -> String {
    let document = &drain.document;
    let operator = optional(drain.wish.as_ref().map(|wish| &wish.operator));
    let summary = match (drain.outcome, drain.undo) {
        (drain::Outcome::Accepted, false) => format!("accepted: {document} by {operator}"),
        (drain::Outcome::Accepted, true) => format!("accepted: {document} is gone"),
        (drain::Outcome::Refused, false) => {
            format!("refused: {document}: another order was accepted first")
        }
        (drain::Outcome::Refused, true) => {
            format!("refused: {document}: {operator} has given the order again")
        }
        (drain::Outcome::Unknown, _) => {
            format!("unknown: {document}: no answer, and the outcome could not be read back")
        }
    };
    join_lines([summary, format_notes(&drain.notes)])
}

/// Progress of a draining instance.
pub fn departure(departure: &Departure) -> String {
    let reached = if departure.reached { "done" } else { "not yet" };
    format!("{reached}: {}: {}", departure.instance, departure.seen)
}

/// Progress of an evacuation order.
pub fn evacuation(evacuation: &Evacuation) -> String {
    let zone = &evacuation.zone;
    let order = match evacuation.is_evacuated {
        true => "evacuated",
        false => "in use again",
    };
    if evacuation.is_complete() {
        let count = evacuation.in_force.len();
        return format!("{zone} is {order} at all {count} instances");
    }
    let mut table = new_table(["instance", "in force", "note"]);
    for instance in &evacuation.in_force {
        table.add_row([instance.as_str(), "yes", ""]);
    }
    for instance in &evacuation.behind {
        table.add_row([instance.as_str(), "no", ""]);
    }
    for unanswered in &evacuation.silent {
        table.add_row([&unanswered.instance, "not heard", &unanswered.reason]);
    }
    join_lines([
        format!("{zone} is not {order} everywhere yet"),
        table.to_string(),
        incomplete_list_note(evacuation.unlisted.as_deref()),
    ])
}

/// State of every instance.
pub fn status(answers: &FleetAnswers<Status>) -> String {
    let mut table = new_table([
        "instance", "zone", "ready", "leaving", "homes", "backups", "alone", "requests", "feeds",
        "platform",
    ]);
    for status in answers.heard.values() {
        let silent_ms = status.platform_silent_ms;
        table.add_row([
            status.holder.to_string(),
            status.zone.to_string(),
            yes_no(status.ready).to_owned(),
            yes_no(status.leaving).to_owned(),
            status.homes.to_string(),
            status.backups.to_string(),
            status.alone.to_string(),
            status.in_progress.to_string(),
            status.feeds.to_string(),
            optional(silent_ms.map(|silent_ms| format!("{silent_ms} ms ago"))),
        ]);
    }
    join_lines([
        table.to_string(),
        servers(answers),
        documents(answers),
        missing_instances(&answers.silent, answers.unlisted.as_deref()),
    ])
}

/// State of each backend server, summed over the instances.
fn servers(answers: &FleetAnswers<Status>) -> String {
    let mut totals: BTreeMap<&id::Server, ServerTotals<'_>> = BTreeMap::new();
    let seen = answers.heard.values().flat_map(|status| &status.servers);
    for server in seen {
        totals.entry(&server.id).or_default().add(server);
    }
    let mut table = new_table([
        "server",
        "service",
        "zone",
        "takes work",
        "leaving",
        "requests",
        "feeds",
    ]);
    for (name, total) in &totals {
        table.add_row([
            name.to_string(),
            optional(total.sample.map(|server| &server.service)),
            optional(total.sample.map(|server| &server.zone)),
            format!("at {} of {}", total.takes_work, total.instances),
            format!("at {} of {}", total.leaving, total.instances),
            total.requests.to_string(),
            total.feeds.to_string(),
        ]);
    }
    match table.row_count() {
        0 => String::new(),
        _ => table.to_string(),
    }
}

/// State of one backend server, summed over the instances that report it.
#[derive(Default)]
struct ServerTotals<'a> {
    sample: Option<&'a status::Server>,
    instances: u32,
    takes_work: u32,
    leaving: u32,
    requests: u32,
    feeds: u32,
}

impl<'a> ServerTotals<'a> {
    fn add(&mut self, server: &'a status::Server) {
        self.sample = Some(server);
        self.instances += 1;
        self.takes_work += u32::from(server.takes_work);
        self.leaving += u32::from(server.leaving);
        self.requests += server.outstanding;
        self.feeds += server.feeds;
    }
}

/// Revisions in force and refused, with a row for each document and instance.
fn documents(answers: &FleetAnswers<Status>) -> String {
    let mut table = new_table(["instance", "document", "revision", "refused"]);
    for (instance, status) in &answers.heard {
        let refused_only = status.refused.keys();
        let documents: std::collections::BTreeSet<_> =
            status.revisions.keys().chain(refused_only).collect();
        for document in documents {
            table.add_row([
                instance.to_string(),
                document.clone(),
                optional(status.revisions.get(document)),
                optional(status.refused.get(document)),
            ]);
        }
    }
    match table.row_count() {
        0 => String::new(),
        _ => table.to_string(),
    }
}

/// Decisions made for a caller.
pub fn caller_history(history: &CallerHistory) -> String {
    let mut table = new_table([
        "age", "instance", "reason", "request", "slice", "epoch", "revision", "server", "took",
    ]);
    for step in &history.steps {
        let trace = &step.trace;
        table.add_row([
            format!("{} ms", trace.age_ms),
            step.instance.to_string(),
            trace.reason.clone(),
            optional(trace.request.as_ref()),
            optional(trace.slice),
            optional(trace.epoch),
            optional(trace.revision),
            optional(trace.server.as_ref()),
            optional(trace.elapsed_ms.map(|elapsed| format!("{elapsed} ms"))),
        ]);
    }
    let missing = missing_instances(&history.silent, history.unlisted.as_deref());
    join_lines([table.to_string(), missing])
}

fn missing_instances(silent: &[UnansweredInstance], reason: Option<&str>) -> String {
    let silent = silent
        .iter()
        .map(|unanswered| format!("not heard: {}: {}", unanswered.instance, unanswered.reason));
    join_lines(silent.chain([incomplete_list_note(reason)]))
}

fn incomplete_list_note(reason: Option<&str>) -> String {
    reason.map_or_else(String::new, |reason| {
        format!("the list of instances may be incomplete: {reason}")
    })
}

fn format_notes(notes: &[String]) -> String {
    join_lines(notes.iter().map(|note| format!("note: {note}")))
}
