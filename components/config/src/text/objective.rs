//! What a deployment weighs more heavily.

use serde::{Deserialize, Serialize};

/// The measure that decides between choices which both meet the latency target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Fewer prompt tokens computed a second time.
    RecomputedTokens,
    /// Less spend.
    #[default]
    Cost,
}
