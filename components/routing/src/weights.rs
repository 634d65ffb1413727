//! What the text's objective makes of the parts of a score.

use config::text::Objective;

/// Weights of the parts of a score, all in seconds of waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Weights {
    /// Seconds that one second of computing uncached prompt counts as.
    pub(crate) prefill: f64,
    /// Seconds for which a prefix's home is preferred, for each second that the whole prompt takes
    /// to compute.
    pub(crate) home: f64,
    /// Seconds that the dearest class and data centre counts more than a free one.
    pub(crate) price: f64,
}

impl Weights {
    pub(crate) fn of(objective: Objective) -> Self {
        match objective {
            Objective::RecomputedTokens => Weights {
                prefill: 3.0,
                home: 2.0,
                price: 0.02,
            },
            Objective::Cost => Weights {
                prefill: 1.5,
                home: 3.0,
                price: 0.15,
            },
        }
    }
}
