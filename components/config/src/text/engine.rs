//! What all engines of a service have in common.

use serde::{Deserialize, Serialize};

/// Sizes of the engines of a model service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Engine {
    /// Requests that run at one time.
    pub batch: u32,
    /// Tokens that the memory holds, of running requests and of kept prompts.
    pub memory_tokens: u64,
    /// Bytes of the memory of one token.
    pub token_bytes: u64,
    /// Whether a run's memory can be moved to another engine.
    pub moves: bool,
}

impl Default for Engine {
    fn default() -> Self {
        Engine {
            batch: 16,
            memory_tokens: 500_000,
            token_bytes: 32_768,
            moves: false,
        }
    }
}
