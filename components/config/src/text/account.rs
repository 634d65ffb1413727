//! Client accounts.

use serde::{Deserialize, Serialize};

use super::Priority;

/// Limits and share of one client account, for the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Account {
    /// Requests admitted per second.
    pub requests_per_second: f64,
    /// Prompt and generated tokens admitted per second.
    pub tokens_per_second: f64,
    /// Requests in progress at one time.
    pub max_in_progress: u32,
    /// Share of an overloaded service, relative to the other accounts.
    pub weight: f64,
    /// Priority of requests that name none.
    pub priority: Priority,
}

impl Default for Account {
    fn default() -> Self {
        Account {
            requests_per_second: 10.0,
            tokens_per_second: 10_000.0,
            max_in_progress: 100,
            weight: 1.0,
            priority: Priority::Normal,
        }
    }
}
