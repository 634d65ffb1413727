//! Samples of complete answers, which the leader learns from.

use std::time::Duration;

use config::ids::ServiceId;
use indexmap::IndexMap;
use performance::Sample;

use crate::balancer::Choice;

/// Most samples that all entries together send in one period of reports.
const FLEET_SAMPLES: u32 = 128;

/// Samples since the last report, by service.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    services: IndexMap<ServiceId, Vec<Sample>>,
}

impl Samples {
    /// Adds a sample, unless there are as many as one of `entries` entries sends.
    pub(crate) fn add(&mut self, service: &ServiceId, sample: Sample, entries: u32) {
        let samples = self.services.entry(service.clone()).or_default();
        let limit = FLEET_SAMPLES.div_ceil(entries.max(1)) as usize;
        if samples.len() < limit {
            samples.push(sample);
        }
    }

    /// Returns the samples and forgets them.
    pub(crate) fn take(&mut self) -> Vec<(ServiceId, Vec<Sample>)> {
        std::mem::take(&mut self.services).into_iter().collect()
    }
}

/// Returns the sample of a complete answer of `events` events, whose first one came after
/// `first_event` and whose last one `stream` later.
pub(crate) fn sample(
    choice: &Choice,
    first_event: Duration,
    stream: Duration,
    events: u64,
) -> Sample {
    Sample {
        own_tokens: choice.uncached_tokens,
        queued_tokens: choice.queued_tokens,
        in_flight: choice.in_flight,
        first_event_ms: Sample::millis(first_event),
        events: u32::try_from(events).unwrap_or(u32::MAX),
        stream_ms: Sample::millis(stream),
    }
}
