//! A low, a middle and a high figure.

use std::ops::{Add, AddAssign, Mul};

use serde::{Deserialize, Serialize};

/// A figure with what it may fall and rise to.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Range {
    /// One month in ten is expected below.
    pub low: f64,
    /// The expected figure.
    pub middle: f64,
    /// One month in ten is expected above.
    pub high: f64,
}

impl Add for Range {
    type Output = Range;

    fn add(self, other: Range) -> Range {
        Range {
            low: self.low + other.low,
            middle: self.middle + other.middle,
            high: self.high + other.high,
        }
    }
}

impl AddAssign for Range {
    fn add_assign(&mut self, other: Range) {
        *self = *self + other;
    }
}

impl Mul<f64> for Range {
    type Output = Range;

    fn mul(self, factor: f64) -> Range {
        Range {
            low: self.low * factor,
            middle: self.middle * factor,
            high: self.high * factor,
        }
    }
}
