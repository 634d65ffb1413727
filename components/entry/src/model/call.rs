//! A parsed call and the request bodies that are sent to engines for it.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use config::ids::ModelId;
use config::text::Priority;
use serde_json::{Map, Value};
use upstream::blocks::{self, BlockHash};
use upstream::prompt;

use crate::failure::{Failure, Kind};
use crate::stream::Api;

/// Generated tokens assumed for limits and routing if the caller sets no bound.
const DEFAULT_MAX_TOKENS: usize = 256;
/// Fields that only the entry sets; those of callers are removed.
const RESERVED_FIELDS: [&str; 6] = [
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
    pub api: Api,
    /// Model or adapter.
    pub model: ModelId,
    /// Whether the caller requested a stream of events.
    pub stream: bool,
    /// Hashes of the prompt's complete blocks.
    pub blocks: Vec<BlockHash>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: usize,
    /// Maximum number of generated tokens: the caller's bound, or [`DEFAULT_MAX_TOKENS`].
    pub max_tokens: usize,
    /// The caller's JSON object without reserved fields and without its closing brace.
    body_prefix: Bytes,
}

impl Call {
    /// Parses the body of a caller's request.
    ///
    /// # Errors
    /// Returns [`Kind::Invalid`] with the field, or the position in the JSON.
    pub(crate) fn parse(api: Api, body: &[u8]) -> Result<Self, Failure> {
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
        let prompt = render(api, &fields)?;
        let max_tokens = max_tokens(&fields)?;
        for name in RESERVED_FIELDS {
            fields.remove(name);
        }
        let mut body_prefix = Value::Object(fields).to_string();
        body_prefix.pop();
        Ok(Call {
            api,
            stream,
            blocks: blocks::hashes(&model, &prompt),
            prompt_tokens: blocks::token_count(&prompt),
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            model,
            body_prefix: body_prefix.into(),
        })
    }

    /// Returns the path on the engine.
    pub(crate) fn path(&self) -> &'static str {
        match self.api {
            Api::Chat => "/v1/chat/completions",
            Api::Completion => "/v1/completions",
        }
    }

    /// Returns the request body for one attempt, which continues after the tokens in
    /// `resume_tokens`. The engine knows the attempt by `request_id`.
    pub(crate) fn body(
        &self,
        request_id: &str,
        priority: Priority,
        resume_tokens: &[CompactString],
        kv_handle: Option<&str>,
    ) -> Bytes {
        let mut body = self.body_prefix.to_vec();
        let priority = priority as u8;
        body.extend(format!(",\"stream\":true,\"priority\":{priority},\"request_id\":").bytes());
        push_json(&mut body, &request_id);
        if !resume_tokens.is_empty() {
            body.extend(b",\"resume_tokens\":");
            push_json(&mut body, &resume_tokens);
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
    serde_json::to_writer(body, value).expect("serializing strings into a Vec can't fail");
}

fn render(api: Api, fields: &Map<String, Value>) -> Result<String, Failure> {
    match api {
        Api::Chat => render_chat(fields),
        Api::Completion => match fields.get("prompt") {
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
        let invalid_at = |rest: &str| invalid(&format_compact!("field \"messages[{index}].{rest}"));
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| invalid_at("role\" must be a text"))?;
        let content = match message.get("content") {
            Some(Value::String(text)) => text.clone(),
            Some(Value::Array(parts)) => parts
                .iter()
                .filter_map(|part| part.get("text").and_then(Value::as_str))
                .collect(),
            Some(Value::Null) => String::new(),
            _ => return Err(invalid_at("content\" must be a text or a list of parts")),
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
    let fault = match error.classify() {
        serde_json::error::Category::Eof => "the body ends inside a JSON value",
        serde_json::error::Category::Data => "the body must be a JSON object",
        _ => "the body is not valid JSON",
    };
    let message = format_compact!("{fault}, at line {line} column {column}");
    Failure::new(Kind::Invalid, message)
}
