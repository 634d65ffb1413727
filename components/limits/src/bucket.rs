//! A token bucket.

use std::time::{Duration, Instant};

/// A token bucket: units become available at a steady rate, up to a capacity.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    units: f64,
    updated_at: Instant,
}

impl Bucket {
    /// Returns a full bucket that refills at `rate` units per second. Its capacity is the units of
    /// `burst` at that rate, at least one.
    pub fn new(rate: f64, burst: Duration, now: Instant) -> Self {
        let capacity = (rate * burst.as_secs_f64()).max(1.0);
        Bucket {
            rate,
            capacity,
            units: capacity,
            updated_at: now,
        }
    }

    /// Returns the refill rate in units per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the largest level.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Changes the rate and the capacity from `now` on.
    pub fn set_rate(&mut self, rate: f64, burst: Duration, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.capacity = (rate * burst.as_secs_f64()).max(1.0);
        self.units = self.units.min(self.capacity);
    }

    /// Limits the level at `now` to what `held` units leave of the capacity.
    pub fn cap(&mut self, held: f64, now: Instant) {
        self.units = self.available(held, now);
    }

    /// Returns the units that are available at `now`. `held` units were taken and not spent yet;
    /// they count towards the capacity.
    pub fn available(&mut self, held: f64, now: Instant) -> f64 {
        self.refill(now);
        self.units.min(self.capacity - held)
    }

    /// Takes `units` if they are available, and reports whether it did. A request for more than
    /// the capacity succeeds when the bucket is full; it leaves a level below zero, which has to be
    /// refilled before the next units are taken. `held` units count towards the capacity.
    pub fn take(&mut self, units: f64, held: f64, now: Instant) -> bool {
        let available = self.available(held, now);
        let enough = available >= self.needed(units, held);
        if enough {
            self.units = available - units;
        }
        enough
    }

    /// Puts back units that were taken and not spent.
    pub fn put_back(&mut self, units: f64) {
        self.units = (self.units + units.max(0.0)).min(self.capacity);
    }

    /// Returns the time until [`Bucket::take`] succeeds for `units`, as far as that depends on the
    /// rate.
    pub fn wait_time(&mut self, units: f64, held: f64, now: Instant) -> Duration {
        let available = self.available(held, now);
        let missing = (self.needed(units, held) - available).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    /// Returns the level at which `units` can be taken.
    fn needed(&self, units: f64, held: f64) -> f64 {
        match units > self.capacity {
            true => self.capacity - held,
            false => units,
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.units = (self.units + elapsed * self.rate).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }
}
