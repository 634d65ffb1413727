//! Priorities of requests.

use serde::{Deserialize, Serialize};

/// Order in which waiting requests are served.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served when nothing else waits.
    Low,
    /// The usual priority.
    #[default]
    Normal,
    /// Served before all others.
    High,
}
