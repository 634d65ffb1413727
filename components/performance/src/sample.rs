//! One complete answer of an engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One complete answer of an engine, as the entry that sent the request saw it. It is encoded as a
/// list of its fields in their order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "[u32; 6]", into = "[u32; 6]")]
pub struct Sample {
    /// Prompt tokens that the engine had to compute for the request.
    pub own_tokens: u32,
    /// Prompt tokens of earlier requests that it still had to compute.
    pub queued_tokens: u32,
    /// Other requests at the engine when the request was sent.
    pub in_flight: u32,
    /// Time to the first event, in milliseconds.
    pub first_event_ms: u32,
    /// Number of events.
    pub events: u32,
    /// Time from the first event to the last, in milliseconds.
    pub stream_ms: u32,
}

impl From<[u32; 6]> for Sample {
    fn from(fields: [u32; 6]) -> Self {
        let [
            own_tokens,
            queued_tokens,
            in_flight,
            first_event_ms,
            events,
            stream_ms,
        ] = fields;
        Sample {
            own_tokens,
            queued_tokens,
            in_flight,
            first_event_ms,
            events,
            stream_ms,
        }
    }
}

impl From<Sample> for [u32; 6] {
    fn from(sample: Sample) -> Self {
        [
            sample.own_tokens,
            sample.queued_tokens,
            sample.in_flight,
            sample.first_event_ms,
            sample.events,
            sample.stream_ms,
        ]
    }
}

impl Sample {
    /// Returns the prompt tokens that the engine computed before the first event.
    pub(crate) fn tokens(&self) -> f64 {
        f64::from(self.own_tokens) + f64::from(self.queued_tokens)
    }

    /// Returns the average time between two events, in milliseconds; `None` for fewer than
    /// `min_events`.
    pub(crate) fn event_ms(&self, min_events: u32) -> Option<f64> {
        let gaps = self.events.checked_sub(1)?;
        (self.events >= min_events).then(|| f64::from(self.stream_ms) / f64::from(gaps))
    }

    /// Returns a duration in whole milliseconds, for a field of a sample.
    pub fn millis(duration: Duration) -> u32 {
        u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
    }
}
