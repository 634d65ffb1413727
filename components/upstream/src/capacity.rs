//! Capacity of an upstream.

use serde::{Deserialize, Serialize};

/// Limits of an upstream, and its rates under full load.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Largest number of requests that run at the same time.
    pub batch: u32,
    /// Prompt tokens computed per second, for the whole engine.
    pub prefill_tokens_per_second: f64,
    /// Tokens generated per second for one request.
    pub decode_tokens_per_second: f64,
    /// Size of the prefix cache, in blocks.
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
