//! What an upstream can carry.

use serde::{Deserialize, Serialize};

/// Limits and rates of an upstream at full speed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Requests that run at one time.
    pub batch: u32,
    /// Prompt tokens computed per second, for the whole engine.
    pub prefill_tokens_per_second: f64,
    /// Tokens generated per second for one request.
    pub decode_tokens_per_second: f64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            batch: 16,
            prefill_tokens_per_second: 8_000.0,
            decode_tokens_per_second: 50.0,
            cache_blocks: 4_096,
        }
    }
}
