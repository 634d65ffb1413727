//! Why no upstream was chosen.

use std::time::Duration;

use config::ids::ServiceId;

/// The request was not routed, and so was not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No upstream serves the service and model.
    NoUpstream,
    /// A service that this one depends on has no upstream.
    DependencyDown {
        /// The service that is down.
        service: ServiceId,
    },
    /// Every upstream is so loaded that the latency target would be missed.
    Overloaded {
        /// When the backlog is expected to be short enough.
        retry_after: Duration,
    },
}
