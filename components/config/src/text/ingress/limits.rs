//! Limits on requests and connections of callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Sizes and times beyond which a request is refused or a connection closed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request head to its end; `None` for the idle timeout of the
    /// connection only.
    #[serde(
        with = "crate::duration::optional",
        skip_serializing_if = "Option::is_none"
    )]
    pub head_timeout: Option<Duration>,
    /// Longest time that an idle connection stays open between two requests.
    #[serde(with = "crate::duration")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 * 1_024,
            body_bytes: 4 * 1_024 * 1_024,
            head_timeout: None,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
