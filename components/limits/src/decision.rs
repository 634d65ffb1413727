//! Result of checking a request against the units that an entry holds.

use std::time::Duration;

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The request is within the limit and its units are taken.
    Admitted,
    /// The entry must draw a batch, or a larger allotment, from the leader and then decide again.
    Draw,
    /// The request exceeds the limit.
    Refused {
        /// Time after which units are expected to be available.
        retry_after: Duration,
    },
}
