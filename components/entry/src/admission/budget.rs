//! The retry budget, which keeps retries and hedges to a share of the requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Hundredths of a retry that each request earns.
const EARNED_PER_REQUEST: i64 = 10;
/// Hundredths of a retry that one retry costs.
const COST: i64 = 100;
/// Most hundredths that can be saved up.
const LIMIT: i64 = 2_000;

/// Retries that may be spent.
#[derive(Debug)]
pub struct Budget {
    hundredths: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            hundredths: AtomicI64::new(LIMIT),
        }
    }
}

impl Budget {
    /// Counts a request.
    pub fn earn(&self) {
        let add = |have: i64| Some((have + EARNED_PER_REQUEST).min(LIMIT));
        let _ = self
            .hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry, and reports whether there was one.
    pub fn spend(&self) -> bool {
        let take = |have: i64| (have >= COST).then_some(have - COST);
        self.hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
