//! Classes of instances.

use serde::{Deserialize, Serialize};

/// How the cloud sells an instance.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Cheaper, and reclaimed by the cloud at a few seconds' notice.
    Reclaimable,
    /// Kept until it is released.
    #[default]
    OnDemand,
}

impl Class {
    /// Both classes, cheapest first.
    pub const ALL: [Class; 2] = [Class::Reclaimable, Class::OnDemand];

    /// Returns the name used in the operators' text.
    pub fn name(self) -> &'static str {
        match self {
            Class::Reclaimable => "reclaimable",
            Class::OnDemand => "on-demand",
        }
    }
}
