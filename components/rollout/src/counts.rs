//! What entries count of the versions of a service.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use state::rollouts::{Number, Phase};

/// Most slots of a distribution of times. Slot `n` counts the times below the power `n` / 2 of 2 in
/// milliseconds that no lower slot counts; the last one counts all longer ones as well.
pub const MAX_TIME_SLOTS: usize = 40;
/// Most routes of a service that are counted separately.
pub const MAX_ROUTES: usize = 64;

/// What one entry counted in a roll-out since it learned of it, as totals.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Number of the roll-out.
    pub number: Number,
    /// Newest phase that the entry knows.
    pub phase: Option<Phase>,
    /// Counts of the new version.
    pub new: Version,
    /// Counts of all other versions.
    pub old: Version,
}

/// Counts of a version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Version {
    /// Requests at its upstreams at the time of the report.
    pub running: u32,
    /// Counts by the name of the route.
    pub routes: IndexMap<CompactString, Counts>,
}

impl Version {
    /// Returns the counts of a route, to be changed; `None` for a further one than [`MAX_ROUTES`].
    pub fn route_mut(&mut self, route: &str) -> Option<&mut Counts> {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return None;
            }
            self.routes.insert(route.into(), Counts::default());
        }
        self.routes.get_mut(route)
    }

    /// Returns the sum over all routes.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        for counts in self.routes.values() {
            total.add(counts);
        }
        total
    }
}

/// Counts of a version on a route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that ended, without those that the upstream did not run.
    pub ended: u64,
    /// Those of them that failed: a server error, a broken answer or none.
    pub failed: u64,
    /// Sum of the times of all that ended, in milliseconds.
    pub sum_ms: u64,
    /// Distribution of the times of those that did not fail, without empty slots at its end.
    pub times: Vec<u64>,
}

impl Counts {
    /// Counts a request that ended `elapsed` after it was sent.
    pub fn record(&mut self, elapsed: Duration, has_failed: bool) {
        let ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.ended += 1;
        self.sum_ms = self.sum_ms.saturating_add(ms);
        if has_failed {
            self.failed += 1;
            return;
        }
        let slot = slot(elapsed);
        if self.times.len() <= slot {
            self.times.resize(slot + 1, 0);
        }
        self.times[slot] += 1;
    }

    /// Adds counts of another entry or route.
    pub(crate) fn add(&mut self, other: &Counts) {
        self.sent = self.sent.saturating_add(other.sent);
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
        self.sum_ms = self.sum_ms.saturating_add(other.sum_ms);
        let slots = other.times.len().min(MAX_TIME_SLOTS);
        if self.times.len() < slots {
            self.times.resize(slots, 0);
        }
        for (sum, count) in self.times.iter_mut().zip(&other.times) {
            *sum = sum.saturating_add(*count);
        }
    }

    /// Returns what was counted since `earlier`.
    pub(crate) fn since(&self, earlier: &Counts) -> Counts {
        let earlier_time = |slot: usize| earlier.times.get(slot).copied().unwrap_or(0);
        let times = self.times.iter().enumerate();
        Counts {
            sent: self.sent.saturating_sub(earlier.sent),
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            sum_ms: self.sum_ms.saturating_sub(earlier.sum_ms),
            times: times
                .map(|(slot, count)| count.saturating_sub(earlier_time(slot)))
                .collect(),
        }
    }

    /// Returns the number of requests in the distribution of times.
    pub(crate) fn timed(&self) -> u64 {
        self.times.iter().sum()
    }

    /// Returns the number of requests in slots above `slot`.
    pub(crate) fn above(&self, slot: usize) -> u64 {
        self.times.iter().skip(slot + 1).sum()
    }

    /// Returns the lowest slot such that this share of the times are in it or below.
    pub(crate) fn quantile_slot(&self, share: f64) -> usize {
        let wanted = self.timed() as f64 * share;
        let mut sum = 0;
        for (slot, count) in self.times.iter().enumerate() {
            sum += count;
            if sum as f64 >= wanted {
                return slot;
            }
        }
        self.times.len()
    }
}

/// Returns the slot of a time in a distribution.
pub fn slot(elapsed: Duration) -> usize {
    let ms = elapsed.as_secs_f64() * 1_000.0;
    let slot = (2.0 * ms.max(1.0).log2()).floor() + 1.0;
    match ms < 1.0 {
        true => 0,
        false => (slot as usize).min(MAX_TIME_SLOTS - 1),
    }
}
