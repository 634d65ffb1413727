//! A request in the batch of an engine.

use std::sync::Arc;

use tokio::sync::mpsc;
use upstream::blocks::BlockHash;

/// Tokens that are buffered for a slow reader.
pub(super) const CHANNEL_TOKENS: usize = 32;

/// Output of the scheduler for the writer of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Output {
    /// Token `index` of the answer.
    Token(usize),
    /// All tokens have been generated.
    Finished(Usage),
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Usage {
    pub(super) prompt: usize,
    pub(super) completion: usize,
    pub(super) cached: usize,
    pub(super) computed: usize,
}

/// A waiting or running request.
#[derive(Debug)]
pub(super) struct Job {
    /// Id of the request.
    pub(super) request: String,
    /// Index of its record in the history.
    pub(super) record: usize,
    /// Priority: 0 low, 1 normal, 2 high.
    pub(super) priority: u8,
    /// Sequence number of its arrival.
    pub(super) arrival: u64,
    /// Seed of its text.
    pub(super) text_seed: u64,
    /// Hashes of the blocks of its prompt.
    pub(super) blocks: Arc<[BlockHash]>,
    /// Number of tokens of the prompt and the resumed text, its context.
    pub(super) context_tokens: usize,
    /// Number of context tokens covered by imported state.
    pub(super) imported_tokens: usize,
    /// Number of context tokens still to compute; set when the job is admitted.
    pub(super) to_compute: f64,
    /// Index of the next token of the answer.
    pub(super) position: usize,
    /// Number of tokens of the whole answer.
    pub(super) length: usize,
    /// Token counts so far.
    pub(super) usage: Usage,
    /// Channel to the writer of the answer.
    pub(super) output: mpsc::Sender<Output>,
}
