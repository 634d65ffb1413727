//! Sizes and times of the batches that the leader grants.

use std::time::Duration;

/// Sizes and times of the batches of one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Largest batch, in units of the limit.
    pub max_batch: f64,
    /// Largest batch as time at the account's full rate; it bounds the batch where the rate is low.
    pub max_batch_time: Duration,
    /// Time for which an entry may spend a batch.
    pub lease: Duration,
    /// Capacity of an account's bucket, as time at its full rate.
    pub burst: Duration,
    /// Shortest wait before an entry that received less than a whole batch may draw again.
    pub min_retry_after: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            max_batch: 100.0,
            max_batch_time: Duration::from_millis(50),
            lease: Duration::from_secs(5),
            burst: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(200),
        }
    }
}

impl Policy {
    /// Returns the largest batch, at least one unit, for a limit of `rate` units per second.
    pub fn max_batch_at(&self, rate: f64) -> f64 {
        let by_time = rate * self.max_batch_time.as_secs_f64();
        self.max_batch.min(by_time.max(1.0))
    }
}
