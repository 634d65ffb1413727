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

/// Parameters of engines of which nothing is known. A caller's limit on the tokens of an answer is
/// taken as the number of its events.
const ASSUMED_PREFILL_MS_PER_TOKEN: f64 = 0.02;
const ASSUMED_EVENT_MS: f64 = 9.0;
const ASSUMED_DURATION_MS: f64 = 1_500.0;
/// Ratio of long prompts to the average one, whose length is all that is known.
const ASSUMED_SPREAD: f64 = 2.0;

impl Model {
    /// Returns what is assumed of engines before anything is learned, for requests with prompts of
    /// `tokens` tokens of which none is cached, and answers of at most `output_tokens`, on average.
    pub fn assumed(tokens: f64, output_tokens: f64) -> Model {
        let long = tokens * ASSUMED_SPREAD;
        Model {
            prefill_ms_per_token: ASSUMED_PREFILL_MS_PER_TOKEN,
            event_ms: ASSUMED_EVENT_MS,
            tokens,
            tokens_squared: long * long,
            tokens_p95: long,
            events: output_tokens,
            duration_ms: ASSUMED_DURATION_MS,
            ..Model::default()
        }
    }

    /// Reports whether it was learned from samples, and is not assumed.
    pub fn is_learned(&self) -> bool {
        self.samples > 0
    }

    /// Returns the time to the first event of a request behind which and before which `tokens` have
    /// to be computed in all, in milliseconds.
    pub fn first_event(&self, tokens: f64) -> f64 {
        self.first_event_ms + tokens * self.prefill_ms_per_token
    }
}
