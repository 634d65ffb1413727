//! Load of an upstream.

use serde::{Deserialize, Serialize};

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Prompt tokens that wait to be computed.
    pub queued_prefill_tokens: u64,
    /// Age of the measurement when the report is sent, in milliseconds.
    pub age_ms: u64,
}
