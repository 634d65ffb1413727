//! Waits after refused starts.

use std::time::{Duration, Instant};

use crate::Settings;

/// Doublings after which the wait no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// The wait of one slot and service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    refusals: u32,
    until: Instant,
}

impl Backoff {
    /// Returns the wait after one more refusal.
    pub(crate) fn after(known: Option<Backoff>, settings: &Settings, now: Instant) -> Self {
        let refusals = known.map_or(0, |known| known.refusals);
        let factor = 1_u32 << refusals.min(MAX_DOUBLINGS);
        let wait = settings
            .backoff
            .saturating_mul(factor)
            .min(settings.max_backoff);
        Backoff {
            refusals: refusals + 1,
            until: now + wait,
        }
    }

    pub(crate) fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
