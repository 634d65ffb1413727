//! Backoff after refused starts.

use std::time::{Duration, Instant};

use crate::Settings;

/// Number of doublings after which the wait no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// The backoff of one slot and service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    refusals: u32,
    until: Instant,
}

impl Backoff {
    /// Returns the backoff after one more refusal.
    pub(crate) fn next(previous: Option<Backoff>, settings: &Settings, now: Instant) -> Self {
        let refusals = previous.map_or(0, |previous| previous.refusals);
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

    /// Returns the remaining wait, or `None` if a start may be tried again.
    pub(crate) fn remaining(&self, now: Instant) -> Option<Duration> {
        let remaining = self.until.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}
