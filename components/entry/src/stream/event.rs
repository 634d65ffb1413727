//! An event of an engine's stream.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// One token, or the end of the answer with its usage.
#[derive(Debug, Deserialize)]
pub struct Event<'a> {
    /// Index of the token in the complete answer, counted from 0.
    pub token_index: Option<usize>,
    /// Alternative answers; the engines send one.
    #[serde(borrow, default)]
    pub choices: Vec<Choice<'a>>,
    /// Token counts, in the last event.
    pub usage: Option<Usage>,
    /// An error, instead of a token.
    pub error: Option<serde_json::Value>,
}

/// An alternative answer.
#[derive(Debug, Deserialize)]
pub struct Choice<'a> {
    /// Text of a completion.
    #[serde(borrow)]
    pub text: Option<Cow<'a, str>>,
    /// Text of a chat.
    #[serde(borrow)]
    pub delta: Option<Delta<'a>>,
    /// The finish reason, in the last event.
    #[serde(borrow)]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// A part of a chat message.
#[derive(Debug, Deserialize)]
pub struct Delta<'a> {
    /// Text.
    #[serde(borrow)]
    pub content: Option<Cow<'a, str>>,
}

/// Token counts of one attempt.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Tokens of the prompt that were in the engine's cache.
    pub cached_tokens: u64,
    /// Tokens of the prompt and of resumed output that were computed.
    pub computed_tokens: u64,
}

impl Event<'_> {
    /// Returns the token's text, which is empty in the last event.
    pub fn token(&self) -> &str {
        let choice = self.choices.first();
        let text = choice.and_then(|choice| choice.text.as_deref());
        let delta = choice.and_then(|choice| choice.delta.as_ref());
        text.or(delta.and_then(|delta| delta.content.as_deref()))
            .unwrap_or("")
    }

    /// Returns the finish reason, in the last event.
    pub fn finish_reason(&self) -> Option<&str> {
        let choice = self.choices.first();
        choice.and_then(|choice| choice.finish_reason.as_deref())
    }
}
