//! Priorities of requests.

use serde::{Deserialize, Serialize};

/// Priority of a request among waiting requests.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served when no other request waits.
    Low,
    /// The usual priority.
    #[default]
    Normal,
    /// Served before all others.
    High,
}
