//! Weights of the components of a score, by the objective of the text.

use config::text::Objective;

/// Weights of the components of a score, which is measured in seconds of waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Weights {
    /// Factor on the time to compute the prompt tokens that are not cached.
    pub(crate) prefill: f64,
    /// Factor on the time to compute the whole prompt. The product is subtracted from the score of
    /// the home of the prefix, which is the upstream that all entries prefer for it (see
    /// [`affinity`](crate::affinity)).
    pub(crate) home_bonus: f64,
    /// Seconds added at the highest price of the text; lower prices count in proportion.
    pub(crate) price: f64,
}

impl Weights {
    pub(crate) fn for_objective(objective: Objective) -> Self {
        match objective {
            Objective::RecomputedTokens => Weights {
                prefill: 3.0,
                home_bonus: 2.0,
                price: 0.02,
            },
            Objective::Cost => Weights {
                prefill: 1.5,
                home_bonus: 3.0,
                price: 0.15,
            },
        }
    }
}
