//! The objective of placement and routing.

use serde::{Deserialize, Serialize};

/// Measure that is minimised among choices that meet the latency target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Prompt tokens that are computed a second time.
    RecomputedTokens,
    /// Cost of instances.
    #[default]
    Cost,
}
