//! A token bucket in one atomic word, without a lock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time for which an account may save up unused rate.
const BURST: Duration = Duration::from_secs(1);

/// Holds the time until which the rate is used up, in nanoseconds since the owner's start.
#[derive(Debug, Default)]
pub struct Bucket {
    used_until: AtomicU64,
}

impl Bucket {
    /// Takes `amount` at `now`, the time since the owner's start, under `rate` per second.
    ///
    /// # Errors
    /// Returns the time after which the amount can be taken.
    pub fn take(&self, amount: f64, rate: f64, now: Duration) -> Result<(), Duration> {
        let cost = nanos(amount, rate);
        let burst = nanos(1.0, rate).max(BURST.as_nanos() as u64);
        let now = now.as_nanos() as u64;
        let latest = now.saturating_add(burst);
        let taken = self
            .used_until
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                let start = used.max(now);
                let end = start.saturating_add(cost);
                // An amount above the burst passes once nothing is used up.
                (end <= latest || start == now).then_some(end)
            });
        taken.map(drop).map_err(|used| {
            let over = used.saturating_add(cost).saturating_sub(latest);
            let idle = used.saturating_sub(now);
            Duration::from_nanos(over.min(idle))
        })
    }
}

fn nanos(amount: f64, rate: f64) -> u64 {
    const NANOS_PER_SECOND: f64 = 1e9;
    match rate > 0.0 {
        true => (amount / rate * NANOS_PER_SECOND) as u64,
        false => u64::MAX / 4,
    }
}
