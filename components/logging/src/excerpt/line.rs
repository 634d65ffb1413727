//! Lines of logs.

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::{Map, Value};

/// Keys of a line in JSON that are not fields of the event.
const JSON_HEAD_KEYS: [&str; 4] = ["timestamp", "level", "message", "target"];

/// A line of a log, parsed from either format.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Name of the log.
    pub log: String,
    /// Time of the event, in the format of RFC 3339.
    pub time: String,
    /// Level, such as `INFO`.
    pub level: CompactString,
    /// Message, with the prefix of the part that logged it.
    pub message: String,
    /// Fields of the event, by name.
    pub fields: IndexMap<CompactString, String>,
}

impl Line {
    /// Parses a line in either format. Returns `None` if it is not a log line.
    pub fn parse(log: &str, line: &str) -> Option<Self> {
        match line.trim_start().starts_with('{') {
            true => Self::parse_json(log, line),
            false => Self::parse_text(log, line),
        }
    }

    /// Reports whether a field has the value `id`.
    pub fn mentions(&self, id: &str) -> bool {
        self.fields.values().any(|value| value == id)
    }

    fn parse_json(log: &str, line: &str) -> Option<Self> {
        let object: Map<String, Value> = serde_json::from_str(line).ok()?;
        let head = |key: &str| object.get(key).and_then(Value::as_str).map(str::to_owned);
        let is_field = |key: &str| !JSON_HEAD_KEYS.contains(&key);
        let fields = object.iter().filter(|(key, _)| is_field(key));
        Some(Line {
            log: log.to_owned(),
            time: head("timestamp")?,
            level: head("level")?.into(),
            message: head("message").unwrap_or_default(),
            fields: fields
                .map(|(key, value)| (key.into(), to_text(value)))
                .collect(),
        })
    }

    fn parse_text(log: &str, line: &str) -> Option<Self> {
        let (time, rest) = line.split_once(' ')?;
        let (level, rest) = rest.trim_start().split_once(' ')?;
        let is_time = time.starts_with(|c: char| c.is_ascii_digit()) && time.contains('T');
        let (message, fields) = split_fields(rest);
        is_time.then(|| Line {
            log: log.to_owned(),
            time: time.to_owned(),
            level: level.into(),
            message: message.trim().to_owned(),
            fields,
        })
    }
}

fn to_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Splits `message key=value key="quoted value"` into the message and its fields.
fn split_fields(text: &str) -> (&str, IndexMap<CompactString, String>) {
    let mut fields = IndexMap::new();
    let mut message = text;
    let mut rest = text;
    while let Some((start, key, value, after)) = next_field(rest) {
        if fields.is_empty() {
            message = &rest[..start];
        }
        fields.insert(key.into(), value);
        rest = after;
    }
    (message, fields)
}

/// Finds the first `key=value`. Returns its start, the key, the value, and the text after it.
fn next_field(text: &str) -> Option<(usize, &str, String, &str)> {
    let is_key = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    let mut searched = 0;
    loop {
        let equals = searched + text[searched..].find('=')?;
        let start = text[..equals].rfind(' ').map_or(0, |space| space + 1);
        let key = &text[start..equals];
        if !key.is_empty() && key.chars().all(is_key) {
            let (value, after) = split_value(&text[equals + 1..]);
            return Some((start, key, value, after));
        }
        searched = equals + 1;
    }
}

fn split_value(text: &str) -> (String, &str) {
    let quoted = serde_json::Deserializer::from_str(text).into_iter::<String>();
    let mut quoted = quoted;
    match (text.starts_with('"'), quoted.next()) {
        (true, Some(Ok(value))) => {
            let end = quoted.byte_offset();
            (value, &text[end..])
        }
        _ => {
            let end = text.find(' ').unwrap_or(text.len());
            (text[..end].to_owned(), &text[end..])
        }
    }
}
