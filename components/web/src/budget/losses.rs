//! Metrics and log lines of what was dropped.

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::core::Collector;
use prometheus::{IntCounter, IntGauge};
use tracing::warn;

use super::Budget;

/// Shortest time between two log lines, in microseconds.
const LOG_INTERVAL_US: u64 = 1_000_000;

/// Bodies that were dropped or refused.
#[derive(Debug)]
pub(super) struct Losses {
    dropped: IntCounter,
    dropped_bytes: IntCounter,
    refused: IntCounter,
    used: IntGauge,
    limit: IntGauge,
    /// Time from which the next line may be logged, in microseconds since the creation of the budget.
    next_line: AtomicU64,
}

impl Losses {
    pub(super) fn new() -> Losses {
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("valid metric");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("valid metric");
        Losses {
            dropped: counter(
                "chervilloft_memory_dropped_bodies_total",
                "Bodies in progress dropped because the memory budget was short.",
            ),
            dropped_bytes: counter(
                "chervilloft_memory_dropped_bytes_total",
                "Bytes of the buffers of dropped bodies.",
            ),
            refused: counter(
                "chervilloft_memory_refused_bodies_total",
                "Bodies refused because the memory budget was short.",
            ),
            used: gauge(
                "chervilloft_memory_used_bytes",
                "Bytes of the memory budget that are reserved.",
            ),
            limit: gauge("chervilloft_memory_limit_bytes", "The memory budget."),
            next_line: AtomicU64::new(0),
        }
    }

    pub(super) fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    pub(super) fn set_limit(&self, limit: usize) {
        self.limit.set(i64::try_from(limit).unwrap_or(i64::MAX));
    }

    pub(super) fn set_used(&self, used: usize) {
        self.used.set(i64::try_from(used).unwrap_or(i64::MAX));
    }

    pub(super) fn record_dropped(&self, budget: &Budget, bytes: usize, stalled_us: u64) {
        self.dropped.inc();
        self.dropped_bytes.inc_by(bytes as u64);
        if self.may_log(budget.now()) {
            warn!(
                dropped = self.dropped.get(),
                refused = self.refused.get(),
                used = budget.used(),
                limit = budget.shared.limit,
                "memory: dropped a body of {bytes} bytes without progress for {} ms",
                stalled_us / 1_000
            );
        }
    }

    pub(super) fn record_refused(&self, budget: &Budget) {
        self.refused.inc();
        if self.may_log(budget.now()) {
            warn!(
                dropped = self.dropped.get(),
                refused = self.refused.get(),
                used = budget.used(),
                limit = budget.shared.limit,
                "memory: refused a body"
            );
        }
    }

    pub(super) fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.dropped.clone()),
            Box::new(self.dropped_bytes.clone()),
            Box::new(self.refused.clone()),
            Box::new(self.used.clone()),
            Box::new(self.limit.clone()),
        ]
    }

    /// Reports whether a line may be logged now, at most one a second.
    fn may_log(&self, now: u64) -> bool {
        let next = self.next_line.load(Ordering::Relaxed);
        now >= next
            && self
                .next_line
                .compare_exchange(
                    next,
                    now + LOG_INTERVAL_US,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                )
                .is_ok()
    }
}
