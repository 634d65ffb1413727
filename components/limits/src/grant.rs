//! A batch of units that an entry may spend.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The leader's answer to a [`crate::Report`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// Units that the entry may spend.
    pub units: f64,
    /// Time for which the units may be spent, counted from when the entry sent its report.
    pub lease: Duration,
    /// Time after which the entry may draw again; zero if it received a whole batch.
    pub retry_after: Duration,
    /// Units per second that the entry may admit while the leader does not answer.
    pub fallback_rate: f64,
}

impl Grant {
    /// Time after which an entry may draw again for an account that is not known.
    const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Returns a grant of no units, for an account that is not known.
    pub fn empty() -> Self {
        Grant {
            units: 0.0,
            lease: Duration::ZERO,
            retry_after: Grant::UNKNOWN_RETRY_AFTER,
            fallback_rate: 0.0,
        }
    }
}
