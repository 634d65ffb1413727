//! The latency target.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Latency at the 95th percentile of answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Latency {
    /// Time from the request to the first token.
    #[serde(with = "crate::duration")]
    pub first_token: Duration,
    /// Time between two tokens.
    #[serde(with = "crate::duration")]
    pub between_tokens: Duration,
}

impl Default for Latency {
    fn default() -> Self {
        Latency {
            first_token: Duration::from_millis(1_200),
            between_tokens: Duration::from_millis(40),
        }
    }
}
