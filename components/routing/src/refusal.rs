//! Why no upstream was chosen.

use std::time::Duration;

/// The request was not routed, and so was not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No upstream serves the service and model.
    NoUpstream,
    /// Every upstream is so loaded that the latency target would be missed.
    Overloaded {
        /// When the backlog is expected to be short enough.
        retry_after: Duration,
    },
}
