//! Simulated requests of one account.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of entries.
pub(crate) const ENTRIES: usize = 10;
/// Simulated time of a run.
pub(crate) const LENGTH: Duration = Duration::from_secs(60);

/// The load that one account offers.
pub(crate) struct Load {
    /// Requests per second at all entries together.
    pub(crate) rate: f64,
    /// Fraction of the requests that reaches the first entry; the others share the rest.
    pub(crate) skew: f64,
    pub(crate) seed: u64,
}

/// A request at an entry, by time since the start of the run.
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) entry: usize,
}

impl Load {
    /// Returns the requests in order of time, with exponentially distributed intervals.
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
