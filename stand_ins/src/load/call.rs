//! Requests of callers and their expected answers.

use serde_json::{Value, json};

use crate::{plain, text};

/// A request of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// A generation by a model.
    Generate(Generate),
    /// An idempotent read of a plain service.
    Read {
        /// Name of the service.
        service: String,
        /// Path after the service's name, with a leading slash.
        path: String,
    },
    /// A call of a plain service that must run at most once.
    Submit(Submit),
}

/// A request to generate text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Generate {
    /// Model or adapter.
    pub model: String,
    /// Prompt, or the only message of a chat.
    pub prompt: String,
    /// Whether the request is a chat.
    pub chat: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Number of tokens of the answer; with `None` the engine chooses it.
    pub max_tokens: Option<usize>,
    /// Idempotency key, or empty.
    pub key: String,
    /// Value of the header `Chervilloft-Priority`, or empty.
    pub priority: &'static str,
}

/// A call that must run at most once.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Submit {
    /// Name of the service.
    pub service: String,
    /// Path after the service's name, with a leading slash.
    pub path: String,
    /// Request body.
    pub body: String,
    /// Idempotency key, or empty.
    pub key: String,
}

impl Call {
    /// Returns the idempotency key, or an empty string.
    pub fn key(&self) -> &str {
        match self {
            Call::Generate(generate) => &generate.key,
            Call::Submit(submit) => &submit.key,
            Call::Read { .. } => "",
        }
    }

    /// Reports whether the call may be repeated after an interrupted attempt.
    pub fn may_repeat(&self) -> bool {
        match self {
            Call::Generate(_) | Call::Read { .. } => true,
            Call::Submit(submit) => !submit.key.is_empty(),
        }
    }
}

impl Generate {
    /// Returns the tokens of the expected answer.
    pub fn expected_tokens(&self) -> Vec<String> {
        let prompt = match self.chat {
            true => text::render_message("user", &self.prompt),
            false => self.prompt.clone(),
        };
        text::answer(&self.model, &prompt, self.max_tokens)
    }

    /// Returns the request path in the published API.
    pub fn path(&self) -> &'static str {
        match self.chat {
            true => "/v1/chat/completions",
            false => "/v1/completions",
        }
    }

    /// Returns the request body in the published API.
    pub fn body(&self) -> Value {
        let mut body = match self.chat {
            true => json!({"messages": [{"role": "user", "content": self.prompt}]}),
            false => json!({"prompt": self.prompt}),
        };
        body["model"] = json!(self.model);
        body["stream"] = json!(self.stream);
        if let Some(limit) = self.max_tokens {
            body["max_tokens"] = json!(limit);
        }
        body
    }
}

impl Submit {
    /// Reports whether `answer` belongs to this call.
    pub fn matches(&self, answer: &Value) -> bool {
        answer["booking"] == json!(plain::booking_number(&self.body))
            && answer["key"] == json!(self.key)
            && answer["path"] == json!(self.path)
    }
}
