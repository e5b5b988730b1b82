//! Parses JSON with comments and reports errors by field.
//!
//! Comments are replaced by spaces of the same length, so that line numbers stay
//! correct. An error names the file, line, field, value and the values allowed.

use std::collections::HashMap;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use json_comments::StripComments;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::document::Conflict;
use crate::error::Error;
use crate::error::Result;
use crate::key;

/// Maximum length of a value in an error, in characters; longer ones are truncated.
const MAX_VALUE_LEN: usize = 80;

/// Description of the allowed values in the error for a field that occurs twice.
const NO_DUPLICATES: &str = "each field once";

/// Field that holds secrets, which must not be logged.
const SECRET_FIELD: &str = "keys";

/// A refused field: its path, its value and the values allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) field: String,
    pub(crate) value: String,
    pub(crate) allowed: String,
}

impl From<Conflict> for Refusal {
    fn from(conflict: Conflict) -> Self {
        Self {
            field: conflict.field.to_owned(),
            value: conflict.value,
            allowed: conflict.allowed,
        }
    }
}

/// A file's text without comments.
pub(crate) struct Source {
    file: PathBuf,
    text: String,
}

impl Source {
    /// Strips the comments of a text.
    pub(crate) fn new(file: &Path, text: &str) -> Result<Self> {
        let stripped = strip(text).ok_or_else(|| Error::Field {
            file: file.to_owned(),
            line: text.lines().count(),
            field: "(file)".to_owned(),
            value: "unfinished comment or text".to_owned(),
            allowed: "JSON with // or /* */ comments".to_owned(),
        })?;
        Ok(Self {
            file: file.to_owned(),
            text: stripped,
        })
    }

    /// Parses the text as a `T`.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        let mut deserializer = serde_json::Deserializer::from_str(&self.text);
        let value = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| self.field_error(&e.path().to_string(), e.inner()))?;
        deserializer.end().map_err(|e| self.field_error(".", &e))?;
        // A map silently keeps the last of two entries with one key, and an operator would
        // not see why the first has no effect.
        match FieldLines::scan(&self.text).duplicate {
            Some(field) => Err(self.refuse(Refusal {
                value: self.value_at(&field),
                field,
                allowed: NO_DUPLICATES.to_owned(),
            })),
            None => Ok(value),
        }
    }

    /// The error for a field whose value a check refused.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Error {
        let fields = FieldLines::scan(&self.text);
        let is_set = fields.lines.contains_key(&refusal.field);
        let value = match is_set {
            _ if is_secret(&refusal.field) => "(hidden)".to_owned(),
            true => refusal.value,
            false => format!("{} (default)", refusal.value),
        };
        Error::Field {
            file: self.file.clone(),
            line: fields.line(&refusal.field),
            field: refusal.field,
            value,
            allowed: refusal.allowed,
        }
    }

    fn field_error(&self, path: &str, error: &serde_json::Error) -> Error {
        let message = message(error);
        let path = if path == "." { "" } else { path };
        let missing = quoted_after(&message, "missing field");
        let unknown = quoted_after(&message, "unknown field");
        let duplicate = quoted_after(&message, "duplicate field");
        let field = match missing.or(unknown).or(duplicate) {
            Some(name) if !path.ends_with(name) => join_path(path, name),
            _ => path.to_owned(),
        };
        let value = match (missing, unknown) {
            (Some(_), _) => "missing".to_owned(),
            // The value may be a secret under a misspelt field name.
            (_, Some(_)) => "unknown".to_owned(),
            _ if !error.is_data() => "unreadable".to_owned(),
            _ => self.value_at(&field),
        };
        let allowed = if is_secret(&field) {
            key::FORM.to_owned()
        } else {
            allowed(&message)
        };
        Error::Field {
            file: self.file.clone(),
            line: error.line(),
            field: if field.is_empty() {
                "(file)".to_owned()
            } else {
                field
            },
            value,
            allowed,
        }
    }

    fn value_at(&self, field: &str) -> String {
        if is_secret(field) {
            return "(hidden)".to_owned();
        }
        let pointer: String = field
            .split(['.', '['])
            .fold(String::new(), |pointer, part| {
                pointer + "/" + part.trim_end_matches(']')
            });
        let root: Value = serde_json::from_str(&self.text).unwrap_or_default();
        let value = root.pointer(&pointer).map(Value::to_string);
        let value = value.unwrap_or_else(|| "refused".to_owned());
        value.chars().take(MAX_VALUE_LEN).collect()
    }
}

fn is_secret(field: &str) -> bool {
    field == SECRET_FIELD || field.starts_with(&format!("{SECRET_FIELD}["))
}

/// Replaces comments by spaces. The library also replaces line ends inside block
/// comments; they are restored to keep the line numbers correct.
fn strip(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    StripComments::new(text.as_bytes())
        .read_to_end(&mut bytes)
        .ok()?;
    for (stripped, original) in bytes.iter_mut().zip(text.bytes()) {
        if original == b'\n' {
            *stripped = b'\n';
        }
    }
    String::from_utf8(bytes).ok()
}

/// The message of `serde_json` without the position that it appends.
fn message(error: &serde_json::Error) -> String {
    let full = error.to_string();
    let position = format!(" at line {} column {}", error.line(), error.column());
    full.strip_suffix(&position).unwrap_or(&full).to_owned()
}

fn quoted_after<'a>(message: &'a str, start: &str) -> Option<&'a str> {
    let remainder = message.strip_prefix(start)?.trim_start();
    remainder.strip_prefix('`')?.split('`').next()
}

fn allowed(message: &str) -> String {
    if message.starts_with("missing field") {
        return "a value".to_owned();
    }
    if message.starts_with("duplicate field") {
        return NO_DUPLICATES.to_owned();
    }
    // The standard library's messages do not describe the valid syntax.
    if message.contains("socket address syntax") {
        return "an address as in 127.0.0.1:7100".to_owned();
    }
    if message.contains("IP address syntax") {
        return "an IP address as in 127.0.0.1".to_owned();
    }
    let expected = message
        .rsplit_once("expected ")
        .or_else(|| message.rsplit_once("want "));
    expected
        .map_or(message, |(_, expected)| expected)
        .to_owned()
}

fn join_path(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}

/// Line number of each field, by path.
struct FieldLines {
    lines: HashMap<String, usize>,
    duplicate: Option<String>,
}

impl FieldLines {
    fn scan(text: &str) -> Self {
        let mut scanner = Scanner::default();
        let mut chars = text.char_indices();
        while let Some((at, c)) = chars.next() {
            match c {
                '"' => scanner.read_string(&text[at..], &mut chars),
                _ => scanner.step(c),
            }
        }
        Self {
            lines: scanner.lines,
            duplicate: scanner.duplicate,
        }
    }

    /// Line of the field or, if the text lacks it, of the nearest enclosing field.
    fn line(&self, field: &str) -> usize {
        let mut path = field;
        loop {
            if let Some(line) = self.lines.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return 1,
            }
        }
    }
}

/// One level of nesting, with the key or index of the current item.
enum Nesting {
    Object { key: Option<String> },
    Array { index: usize },
}

/// Scanner that records the line of each field. It assumes valid JSON.
struct Scanner {
    line: usize,
    nesting: Vec<Nesting>,
    lines: HashMap<String, usize>,
    duplicate: Option<String>,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            line: 1,
            nesting: Vec::new(),
            lines: HashMap::new(),
            duplicate: None,
        }
    }
}

impl Scanner {
    fn step(&mut self, c: char) {
        match c {
            '\n' => self.line += 1,
            '{' => self.nesting.push(Nesting::Object { key: None }),
            '[' => {
                self.nesting.push(Nesting::Array { index: 0 });
                self.record_line();
            }
            '}' | ']' => {
                self.nesting.pop();
            }
            ',' => self.next_item(),
            _ => {}
        }
    }

    fn next_item(&mut self) {
        match self.nesting.last_mut() {
            Some(Nesting::Object { key }) => *key = None,
            Some(Nesting::Array { index }) => {
                *index += 1;
                self.record_line();
            }
            None => {}
        }
    }

    /// Reads a string; the first string of an object's item is its key.
    fn read_string(&mut self, text: &str, chars: &mut std::str::CharIndices<'_>) {
        let mut escaped = false;
        let mut length = 1;
        for (_, c) in chars.by_ref() {
            length += c.len_utf8();
            match c {
                '"' if !escaped => break,
                '\n' => self.line += 1,
                _ => {}
            }
            escaped = c == '\\' && !escaped;
        }
        if let Some(Nesting::Object { key: key @ None }) = self.nesting.last_mut() {
            let name: String = serde_json::from_str(&text[..length]).unwrap_or_default();
            *key = Some(name);
            self.record_line();
        }
    }

    fn record_line(&mut self) {
        let path = self.path();
        let is_duplicate = self.lines.insert(path.clone(), self.line).is_some();
        if is_duplicate && self.duplicate.is_none() {
            self.duplicate = Some(path);
        }
    }

    fn path(&self) -> String {
        self.nesting
            .iter()
            .fold(String::new(), |path, level| match level {
                Nesting::Object { key } => join_path(&path, key.as_deref().unwrap_or_default()),
                Nesting::Array { index } => format!("{path}[{index}]"),
            })
    }
}
