//! Arrivals at the entries.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Entries.
pub(crate) const ENTRIES: usize = 10;
/// Length of a run.
pub(crate) const LENGTH: Duration = Duration::from_secs(60);

/// Requests of one account.
pub(crate) struct Load {
    /// Requests per second at all entries together.
    pub(crate) rate: f64,
    /// Part of them that reaches the first entry; the others share the rest.
    pub(crate) skew: f64,
    pub(crate) seed: u64,
}

/// A request.
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) entry: usize,
}

impl Load {
    /// Returns the requests in order, with exponential times between them.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at -= (1.0 - random.random::<f64>()).ln() / self.rate;
            if at >= LENGTH.as_secs_f64() {
                return arrivals;
            }
            let entry = match random.random::<f64>() < self.skew {
                true => 0,
                false => random.random_range(1..ENTRIES),
            };
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                entry,
            });
        }
    }
}
