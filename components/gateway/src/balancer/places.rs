//! The places that one entry has at an upstream which bears few refusals.

use std::time::{Duration, Instant};

/// Time over which an upstream counts refusals, and a margin for the ways of two requests.
pub(super) const WINDOW: Duration = Duration::from_millis(1_150);
/// Time for which an upstream counts as full while the requests of this entry there go on.
const FULL_TIME: Duration = Duration::from_secs(2);

/// Places of one entry at one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Places {
    /// Requests of which it is not known whether the upstream took them.
    taken: u32,
    /// Until when places are out of use.
    spent: Vec<Instant>,
    /// Requests of this entry that were in progress when the upstream last had no room, and until
    /// when that counts.
    full_at: Option<(u32, Instant)>,
}

impl Places {
    pub(super) fn take(&mut self, now: Instant) {
        self.spent.retain(|until| now < *until);
        self.taken += 1;
    }

    /// Gives a place back.
    pub(super) fn release(&mut self) {
        self.taken = self.taken.saturating_sub(1);
    }

    /// Puts a place out of use, as the upstream refused the request or may have while `running` other
    /// ones of this entry were in progress.
    pub(super) fn spend(&mut self, running: u32, now: Instant) {
        self.release();
        self.spent.push(now + WINDOW);
        self.full_at = Some((running, now + FULL_TIME));
    }

    /// Reports whether none of the requests that were in progress when the upstream had no room has
    /// ended, of which `running` are in progress now.
    pub(super) fn is_full(&self, running: u32, now: Instant) -> bool {
        let full_at = self.full_at.filter(|(_, until)| now < *until);
        full_at.is_some_and(|(full_at, _)| running >= full_at.max(1))
    }

    pub(super) fn in_use(&self, now: Instant) -> u32 {
        let spent = self.spent.iter().filter(|until| now < **until);
        self.taken + spent.count() as u32
    }

    /// Returns the time until a place comes back into use.
    pub(super) fn wait(&self, now: Instant) -> Option<Duration> {
        let left = |until: &Instant| until.checked_duration_since(now);
        self.spent.iter().filter_map(left).min()
    }
}
