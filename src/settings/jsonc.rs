//! JSON with comments, and errors that point at the field.
//!
//! Comments become spaces of the same length, so that every line keeps its
//! number. An error names file, line, field, value and what is allowed.

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

/// Longest value that an error shows, in characters.
const LONGEST_VALUE: usize = 80;

/// What is allowed for a field that stands twice.
const ONCE: &str = "each field once";

/// Fields that hold secrets, which must not end up in logs.
const SECRET: &str = "keys";

/// A refused field.
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

/// A file's text, without its comments.
pub(crate) struct Source {
    file: PathBuf,
    text: String,
}

impl Source {
    /// Strips the comments.
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

    /// Reads the text as a `T`.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        let mut deserializer = serde_json::Deserializer::from_str(&self.text);
        let value = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| self.explain(&e.path().to_string(), e.inner()))?;
        deserializer.end().map_err(|e| self.explain(".", &e))?;
        // Maps silently keep the last of two entries with one key, which would
        // leave an operator wondering why the first has no effect.
        match Fields::find(&self.text).doubled {
            Some(field) => Err(self.refuse(Refusal {
                value: self.value_at(&field),
                field,
                allowed: ONCE.to_owned(),
            })),
            None => Ok(value),
        }
    }

    /// The error for a field whose value is at odds with something.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Error {
        let fields = Fields::find(&self.text);
        let given = fields.lines.contains_key(&refusal.field);
        let value = match given {
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

    fn explain(&self, path: &str, error: &serde_json::Error) -> Error {
        let message = message(error);
        let path = if path == "." { "" } else { path };
        let missing = quoted_after(&message, "missing field");
        let unknown = quoted_after(&message, "unknown field");
        let doubled = quoted_after(&message, "duplicate field");
        let field = match missing.or(unknown).or(doubled) {
            Some(name) if !path.ends_with(name) => join(path, name),
            _ => path.to_owned(),
        };
        let value = match (missing, unknown) {
            (Some(_), _) => "missing".to_owned(),
            // The value may be a secret under a misspelt name.
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
        let pointer: String = field.split(['.', '[']).fold(String::new(), |all, part| {
            all + "/" + part.trim_end_matches(']')
        });
        let root: Value = serde_json::from_str(&self.text).unwrap_or_default();
        let value = root.pointer(&pointer).map(Value::to_string);
        let value = value.unwrap_or_else(|| "refused".to_owned());
        value.chars().take(LONGEST_VALUE).collect()
    }
}

fn is_secret(field: &str) -> bool {
    field == SECRET || field.starts_with(&format!("{SECRET}["))
}

/// Replaces comments by spaces; the library does so for the line ends inside of
/// block comments too, which are put back to keep the count of lines.
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

/// The library's message without the position that it appends.
fn message(error: &serde_json::Error) -> String {
    let full = error.to_string();
    let position = format!(" at line {} column {}", error.line(), error.column());
    full.strip_suffix(&position).unwrap_or(&full).to_owned()
}

fn quoted_after<'a>(message: &'a str, start: &str) -> Option<&'a str> {
    let rest = message.strip_prefix(start)?.trim_start();
    rest.strip_prefix('`')?.split('`').next()
}

fn allowed(message: &str) -> String {
    if message.starts_with("missing field") {
        return "a value".to_owned();
    }
    if message.starts_with("duplicate field") {
        return ONCE.to_owned();
    }
    // The standard library says what an address is not, but not what it is.
    if message.contains("socket address syntax") {
        return "an address as in 127.0.0.1:7100".to_owned();
    }
    if message.contains("IP address syntax") {
        return "an IP address as in 127.0.0.1".to_owned();
    }
    let wanted = message
        .rsplit_once("expected ")
        .or_else(|| message.rsplit_once("want "));
    wanted.map_or(message, |(_, wanted)| wanted).to_owned()
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}

/// Where each field stands.
struct Fields {
    lines: HashMap<String, usize>,
    doubled: Option<String>,
}

impl Fields {
    fn find(text: &str) -> Self {
        let mut scan = Scan::default();
        let mut rest = text.char_indices();
        while let Some((at, c)) = rest.next() {
            match c {
                '"' => scan.string(&text[at..], &mut rest),
                _ => scan.step(c),
            }
        }
        Self {
            lines: scan.lines,
            doubled: scan.doubled,
        }
    }

    /// Line of the field or, if it is not in the text, of what would hold it.
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

/// One level of nesting: the path of what stands there now.
enum Level {
    Object { key: Option<String> },
    Array { index: usize },
}

/// A walk over JSON text that notes lines and believes the syntax.
struct Scan {
    line: usize,
    levels: Vec<Level>,
    lines: HashMap<String, usize>,
    doubled: Option<String>,
}

impl Default for Scan {
    fn default() -> Self {
        Self {
            line: 1,
            levels: Vec::new(),
            lines: HashMap::new(),
            doubled: None,
        }
    }
}

impl Scan {
    fn step(&mut self, c: char) {
        match c {
            '\n' => self.line += 1,
            '{' => self.levels.push(Level::Object { key: None }),
            '[' => {
                self.levels.push(Level::Array { index: 0 });
                self.note();
            }
            '}' | ']' => {
                self.levels.pop();
            }
            ',' => self.next_item(),
            _ => {}
        }
    }

    fn next_item(&mut self) {
        match self.levels.last_mut() {
            Some(Level::Object { key }) => *key = None,
            Some(Level::Array { index }) => {
                *index += 1;
                self.note();
            }
            None => {}
        }
    }

    /// Reads a string; as the first thing of an object's item it is a key.
    fn string(&mut self, text: &str, rest: &mut std::str::CharIndices<'_>) {
        let mut escaped = false;
        let mut length = 1;
        for (_, c) in rest.by_ref() {
            length += c.len_utf8();
            match c {
                '"' if !escaped => break,
                '\n' => self.line += 1,
                _ => {}
            }
            escaped = c == '\\' && !escaped;
        }
        if let Some(Level::Object { key: key @ None }) = self.levels.last_mut() {
            let name: String = serde_json::from_str(&text[..length]).unwrap_or_default();
            *key = Some(name);
            self.note();
        }
    }

    fn note(&mut self) {
        let path = self.path();
        let taken = self.lines.insert(path.clone(), self.line).is_some();
        if taken && self.doubled.is_none() {
            self.doubled = Some(path);
        }
    }

    fn path(&self) -> String {
        self.levels
            .iter()
            .fold(String::new(), |path, level| match level {
                Level::Object { key } => join(&path, key.as_deref().unwrap_or_default()),
                Level::Array { index } => format!("{path}[{index}]"),
            })
    }
}
