//! The share of prompts that an engine is the home of, by its speed.

/// Levels for one doubling of the speed. Each change of a level moves homes, so there are few.
const LEVELS_PER_DOUBLING: f64 = 2.0;
/// Distance from a level, in levels, from which on the speed belongs to another one. Beyond half a
/// level, so that a speed between two levels keeps to one of them.
const HYSTERESIS: f64 = 0.85;
/// Time constant over which the speed is averaged, in seconds. Other workloads slow an engine for
/// some 600 ms at a time; averaged over 10 s, these changed levels 17 times in 10 minutes.
const AVERAGE_TIME_S: f64 = 30.0;
/// Lowest and highest level: a quarter of the usual speed, and four times that.
const RANGE: i8 = 4;

/// Speed of an engine, rounded to few levels; 0 is the usual speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    level: i8,
    /// Average of the speed's logarithm, in levels.
    average: f64,
}

impl Level {
    /// Follows the speed, which was last followed `elapsed_s` seconds before. Reports whether the
    /// level has changed.
    pub fn follow(&mut self, speed: f64, elapsed_s: f64) -> bool {
        let levels = speed.log2() * LEVELS_PER_DOUBLING;
        if !levels.is_finite() {
            return false;
        }
        let weight = 1.0 - (-elapsed_s.max(0.0) / AVERAGE_TIME_S).exp();
        self.average += (levels - self.average) * weight;
        if (self.average - f64::from(self.level)).abs() < HYSTERESIS {
            return false;
        }
        let before = self.level;
        self.level = (self.average.round() as i8).clamp(-RANGE, RANGE);
        self.level != before
    }

    /// Returns the speed that the level stands for; 1.0 is the usual one.
    pub fn weight(self) -> f64 {
        (f64::from(self.level) / LEVELS_PER_DOUBLING).exp2()
    }

    /// Returns the score of an engine for a key, of which `hash` is the hash of both. The engine with
    /// the highest score is the home, so that each engine is the home of keys in proportion to its weight.
    pub fn score(self, hash: u64) -> f64 {
        // The upper 53 bits, within 0 and 1 and neither of them.
        let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -self.weight() / uniform.ln()
    }
}
