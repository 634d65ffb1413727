//! Reasons for which no upstream is chosen.

use std::time::Duration;

use config::ids::ServiceId;

/// Why a request was not routed. A refused request has not been run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No upstream serves the service and model.
    NoUpstream,
    /// A service that the requested one depends on has no upstream.
    DependencyDown {
        /// The service that is down.
        service: ServiceId,
    },
    /// The latency target would be missed because of the load of the upstreams.
    Overloaded {
        /// Time until the backlog is expected to be short enough.
        retry_after: Duration,
    },
}
