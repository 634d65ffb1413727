//! What upstreams say about the refusals that they bear.

use config::ids::ServiceId;
use serde::{Deserialize, Serialize};

/// What the upstreams of a service said of themselves in their answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusals {
    /// The service.
    pub service: ServiceId,
    /// Requests that each of them can refuse within a second for want of room before it falls; `None`
    /// if they are not brittle.
    pub bearable: Option<u32>,
    /// Time since it was said, in milliseconds.
    pub age_ms: u64,
}
