//! What requests need of engines.

use std::ops::{Add, AddAssign, Mul, Sub};

/// What requests need of engines: per second as a demand or a capacity, otherwise in all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Number of requests.
    pub requests: f64,
    /// Time in which a usual engine computes their prompts, in milliseconds.
    pub compute_ms: f64,
    /// Time for which they take places in the batches of usual engines, in milliseconds.
    pub place_ms: f64,
}

impl Demand {
    /// Reports whether it needs no more than `room` has, of either kind.
    pub(crate) fn fits(&self, room: &Demand) -> bool {
        self.compute_ms <= room.compute_ms && self.place_ms <= room.place_ms
    }

    /// Returns the largest part of it that fits into `room`, at most 1.
    pub(crate) fn part_in(&self, room: &Demand) -> f64 {
        let part = |needed: f64, room: f64| match needed > 0.0 {
            true => (room / needed).clamp(0.0, 1.0),
            false => 1.0,
        };
        part(self.compute_ms, room.compute_ms).min(part(self.place_ms, room.place_ms))
    }

    /// Returns the larger one of its two parts of `capacity`.
    pub(crate) fn dominant_part_of(&self, capacity: &Demand) -> f64 {
        let part = |needed: f64, capacity: f64| needed / capacity.max(f64::MIN_POSITIVE);
        let compute = part(self.compute_ms, capacity.compute_ms);
        compute.max(part(self.place_ms, capacity.place_ms))
    }
}

impl Add for Demand {
    type Output = Demand;

    fn add(self, other: Demand) -> Demand {
        Demand {
            requests: self.requests + other.requests,
            compute_ms: self.compute_ms + other.compute_ms,
            place_ms: self.place_ms + other.place_ms,
        }
    }
}

impl AddAssign for Demand {
    fn add_assign(&mut self, other: Demand) {
        *self = *self + other;
    }
}

impl Sub for Demand {
    type Output = Demand;

    fn sub(self, other: Demand) -> Demand {
        self + other * -1.0
    }
}

impl Mul<f64> for Demand {
    type Output = Demand;

    fn mul(self, factor: f64) -> Demand {
        Demand {
            requests: self.requests * factor,
            compute_ms: self.compute_ms * factor,
            place_ms: self.place_ms * factor,
        }
    }
}
