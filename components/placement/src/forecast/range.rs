//! Ranges of forecast figures.

use std::ops::{Add, AddAssign, Mul};

use serde::{Deserialize, Serialize};

/// A figure with the values between which it lies in eight months out of ten.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Range {
    /// The value below which one month in ten is expected.
    pub low: f64,
    /// The expected value.
    pub middle: f64,
    /// The value above which one month in ten is expected.
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
