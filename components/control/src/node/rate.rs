//! Requests of callers for a service, per second.

use std::time::{Duration, Instant};

/// Time constant of the decay: after it, an arrival counts for 1/e of its weight.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Shortest time over which the rate is taken, since one report says nothing of the time before it.
const MIN_TIME: Duration = Duration::from_millis(500);

/// An exponentially decaying average of the arrival rate since a start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    sum: f64,
    started: Instant,
    at: Instant,
}

impl Rate {
    pub(super) fn new(now: Instant) -> Self {
        Rate {
            sum: 0.0,
            started: now,
            at: now,
        }
    }

    /// Adds `count` requests.
    pub(super) fn add(&mut self, count: u64, now: Instant) {
        self.sum = self.decayed_sum(now) + count as f64;
        self.at = now;
    }

    /// Returns the rate per second. What came before the start is unknown and not taken as zero.
    pub(super) fn per_second(&self, now: Instant) -> f64 {
        let observed = now.saturating_duration_since(self.started).max(MIN_TIME);
        let weight = 1.0 - decay(observed);
        self.decayed_sum(now) / (TIME_CONSTANT.as_secs_f64() * weight)
    }

    fn decayed_sum(&self, now: Instant) -> f64 {
        self.sum * decay(now.saturating_duration_since(self.at))
    }
}

fn decay(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
