//! Encodes the answer in the format of the published APIs: as events or as one body.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::Usage;

/// Which of the two published APIs was called.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// Encodes one answer.
#[derive(Clone, Debug)]
pub struct Encoder {
    api: Api,
    id: CompactString,
    model: CompactString,
    created: u64,
    prefix: Box<str>,
}

/// A comment that is sent to keep a connection alive.
pub const KEEP_ALIVE: &[u8] = b": keep-alive\n\n";
/// The event that marks the end of a stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

impl Encoder {
    /// Creates the encoder of the answer to the request `id`. `created` is in seconds since the
    /// Unix epoch.
    pub fn new(api: Api, id: &str, model: &str, created: u64) -> Self {
        let (object, name) = match api {
            Api::Chat => ("chat.completion.chunk", "chatcmpl"),
            Api::Completion => ("text_completion", "cmpl"),
        };
        let id = compact_str::format_compact!("{name}-{id}");
        let model_json = Value::from(model);
        let prefix = format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":{created},\
             \"model\":{model_json},\"choices\":[{{\"index\":0,"
        );
        Encoder {
            api,
            id,
            model: model.into(),
            created,
            prefix: prefix.into(),
        }
    }

    /// Returns the event of the token at `index`, whose event number is `index + 1`.
    pub fn token(&self, index: usize, token: &str) -> Bytes {
        let mut event = self.begin_event(index, token.len());
        match (self.api, index) {
            (Api::Chat, 0) => event.extend(br#""delta":{"role":"assistant","content":"#),
            (Api::Chat, _) => event.extend(br#""delta":{"content":"#),
            (Api::Completion, _) => event.extend(br#""text":"#),
        }
        write_json(&mut event, token);
        match self.api {
            Api::Chat => event.extend(b"},\"finish_reason\":null}]}\n\n"),
            Api::Completion => event.extend(b",\"finish_reason\":null}]}\n\n"),
        }
        event.into()
    }

    /// Returns the event with the finish reason and the usage, which contains no token.
    pub fn finish(&self, index: usize, reason: &str, usage: Usage) -> Bytes {
        let mut event = self.begin_event(index, 0);
        match self.api {
            Api::Chat => event.extend(br#""delta":{},"finish_reason":"#),
            Api::Completion => event.extend(br#""text":"","finish_reason":"#),
        }
        write_json(&mut event, reason);
        event.extend(format!("}}],\"usage\":{}}}\n\n", usage_json(usage)).into_bytes());
        event.into()
    }

    /// Returns the event that ends a stream with an error.
    pub fn error(body: &str) -> Bytes {
        format!("event: error\ndata: {body}\n\n").into()
    }

    /// Returns the complete answer as one JSON body.
    pub fn full(&self, tokens: &[CompactString], reason: &str, usage: Usage) -> Bytes {
        let text: String = tokens.iter().map(CompactString::as_str).collect();
        let (object, choice) = match self.api {
            Api::Chat => (
                "chat.completion",
                json!({"index": 0, "finish_reason": reason,
                    "message": {"role": "assistant", "content": text}}),
            ),
            Api::Completion => (
                "text_completion",
                json!({"index": 0, "finish_reason": reason, "text": text}),
            ),
        };
        let answer = json!({
            "id": self.id.as_str(),
            "object": object,
            "created": self.created,
            "model": self.model.as_str(),
            "choices": [choice],
            "usage": usage_json(usage),
        });
        answer.to_string().into()
    }

    fn begin_event(&self, index: usize, token_bytes: usize) -> Vec<u8> {
        /// Space for the fields of an event besides prefix and token.
        const FIELD_BYTES: usize = 96;
        let mut event = Vec::with_capacity(self.prefix.len() + token_bytes + FIELD_BYTES);
        event.extend(format!("id: {}\n", index + 1).as_bytes());
        event.extend(self.prefix.as_bytes());
        event
    }
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    })
}

fn write_json(out: &mut Vec<u8>, text: &str) {
    serde_json::to_writer(out, text).expect("text is written to memory");
}
