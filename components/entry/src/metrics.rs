//! Metrics in the Prometheus text format.

use std::time::Duration;

use config::ids::Version;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntGauge, Opts, Registry, TextEncoder,
};

use crate::cause::Cause;
use crate::outcome::Outcome;

/// Upper bounds of the histogram buckets of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Metrics of one entry process.
pub(crate) struct Metrics {
    registry: Registry,
    outcomes: [IntCounter; Outcome::ALL.len()],
    moves: [IntCounter; Cause::ALL.len()],
    recomputed: [IntCounter; Cause::ALL.len()],
    /// Requests that are being served.
    pub in_progress: IntGauge,
    /// Tokens passed to callers' connections.
    pub relayed_tokens: IntCounter,
    /// Repeated dispatches of idempotent calls and of model calls.
    pub retries: IntCounter,
    /// Requests refused by a limit of their account.
    pub limited: IntCounter,
    /// Accepted requests that a planned stop ended because no other entry took them over.
    pub handover_failures: IntCounter,
    /// Events that the lifecycle of a request does not allow.
    pub lifecycle_errors: IntCounter,
    text_version: IntGauge,
    first_token: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| counter(&registry, Opts::new(name, help));
        let by_cause = |name: &str, help: &str| {
            Cause::ALL.map(|cause| {
                let opts = Opts::new(name, help).const_label("cause", cause.name());
                self::counter(&registry, opts)
            })
        };
        let outcomes = Outcome::ALL.map(|outcome| {
            let opts = Opts::new("chervilloft_requests_total", "Requests by outcome")
                .const_label("outcome", outcome.name());
            self::counter(&registry, opts)
        });
        let moves = by_cause("chervilloft_moves_total", "Streams moved by cause");
        let recomputed = by_cause(
            "chervilloft_recomputed_tokens_total",
            "Tokens computed a second time, by cause of the move",
        );
        let in_progress = IntGauge::new("chervilloft_in_progress", "Requests in progress")
            .expect("the name is valid");
        let text_version = IntGauge::new(
            "chervilloft_text_version",
            "Version of the operators' text held here, 0 before the first",
        )
        .expect("the name is valid");
        let first_token =
            HistogramOpts::new("chervilloft_first_token_seconds", "Time to the first token")
                .buckets(FIRST_TOKEN_BUCKETS.to_vec());
        let first_token = Histogram::with_opts(first_token).expect("the buckets are sorted");
        for collector in [
            Box::new(in_progress.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(text_version.clone()),
            Box::new(first_token.clone()),
        ] {
            registry
                .register(collector)
                .expect("each name is used once");
        }
        Metrics {
            outcomes,
            moves,
            recomputed,
            in_progress,
            relayed_tokens: counter("chervilloft_relayed_tokens_total", "Tokens sent to callers"),
            retries: counter("chervilloft_retries_total", "Second dispatches"),
            limited: counter("chervilloft_limited_total", "Requests over a limit"),
            handover_failures: counter(
                "chervilloft_handover_failures_total",
                "Accepted requests cut by a planned stop, as no other entry took them over",
            ),
            lifecycle_errors: counter(
                "chervilloft_lifecycle_errors_total",
                "Steps that the lifecycle of a request does not allow",
            ),
            text_version,
            first_token,
            registry,
        }
    }
}

fn counter(registry: &Registry, opts: Opts) -> IntCounter {
    let counter = IntCounter::with_opts(opts).expect("the name is valid");
    registry
        .register(Box::new(counter.clone()))
        .expect("each name is used once");
    counter
}

impl Metrics {
    /// Adds metrics that are counted elsewhere in the process.
    pub(crate) fn register(&self, collectors: Vec<Box<dyn prometheus::core::Collector>>) {
        for collector in collectors {
            let registered = self.registry.register(collector);
            registered.expect("each name is used once");
        }
    }

    /// Counts the end of a request.
    pub(crate) fn record_end(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].inc();
    }

    /// Counts a stream that is moved to another upstream.
    pub(crate) fn record_move(&self, cause: Cause) {
        self.moves[cause as usize].inc();
    }

    /// Counts tokens that were computed a second time.
    pub(crate) fn record_recomputed(&self, cause: Cause, tokens: u64) {
        self.recomputed[cause as usize].inc_by(tokens);
    }

    /// Records the time to the first token.
    pub(crate) fn record_first_token(&self, elapsed: Duration) {
        self.first_token.observe(elapsed.as_secs_f64());
    }

    /// Records the version of the operators' text that this process holds.
    pub(crate) fn record_text_version(&self, version: Version) {
        self.text_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("the metrics are written to memory");
        text
    }
}
