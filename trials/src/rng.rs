//! Random numbers from a fixed seed.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Random number generator; the same seed gives the same numbers.
#[derive(Debug)]
pub struct Rng(StdRng);

impl Rng {
    /// Returns the generator for `seed`.
    pub fn new(seed: u64) -> Rng {
        Rng(StdRng::seed_from_u64(seed))
    }

    /// Returns a uniformly distributed number in `range`.
    pub fn sample(&mut self, range: Range<u64>) -> u64 {
        self.0.random_range(range)
    }
}
