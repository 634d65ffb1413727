//! Whether an upstream answers, by what this entry sees of it.

use std::time::{Duration, Instant};

/// Failures in a row after which an upstream is left alone for a while.
const FAILURES: u32 = 2;
/// Shortest time for which it is left alone.
const SHORTEST: Duration = Duration::from_millis(500);
/// Longest time for which it is left alone.
const LONGEST: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the share of failures.
const NEWEST_WEIGHT: f64 = 0.25;

/// Failures of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    in_a_row: u32,
    share: f64,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Returns the share of lately failed requests, from 0 to 1.
    pub(super) fn failing(&self) -> f64 {
        self.share
    }

    /// Reports whether the upstream is left alone.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn succeeded(&mut self) {
        self.in_a_row = 0;
        self.ejected_until = None;
        self.share *= 1.0 - NEWEST_WEIGHT;
    }

    pub(super) fn failed(&mut self, now: Instant) {
        self.in_a_row += 1;
        self.share += (1.0 - self.share) * NEWEST_WEIGHT;
        if let Some(times) = self.in_a_row.checked_sub(FAILURES) {
            let pause = SHORTEST * 2_u32.pow(times.min(8));
            self.ejected_until = Some(now + pause.min(LONGEST));
        }
    }
}
