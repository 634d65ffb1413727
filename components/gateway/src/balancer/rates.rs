//! Rates of a service's engines, by which the time to the first event is estimated.

use performance::Model;

/// Rates of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Time to the first event of a request with nothing to compute, in milliseconds.
    pub first_event_ms: f64,
    /// Time in which an engine computes a prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Time for which a request occupies a slot of an engine's batch, in milliseconds.
    pub slot_time_ms: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Rates::from(&Model::assumed(0.0, 0.0))
    }
}

impl From<&Model> for Rates {
    fn from(model: &Model) -> Self {
        Rates {
            first_event_ms: model.first_event_ms,
            prefill_ms_per_token: model.prefill_ms_per_token,
            slot_time_ms: model.duration_ms,
        }
    }
}
