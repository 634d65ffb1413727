//! The retry budget, which limits retries and hedged calls to a share of the requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Hundredths of a retry that each request adds.
const EARNED_PER_REQUEST: i64 = 10;
/// Hundredths of a retry that one retry costs.
const COST_PER_RETRY: i64 = 100;
/// Largest balance, and the balance at the start, in hundredths of a retry.
const MAX_BALANCE: i64 = 2_000;

/// A token bucket of retries that is filled by requests instead of by time.
#[derive(Debug)]
pub struct Budget {
    hundredths: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            hundredths: AtomicI64::new(MAX_BALANCE),
        }
    }
}

impl Budget {
    /// Adds the share of a retry that one request earns.
    pub fn earn(&self) {
        let add = |have: i64| Some((have + EARNED_PER_REQUEST).min(MAX_BALANCE));
        let _ = self
            .hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry, and returns whether the balance covered it.
    pub fn spend(&self) -> bool {
        let take = |have: i64| (have >= COST_PER_RETRY).then_some(have - COST_PER_RETRY);
        self.hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
