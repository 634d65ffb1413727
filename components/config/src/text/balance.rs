//! What the upstreams of a service are balanced by.

use serde::{Deserialize, Serialize};

/// What the upstreams of a service are balanced by.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balance {
    /// By their expected work and their speed.
    ByWork,
    /// By their requests, as if all were equally fast.
    ByRequests,
    /// By requests until an upstream states its slowdown, and by work from then on.
    #[default]
    Auto,
}

impl Balance {
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    pub(super) fn is_default(&self) -> bool {
        *self == Balance::default()
    }
}
