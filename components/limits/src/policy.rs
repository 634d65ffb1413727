//! How allowance is handed out.

use std::time::Duration;

/// Sizes and times of batches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Largest batch, in units of the limit. A smaller one is taken where the limit is low.
    pub batch: f64,
    /// Largest batch, as time at the account's full rate.
    pub batch_time: Duration,
    /// Time for which a batch may be spent.
    pub lease: Duration,
    /// Units that an account may spend at once, as time at its full rate.
    pub burst: Duration,
    /// Shortest wait before an entry that was given less than a whole batch asks again.
    pub pause: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            batch: 100.0,
            batch_time: Duration::from_millis(50),
            lease: Duration::from_secs(5),
            burst: Duration::from_secs(1),
            pause: Duration::from_millis(200),
        }
    }
}

impl Policy {
    /// Returns the largest batch for an account whose limit is `rate` units per second.
    pub fn batch_at(&self, rate: f64) -> f64 {
        let by_time = rate * self.batch_time.as_secs_f64();
        self.batch.min(by_time.max(1.0))
    }
}
