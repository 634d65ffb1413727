//! Bodies of generation requests.

use serde::Deserialize;

/// Body of a generation request; fields of the published API without effect here are ignored.
#[derive(Debug, Deserialize)]
pub(super) struct Generation {
    pub(super) model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    max_completion_tokens: Option<usize>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) request_id: Option<String>,
    #[serde(default = "default_priority")]
    pub(super) priority: u8,
    #[serde(default)]
    pub(super) resume_tokens: Vec<String>,
    #[serde(default)]
    pub(super) kv_handle: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Texts(Vec<String>),
}

impl Generation {
    /// Returns the prompt, including the rendered messages of a chat.
    pub(super) fn rendered(&self) -> String {
        let mut rendered = String::new();
        match &self.prompt {
            Some(Prompt::Text(text)) => rendered.push_str(text),
            Some(Prompt::Texts(texts)) => rendered.push_str(&texts.concat()),
            None => {}
        }
        for message in &self.messages {
            let content = message.content.as_ref().map(Content::text);
            let content = content.unwrap_or_default();
            upstream::prompt::push_message(&mut rendered, &message.role, &content);
        }
        rendered
    }

    /// Returns the maximum number of tokens of the answer; tokens that are resumed count as well.
    pub(super) fn max_answer_tokens(&self) -> Option<usize> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

impl Content {
    fn text(&self) -> String {
        match self {
            Content::Text(text) => text.clone(),
            Content::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

/// Returns the normal priority.
fn default_priority() -> u8 {
    1
}
