//! A parsed call, and the bodies that are sent to engines for it.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use config::ids::ModelId;
use config::text::Priority;
use serde_json::{Map, Value};
use upstream::blocks::{self, BlockHash};
use upstream::prompt;

use crate::failure::{Failure, Kind};
use crate::stream::Shape;

/// Generated tokens counted against limits where the caller names no bound.
const DEFAULT_MAX_TOKENS: usize = 256;
/// Fields that only the system sets.
const RESERVED: [&str; 6] = [
    "stream",
    "stream_options",
    "request_id",
    "priority",
    "resume_tokens",
    "kv_handle",
];

/// A call of a model.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Which API was called.
    pub shape: Shape,
    /// Model or adapter.
    pub model: ModelId,
    /// Whether the caller wants events.
    pub stream: bool,
    /// Hashes of the prompt's whole blocks.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Bound of the generated tokens.
    pub max_tokens: usize,
    open_body: Bytes,
}

impl Call {
    /// Parses a body.
    ///
    /// # Errors
    /// Says what is wrong and where.
    pub(crate) fn parse(shape: Shape, body: &[u8]) -> Result<Self, Failure> {
        let mut fields: Map<String, Value> = serde_json::from_slice(body).map_err(malformed)?;
        let model = match fields.get("model") {
            Some(Value::String(model)) => ModelId::from(model.as_str()),
            _ => return Err(invalid("field \"model\" must be a text")),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("field \"stream\" must be true or false")),
        };
        match fields.get("n") {
            None | Some(Value::Null) => {}
            Some(n) if n.as_u64() == Some(1) => {}
            Some(_) => return Err(invalid("field \"n\" must be 1")),
        }
        let prompt = render(shape, &fields)?;
        let max_tokens = max_tokens(&fields)?;
        for name in RESERVED {
            fields.remove(name);
        }
        let mut open_body = Value::Object(fields).to_string();
        open_body.pop();
        Ok(Call {
            shape,
            stream,
            blocks: blocks::hashes(&model, &prompt),
            prompt_tokens: blocks::tokens(&prompt),
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            model,
            open_body: open_body.into(),
        })
    }

    /// Returns the path on the engine.
    pub(crate) fn path(&self) -> &'static str {
        match self.shape {
            Shape::Chat => "/v1/chat/completions",
            Shape::Completion => "/v1/completions",
        }
    }

    /// Returns the body for one attempt, which goes on after the tokens generated already.
    pub(crate) fn body(
        &self,
        attempt: &str,
        priority: Priority,
        resume: &[CompactString],
        kv_handle: Option<&str>,
    ) -> Bytes {
        let mut body = self.open_body.to_vec();
        let priority = priority as u8;
        body.extend(format!(",\"stream\":true,\"priority\":{priority},\"request_id\":").bytes());
        push_json(&mut body, &attempt);
        if !resume.is_empty() {
            body.extend(b",\"resume_tokens\":");
            push_json(&mut body, &resume);
        }
        if let Some(handle) = kv_handle {
            body.extend(b",\"kv_handle\":");
            push_json(&mut body, &handle);
        }
        body.push(b'}');
        body.into()
    }
}

fn push_json<T: serde::Serialize>(body: &mut Vec<u8>, value: &T) {
    serde_json::to_writer(body, value).expect("text is written to memory");
}

fn render(shape: Shape, fields: &Map<String, Value>) -> Result<String, Failure> {
    match shape {
        Shape::Chat => render_chat(fields),
        Shape::Completion => match fields.get("prompt") {
            Some(Value::String(prompt)) => Ok(prompt.clone()),
            _ => Err(invalid("field \"prompt\" must be a text")),
        },
    }
}

fn render_chat(fields: &Map<String, Value>) -> Result<String, Failure> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => {
            return Err(invalid(
                "field \"messages\" must be a list that is not empty",
            ));
        }
    };
    let mut rendered = String::new();
    for (index, message) in messages.iter().enumerate() {
        let at = |what: &str| invalid(&format_compact!("field \"messages[{index}].{what}"));
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| at("role\" must be a text"))?;
        let content = match message.get("content") {
            Some(Value::String(text)) => text.clone(),
            Some(Value::Array(parts)) => parts
                .iter()
                .filter_map(|part| part.get("text").and_then(Value::as_str))
                .collect(),
            Some(Value::Null) => String::new(),
            _ => return Err(at("content\" must be a text or a list of parts")),
        };
        prompt::push_message(&mut rendered, role, &content);
    }
    Ok(rendered)
}

fn max_tokens(fields: &Map<String, Value>) -> Result<Option<usize>, Failure> {
    let given = fields
        .get("max_tokens")
        .or_else(|| fields.get("max_completion_tokens"));
    match given {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().and_then(|n| usize::try_from(n).ok()) {
            Some(count) if count > 0 => Ok(Some(count)),
            _ => Err(invalid(
                "field \"max_tokens\" must be a whole number above 0",
            )),
        },
    }
}

fn invalid(message: &str) -> Failure {
    Failure::new(Kind::Invalid, message)
}

fn malformed(error: serde_json::Error) -> Failure {
    let (line, column) = (error.line(), error.column());
    let what = match error.classify() {
        serde_json::error::Category::Eof => "the body ends inside a JSON value",
        serde_json::error::Category::Data => "the body must be a JSON object",
        _ => "the body is not valid JSON",
    };
    let message = format_compact!("{what}, at line {line} column {column}");
    Failure::new(Kind::Invalid, message)
}
