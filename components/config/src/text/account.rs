//! Client accounts.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::Priority;

/// Limits and weight of one client account, for the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Account {
    /// Requests admitted per second.
    pub requests_per_second: f64,
    /// Prompt and generated tokens admitted per second.
    pub tokens_per_second: f64,
    /// Most requests in progress at one time.
    pub max_in_progress: u32,
    /// Weight of the account when an overloaded service is shared among accounts.
    pub weight: f64,
    /// Priority of requests that do not state one.
    pub priority: Priority,
    /// Bearer keys, if they are part of the text and not of the keys file.
    pub keys: Vec<CompactString>,
    /// Rank of requests on routes by host and path, in place of the route's rank; 0 is served
    /// first.
    pub rank: Option<u8>,
    /// Burst beyond the steady token rate, in tokens; `None` for the tokens of one second.
    pub token_burst: Option<f64>,
    /// Tokens charged for a request that does not state its tokens.
    pub tokens_per_request: u32,
}

impl Default for Account {
    fn default() -> Self {
        Account {
            requests_per_second: 10.0,
            tokens_per_second: 10_000.0,
            max_in_progress: 100,
            weight: 1.0,
            priority: Priority::Normal,
            keys: Vec::new(),
            rank: None,
            token_burst: None,
            tokens_per_request: 200,
        }
    }
}
