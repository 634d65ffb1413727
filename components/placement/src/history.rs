//! How often a slot's instances were taken back.

use std::time::Instant;

/// Hours after which an old reclaim counts half.
const HALF_LIFE_HOURS: f64 = 48.0;
/// Instance hours that are taken as seen before the first one.
const PRIOR_HOURS: f64 = 50.0;
/// Reclaims in the hours of the prior.
const PRIOR_RECLAIMS: f64 = 1.0;

/// Reclaims and instance hours of one slot, both fading with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct History {
    reclaims: f64,
    hours: f64,
    at: Instant,
}

impl History {
    pub(crate) fn new(now: Instant) -> Self {
        History {
            reclaims: PRIOR_RECLAIMS,
            hours: PRIOR_HOURS,
            at: now,
        }
    }

    /// Counts the time since the last call for `held` instances.
    pub(crate) fn advance(&mut self, held: u32, now: Instant) {
        let hours = now.saturating_duration_since(self.at).as_secs_f64() / 3_600.0;
        let kept = 0.5_f64.powf(hours / HALF_LIFE_HOURS);
        self.reclaims = PRIOR_RECLAIMS + (self.reclaims - PRIOR_RECLAIMS) * kept;
        self.hours = PRIOR_HOURS + (self.hours - PRIOR_HOURS) * kept + hours * f64::from(held);
        self.at = now;
    }

    pub(crate) fn reclaimed(&mut self) {
        self.reclaims += 1.0;
    }

    /// Returns the expected reclaims of one instance per hour.
    pub(crate) fn rate(&self) -> f64 {
        self.reclaims / self.hours
    }
}
