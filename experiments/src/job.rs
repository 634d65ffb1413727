//! Requests as arrivals and as work of an engine.

use config::text::Priority;
use upstream::blocks::BlockHash;

use crate::Micros;

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Micros,
    pub(crate) entry: usize,
    pub(crate) blocks: Vec<BlockHash>,
    pub(crate) prompt_tokens: usize,
    pub(crate) answer_tokens: usize,
    pub(crate) priority: Priority,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) arrival: usize,
    pub(crate) priority: Priority,
    /// Prompt tokens still to be computed; set when the job enters the batch.
    pub(crate) prefill: usize,
    /// Tokens of prompt and of the answer so far.
    pub(crate) context: usize,
    /// Blocks that were cached when the job entered the batch.
    pub(crate) cached_blocks: usize,
    /// Tokens still to be generated.
    pub(crate) left: usize,
}
