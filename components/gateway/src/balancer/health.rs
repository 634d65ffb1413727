//! Passive health checks: ejects an upstream whose requests fail repeatedly at this entry, and passes
//! over one that refuses them.

use std::time::{Duration, Instant};

/// Consecutive failures after which an upstream is ejected.
const EJECTION_THRESHOLD: u32 = 2;
/// Duration of the first ejection; it doubles with each further failure.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Time for which an upstream is passed over after a refusal; it doubles with each further one. The
/// least loaded upstream is the one that refuses everything.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(50);
/// Longest time for which an upstream is passed over after a refusal.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Weight of the newest outcome in the failure rate.
const NEWEST_WEIGHT: f64 = 0.25;

/// Recent failures of one upstream, as observed by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    failure_rate: f64,
    ejected_until: Option<Instant>,
    consecutive_refusals: u32,
    passed_over_until: Option<Instant>,
}

impl Health {
    /// Returns the moving average of failed requests, from 0 to 1.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Reports whether the upstream is ejected.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Reports whether the upstream was ejected and has answered no request since.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures >= EJECTION_THRESHOLD
    }

    /// Reports whether the upstream is passed over, because it is ejected or has just refused a
    /// request.
    pub(super) fn is_passed_over(&self, now: Instant) -> bool {
        self.is_ejected(now) || self.passed_over_until.is_some_and(|until| now < until)
    }

    /// Ends an ejection.
    pub(super) fn end_ejection(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = None;
    }

    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = None;
        self.consecutive_refusals = 0;
        self.passed_over_until = None;
        self.failure_rate *= 1.0 - NEWEST_WEIGHT;
    }

    pub(super) fn record_refusal(&mut self, now: Instant) {
        let duration = MIN_REFUSAL_TIME * 2_u32.pow(self.consecutive_refusals.min(8));
        self.consecutive_refusals += 1;
        self.passed_over_until = Some(now + duration.min(MAX_REFUSAL_TIME));
    }

    /// Ejects the upstream at once: no further request has to find out that it is gone.
    pub(super) fn record_unreachable(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.max(EJECTION_THRESHOLD - 1);
        self.record_failure(now);
    }

    pub(super) fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.failure_rate += (1.0 - self.failure_rate) * NEWEST_WEIGHT;
        if let Some(exponent) = self.consecutive_failures.checked_sub(EJECTION_THRESHOLD) {
            let duration = MIN_EJECTION_TIME * 2_u32.pow(exponent.min(8));
            self.ejected_until = Some(now + duration.min(MAX_EJECTION_TIME));
        }
    }
}
