//! The outcome of a request for allowance at an entry.

use std::time::Duration;

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is within the limit, and counted.
    Admitted,
    /// The entry must report first, and then decide again.
    Ask,
    /// It is beyond the limit.
    Refused {
        /// When allowance is expected.
        retry_after: Duration,
    },
}
