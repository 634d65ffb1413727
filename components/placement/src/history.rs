//! The reclaim history of a slot.

use std::time::Instant;

/// Time in hours after which a reclaim counts half.
const HALF_LIFE_HOURS: f64 = 48.0;
/// Instance hours that are assumed before any are observed.
const PRIOR_HOURS: f64 = 50.0;
/// Reclaims that are assumed in [`PRIOR_HOURS`].
const PRIOR_RECLAIMS: f64 = 1.0;

/// Reclaims and instance hours of one slot, both decaying with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct History {
    reclaims: f64,
    hours: f64,
    updated: Instant,
}

impl History {
    pub(crate) fn new(now: Instant) -> Self {
        History {
            reclaims: PRIOR_RECLAIMS,
            hours: PRIOR_HOURS,
            updated: now,
        }
    }

    /// Adds the time since the last call for `held` instances and lets older observations decay.
    pub(crate) fn advance(&mut self, held: u32, now: Instant) {
        let hours = now.saturating_duration_since(self.updated).as_secs_f64() / 3_600.0;
        let decay = 0.5_f64.powf(hours / HALF_LIFE_HOURS);
        self.reclaims = PRIOR_RECLAIMS + (self.reclaims - PRIOR_RECLAIMS) * decay;
        self.hours = PRIOR_HOURS + (self.hours - PRIOR_HOURS) * decay + hours * f64::from(held);
        self.updated = now;
    }

    pub(crate) fn record_reclaim(&mut self) {
        self.reclaims += 1.0;
    }

    /// Returns the expected reclaims per instance hour.
    pub(crate) fn rate(&self) -> f64 {
        self.reclaims / self.hours
    }
}
