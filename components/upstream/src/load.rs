//! Load as an upstream last measured it.

use serde::{Deserialize, Serialize};

/// A load report, which is `age_ms` old when it is sent.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens waiting to be computed.
    pub queued_prefill_tokens: u64,
    /// Milliseconds since the load was measured.
    pub age_ms: u64,
}
