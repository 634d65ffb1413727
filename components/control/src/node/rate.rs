//! Requests of callers for a service, per second.

use std::time::{Duration, Instant};

use wire::DemandTotals;

/// Time constant of the decay: after it, an arrival counts for 1/e of its weight.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Shortest time over which the rate is taken, since one report says nothing of the time before it.
const MIN_TIME: Duration = Duration::from_millis(500);

/// The demand of callers for one service, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Demand {
    pub(super) requests: f64,
    /// Tokens of their prompts, cached or not.
    pub(super) input_tokens: f64,
    /// Largest number of tokens that their answers may have.
    pub(super) output_tokens: f64,
}

/// An exponentially decaying average of the arrival rate since a start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    sums: Demand,
    started: Instant,
    at: Instant,
}

impl Rate {
    pub(super) fn new(now: Instant) -> Self {
        Rate {
            sums: Demand::default(),
            started: now,
            at: now,
        }
    }

    /// Adds the rise of a total from `before` to `after`.
    pub(super) fn add(&mut self, before: DemandTotals, after: DemandTotals, now: Instant) {
        let rise = |before: u64, after: u64| after.saturating_sub(before) as f64;
        self.sums = self.decayed_sums(now);
        self.at = now;
        self.sums.requests += rise(before.requests, after.requests);
        self.sums.input_tokens += rise(before.input_tokens, after.input_tokens);
        self.sums.output_tokens += rise(before.output_tokens, after.output_tokens);
    }

    /// Returns the rate per second. What came before the start is unknown and not taken as zero.
    pub(super) fn per_second(&self, now: Instant) -> Demand {
        let observed = now.saturating_duration_since(self.started).max(MIN_TIME);
        let weight = 1.0 - decay(observed);
        let seconds = TIME_CONSTANT.as_secs_f64() * weight;
        self.decayed_sums(now).scale(1.0 / seconds)
    }

    fn decayed_sums(&self, now: Instant) -> Demand {
        let passed = now.saturating_duration_since(self.at);
        self.sums.scale(decay(passed))
    }
}

impl Demand {
    fn scale(self, factor: f64) -> Demand {
        Demand {
            requests: self.requests * factor,
            input_tokens: self.input_tokens * factor,
            output_tokens: self.output_tokens * factor,
        }
    }
}

fn decay(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
