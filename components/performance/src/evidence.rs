//! Evidence of an upstream's speed, which entries exchange.

use std::time::Duration;

/// Time constant with which evidence is forgotten. It spans several of an upstream's slow moments, so
/// that what remains is its average.
const LIFETIME: Duration = Duration::from_secs(10);

/// Evidence of an upstream's speed: the number of answers, of which old ones count less, and the
/// logarithm of the speed on their average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Number of answers.
    pub weight: f64,
    /// Sum of the logarithms.
    sum: f64,
}

impl Evidence {
    /// Creates the evidence of `weight` answers with the average `log`.
    pub fn new(weight: f64, log: f64) -> Evidence {
        Evidence {
            weight,
            sum: log * weight,
        }
    }

    /// Returns the average logarithm; 0 without any answer.
    pub fn average(&self) -> f64 {
        match self.weight {
            weight if weight > 0.0 => self.sum / weight,
            _ => 0.0,
        }
    }

    /// Returns this evidence and `other`.
    #[must_use]
    pub fn with(self, other: Evidence) -> Evidence {
        Evidence {
            weight: self.weight + other.weight,
            sum: self.sum + other.sum,
        }
    }

    /// Returns this evidence without the `part` of it; none if that has no less weight.
    pub(crate) fn without(self, part: Evidence) -> Evidence {
        match self.weight - part.weight {
            weight if weight > 0.0 => Evidence {
                weight,
                sum: self.sum - part.sum,
            },
            _ => Evidence::default(),
        }
    }

    /// Adds an answer.
    pub(crate) fn add(&mut self, log: f64) {
        *self = self.with(Evidence::new(1.0, log));
    }

    /// Lets the evidence age.
    pub(crate) fn decay(&mut self, age: Duration) {
        let factor = (-age.as_secs_f64() / LIFETIME.as_secs_f64()).exp();
        self.weight *= factor;
        self.sum *= factor;
    }
}
