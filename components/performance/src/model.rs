//! Parameters of a service's engines and of the requests that they get.

use serde::{Deserialize, Serialize};

/// Parameters of a service's engines and of the requests that they get. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Number of samples from which the parameters were learned.
    pub samples: u32,
    /// Time to the first event of a request with nothing to compute.
    pub first_event_ms: f64,
    /// Time in which an engine computes one prompt token, beside the requests that it serves.
    pub prefill_ms_per_token: f64,
    /// Time between two events of a request that is alone at its engine.
    pub event_ms: f64,
    /// Time that each further request at the engine adds to the time between two events.
    pub event_ms_per_request: f64,
    /// Average number of prompt tokens that a request has to compute.
    pub tokens: f64,
    /// Square of that number, on average.
    pub tokens_squared: f64,
    /// Number of tokens that 95% of the requests stay below.
    pub tokens_p95: f64,
    /// Average number of events of an answer.
    pub events: f64,
    /// Average time from sending a request to its last event.
    pub duration_ms: f64,
}

impl Model {
    /// Returns the time to the first event of a request behind which and before which `tokens` have
    /// to be computed in all, in milliseconds.
    pub fn first_event(&self, tokens: f64) -> f64 {
        self.first_event_ms + tokens * self.prefill_ms_per_token
    }
}
