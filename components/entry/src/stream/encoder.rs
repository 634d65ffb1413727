//! Writes the answer as the caller expects it: as events or whole.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::Usage;

/// Which of the two published APIs was called.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// Writes one answer.
#[derive(Clone, Debug)]
pub struct Encoder {
    shape: Shape,
    id: CompactString,
    model: CompactString,
    created: u64,
    head: Box<str>,
}

/// Comment that keeps a connection alive.
pub const KEEP_ALIVE: &[u8] = b": keep-alive\n\n";
/// End mark of a stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

impl Encoder {
    /// Prepares the answer of request `id`; `created` is in seconds since the Unix epoch.
    pub fn new(shape: Shape, id: &str, model: &str, created: u64) -> Self {
        let (object, name) = match shape {
            Shape::Chat => ("chat.completion.chunk", "chatcmpl"),
            Shape::Completion => ("text_completion", "cmpl"),
        };
        let id = compact_str::format_compact!("{name}-{id}");
        let model_json = Value::from(model);
        let head = format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":{created},\
             \"model\":{model_json},\"choices\":[{{\"index\":0,"
        );
        Encoder {
            shape,
            id,
            model: model.into(),
            created,
            head: head.into(),
        }
    }

    /// Writes the event of the token at `index`, with the event number `index + 1`.
    pub fn token(&self, index: usize, token: &str) -> Bytes {
        let mut event = self.open(index, token.len());
        match (self.shape, index) {
            (Shape::Chat, 0) => event.extend(br#""delta":{"role":"assistant","content":"#),
            (Shape::Chat, _) => event.extend(br#""delta":{"content":"#),
            (Shape::Completion, _) => event.extend(br#""text":"#),
        }
        write_json(&mut event, token);
        match self.shape {
            Shape::Chat => event.extend(b"},\"finish_reason\":null}]}\n\n"),
            Shape::Completion => event.extend(b",\"finish_reason\":null}]}\n\n"),
        }
        event.into()
    }

    /// Writes the last event, which holds no token.
    pub fn finish(&self, index: usize, reason: &str, usage: Usage) -> Bytes {
        let mut event = self.open(index, 0);
        match self.shape {
            Shape::Chat => event.extend(br#""delta":{},"finish_reason":"#),
            Shape::Completion => event.extend(br#""text":"","finish_reason":"#),
        }
        write_json(&mut event, reason);
        event.extend(format!("}}],\"usage\":{}}}\n\n", usage_json(usage)).into_bytes());
        event.into()
    }

    /// Writes the event by which a stream that can't be finished ends.
    pub fn error(body: &str) -> Bytes {
        format!("event: error\ndata: {body}\n\n").into()
    }

    /// Writes the whole answer.
    pub fn whole(&self, tokens: &[CompactString], reason: &str, usage: Usage) -> Bytes {
        let text: String = tokens.iter().map(CompactString::as_str).collect();
        let (object, choice) = match self.shape {
            Shape::Chat => (
                "chat.completion",
                json!({"index": 0, "finish_reason": reason,
                    "message": {"role": "assistant", "content": text}}),
            ),
            Shape::Completion => (
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

    fn open(&self, index: usize, token_bytes: usize) -> Vec<u8> {
        const REST_BYTES: usize = 96;
        let mut event = Vec::with_capacity(self.head.len() + token_bytes + REST_BYTES);
        event.extend(format!("id: {}\n", index + 1).as_bytes());
        event.extend(self.head.as_bytes());
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
