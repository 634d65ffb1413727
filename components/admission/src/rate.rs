//! Rates that follow what arrives.

use std::time::{Duration, Instant};

use crate::Demand;

/// Shortest time over which a rate is taken, since one report says nothing of the time before it.
const MIN_TIME: Duration = Duration::from_millis(500);

/// An exponentially decaying average of a demand per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    sum: Demand,
    at: Instant,
}

impl Rate {
    pub(crate) fn new(now: Instant) -> Self {
        Rate {
            sum: Demand::default(),
            at: now,
        }
    }

    /// Adds what arrived, on average, `age` before `now`. After `time_constant`, it counts for 1/e of its
    /// weight.
    pub(crate) fn add(
        &mut self,
        arrived: Demand,
        age: Duration,
        time_constant: Duration,
        now: Instant,
    ) {
        let arrived = arrived * decay(age, time_constant);
        self.sum = self.decayed_sum(time_constant, now) + arrived;
        self.at = now;
    }

    /// Returns the rate per second of what was observed since `started`.
    pub(crate) fn per_second(
        &self,
        time_constant: Duration,
        started: Instant,
        now: Instant,
    ) -> Demand {
        let observed = now.saturating_duration_since(started).max(MIN_TIME);
        let weight = 1.0 - decay(observed, time_constant);
        let seconds = time_constant.as_secs_f64() * weight;
        self.decayed_sum(time_constant, now) * (1.0 / seconds)
    }

    /// Returns when it last rose.
    pub(crate) fn at(&self) -> Instant {
        self.at
    }

    fn decayed_sum(&self, time_constant: Duration, now: Instant) -> Demand {
        let passed = now.saturating_duration_since(self.at);
        self.sum * decay(passed, time_constant)
    }
}

fn decay(passed: Duration, time_constant: Duration) -> f64 {
    (-passed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
