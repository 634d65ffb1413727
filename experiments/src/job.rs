//! Requests of callers, and jobs of engines.

use config::text::Priority;
use upstream::blocks::BlockHash;

use crate::Micros;

/// Request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Micros,
    pub(crate) entry: usize,
    pub(crate) blocks: Vec<BlockHash>,
    pub(crate) prompt_tokens: usize,
    pub(crate) answer_tokens: usize,
    pub(crate) priority: Priority,
}

/// Request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Index of the request among the arrivals.
    pub(crate) arrival: usize,
    pub(crate) priority: Priority,
    /// Prompt tokens still to be computed; set when the job enters the batch.
    pub(crate) prefill_tokens: usize,
    /// Tokens of the prompt and of the answer so far.
    pub(crate) context_tokens: usize,
    /// Blocks that were cached when the job entered the batch.
    pub(crate) cached_blocks: usize,
    /// Tokens still to be generated.
    pub(crate) remaining_tokens: usize,
}
