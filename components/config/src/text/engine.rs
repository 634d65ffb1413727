//! Parameters shared by all engines of a service.

use serde::{Deserialize, Serialize};

/// Parameters of the engines of a model service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Engine {
    /// Most requests that run at one time.
    pub batch: u32,
    /// Capacity of the key-value cache, in tokens of running requests and cached prompts.
    pub memory_tokens: u64,
    /// Bytes of the key-value cache per token.
    pub token_bytes: u64,
    /// Whether the key-value cache of a request can be moved to another engine.
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
