//! History of the requests that an engine accepted.

use serde::{Deserialize, Serialize};

/// Record of one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Id of the request, assigned by the caller of the engine or derived from the text.
    pub request: String,
    /// Model named in the request.
    pub model: String,
    /// Seed of the generated text, a hash of model and prompt.
    #[serde(rename = "text")]
    pub text_seed: u64,
    /// Milliseconds between the start of the engine and the arrival of the request.
    pub arrived_ms: u64,
    /// Milliseconds between the notice of a reclaim and the arrival; `None` without a notice.
    pub after_notice_ms: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: usize,
    /// Number of tokens that the request names as already generated.
    pub resumed_tokens: usize,
    /// Number of tokens found in the cache or in imported state.
    pub cached_tokens: usize,
    /// Number of computed tokens of the prompt and the resumed text.
    pub computed_tokens: usize,
    /// Index of the next token in the whole answer.
    pub position: usize,
    /// How the request ended; `None` while it is in progress.
    pub end: Option<End>,
}

/// How a request ended at the engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// All tokens were generated.
    Finished,
    /// Cancelled by a request to cancel or by a closed connection.
    Cancelled,
    /// Removed by an export of its state.
    Exported,
}

/// Records of all requests; jobs refer to them by index.
#[derive(Debug, Default)]
pub(super) struct History {
    records: Vec<Record>,
}

impl History {
    pub(super) fn push(&mut self, record: Record) -> usize {
        self.records.push(record);
        self.records.len() - 1
    }

    pub(super) fn update(&mut self, index: usize, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.records.get_mut(index) {
            change(record);
        }
    }

    pub(super) fn records(&self) -> Vec<Record> {
        self.records.clone()
    }
}
