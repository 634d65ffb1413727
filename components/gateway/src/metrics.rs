//! Metrics of the request path.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::balancer::{Outcome, Speeds, Tally};

/// Upper bounds of the latency histograms' buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];

/// Metrics of one entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    limit_tokens: IntCounterVec,
    forwarded: IntCounterVec,
    planned: IntCounterVec,
    fetches: IntCounterVec,
    second_places: IntCounterVec,
    cold_tokens: IntCounterVec,
    rollout_requests: IntCounterVec,
    first_event: HistogramVec,
    total: HistogramVec,
    speeds: GaugeVec,
    /// Version of the text in force.
    pub version: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
            registry
                .register(Box::new(counters.clone()))
                .expect("metric registered once");
            counters
        };
        let histograms = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let histograms = HistogramVec::new(opts, &["route"]).expect("valid metric");
            registry
                .register(Box::new(histograms.clone()))
                .expect("metric registered once");
            histograms
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid metric");
            registry
                .register(Box::new(gauge.clone()))
                .expect("metric registered once");
            gauge
        };
        let speeds = GaugeVec::new(
            Opts::new(
                "chervilloft_gateway_upstream_speed",
                "Lowest, average and highest speed of the upstreams of a service.",
            ),
            &["service", "of"],
        )
        .expect("valid metric");
        registry
            .register(Box::new(speeds.clone()))
            .expect("metric registered once");
        Metrics {
            speeds,
            requests: counters(
                "chervilloft_gateway_requests_total",
                "Requests by route and outcome.",
                &["route", "outcome"],
            ),
            attempts: counters(
                "chervilloft_gateway_attempts_total",
                "Requests sent to upstreams, by service and outcome.",
                &["service", "outcome"],
            ),
            retries: counters(
                "chervilloft_gateway_retries_total",
                "Retries asked of the shared budget, by service and decision.",
                &["service", "decision"],
            ),
            limit_tokens: counters(
                "chervilloft_gateway_limit_tokens_total",
                "Tokens of requests under a limit of their account, by account and decision.",
                &["account", "decision"],
            ),
            forwarded: counters(
                "chervilloft_gateway_forwarded_total",
                "Attempts asked of other entries, by service and whether an upstream answered.",
                &["service", "outcome"],
            ),
            planned: counters(
                "chervilloft_gateway_planned_total",
                "Requests while the engines of a service can't take all, by service, rank and decision.",
                &["service", "rank", "decision"],
            ),
            fetches: counters(
                "chervilloft_gateway_prompt_fetches_total",
                "Prompts whose engine was told where to fetch shared parts, by service and source.",
                &["service", "source"],
            ),
            second_places: counters(
                "chervilloft_gateway_second_places_total",
                "Prompts sent to the second place of their shared parts, by service.",
                &["service"],
            ),
            cold_tokens: counters(
                "chervilloft_gateway_cold_tokens_total",
                "Tokens of shared parts that engines were expected to compute, by service.",
                &["service"],
            ),
            rollout_requests: counters(
                "chervilloft_gateway_rollout_requests_total",
                "Requests that ended during a roll-out, by service, version and outcome.",
                &["service", "version", "outcome"],
            ),
            first_event: histograms(
                "chervilloft_gateway_first_seconds",
                "Time to the first event, or to the head of a whole answer.",
            ),
            total: histograms(
                "chervilloft_gateway_total_seconds",
                "Time to the end of the answer.",
            ),
            version: gauge(
                "chervilloft_gateway_version",
                "Version of the text in force.",
            ),
            connections: gauge(
                "chervilloft_gateway_connections",
                "Open connections of callers.",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Adds metrics that are counted elsewhere in the process.
    pub(crate) fn register(&self, collectors: Vec<Box<dyn Collector>>) {
        for collector in collectors {
            let registered = self.registry.register(collector);
            registered.expect("metric registered once");
        }
    }

    /// Records a finished request. `first` is the time to the first event, if there was one.
    pub fn record_request(
        &self,
        route: &str,
        outcome: &str,
        first: Option<Duration>,
        total: Duration,
    ) {
        self.requests.with_label_values(&[route, outcome]).inc();
        if let Some(first) = first {
            let histogram = self.first_event.with_label_values(&[route]);
            histogram.observe(first.as_secs_f64());
        }
        let histogram = self.total.with_label_values(&[route]);
        histogram.observe(total.as_secs_f64());
    }

    /// Counts a failed attempt to send a request to an upstream.
    pub fn record_attempt(&self, service: &str, outcome: &str) {
        self.attempts.with_label_values(&[service, outcome]).inc();
    }

    /// Counts an attempt that was asked of another entry.
    pub fn record_forwarded(&self, service: &str, answered: bool) {
        let outcome = match answered {
            true => "answered",
            false => "failed",
        };
        self.forwarded.with_label_values(&[service, outcome]).inc();
    }

    /// Counts a request on which a plan decided, or that was admitted beyond it as there was room.
    pub fn record_plan(&self, service: &str, rank: u8, decision: &str) {
        let rank = rank.to_string();
        let labels = [service, rank.as_str(), decision];
        self.planned.with_label_values(&labels).inc();
    }

    /// Adds what was expected of the caches of a service's engines.
    pub fn record_tally(&self, service: &str, tally: &Tally) {
        let add = |counters: &IntCounterVec, labels: &[&str], count: u64| {
            if count > 0 {
                counters.with_label_values(labels).inc_by(count);
            }
        };
        add(&self.fetches, &[service, "known"], tally.known_sources);
        add(&self.fetches, &[service, "assumed"], tally.assumed_sources);
        add(&self.second_places, &[service], tally.second_places);
        add(&self.cold_tokens, &[service], tally.cold_tokens);
    }

    /// Counts a request that ended during a roll-out of its service.
    pub(crate) fn record_rollout(&self, service: &str, is_new: bool, outcome: Outcome) {
        let version = match is_new {
            true => "new",
            false => "old",
        };
        let outcome = match outcome {
            Outcome::Answered => "answered",
            Outcome::Failed => "failed",
            Outcome::Unsent | Outcome::Refused | Outcome::Unreachable => "not-run",
        };
        self.rollout_requests
            .with_label_values(&[service, version, outcome])
            .inc();
    }

    /// Counts a retry that was asked of the shared budget.
    pub fn record_retry(&self, service: &str, granted: bool) {
        let decision = match granted {
            true => "granted",
            false => "refused",
        };
        self.retries.with_label_values(&[service, decision]).inc();
    }

    /// Counts the tokens of a request under a limit of its account.
    pub fn record_limit(&self, account: &str, decision: &str, tokens: u64) {
        self.limit_tokens
            .with_label_values(&[account, decision])
            .inc_by(tokens);
    }

    /// Sets the speeds of a service's upstreams.
    pub fn set_speeds(&self, service: &str, speeds: &Speeds) {
        let values = [
            ("min", speeds.min),
            ("mean", speeds.mean),
            ("max", speeds.max),
        ];
        for (of, speed) in values {
            self.speeds.with_label_values(&[service, of]).set(speed);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            tracing::warn!("metrics: encoding failed: {error}");
        }
        bytes
    }
}
