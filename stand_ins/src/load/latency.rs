//! Latency histograms of one path to the engines.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::Observation;

/// Highest latency recorded; longer ones are counted as this.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies in microseconds.
#[derive(Clone, Debug)]
pub struct Latency {
    /// From the request to the first token.
    pub first_token: Histogram<u64>,
    /// Between tokens.
    pub between_tokens: Histogram<u64>,
    /// From the request to the end of the answer.
    pub total: Histogram<u64>,
}

impl Default for Latency {
    fn default() -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid")
        };
        Latency {
            first_token: empty(),
            between_tokens: empty(),
            total: empty(),
        }
    }
}

impl Latency {
    /// Records the latencies of one answer.
    pub fn record(&mut self, observation: &Observation) {
        record(&mut self.total, observation.total);
        if let Some(first) = observation.first_token {
            record(&mut self.first_token, first);
        }
        for gap in &observation.gaps {
            record(&mut self.between_tokens, *gap);
        }
    }

    /// Returns each histogram with its name.
    pub fn histograms(&self) -> [(&'static str, &Histogram<u64>); 3] {
        [
            ("first token", &self.first_token),
            ("between tokens", &self.between_tokens),
            ("whole", &self.total),
        ]
    }

    /// Returns counts, percentiles and maxima as JSON, in microseconds.
    pub fn json(&self) -> Value {
        let pairs = self.histograms().map(|(name, histogram)| {
            let values = json!({
                "count": histogram.len(),
                "p50_us": histogram.value_at_quantile(0.50),
                "p95_us": histogram.value_at_quantile(0.95),
                "p99_us": histogram.value_at_quantile(0.99),
                "max_us": histogram.max(),
            });
            (name.replace(' ', "_"), values)
        });
        pairs.into_iter().collect::<serde_json::Map<_, _>>().into()
    }
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(latency.as_micros() as u64);
}
