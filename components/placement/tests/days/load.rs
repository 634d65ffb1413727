//! The load of a day, in engines with full caches that serve it in time.

use crate::random::Random;

/// Length of a wave of the load, in seconds.
const WAVE_S: f64 = 40.0;
/// Rise and fall of the load with a wave, relative to the mean.
const WAVE_SHARE: f64 = 0.3;
/// Load in a burst, relative to the load outside.
const BURST: f64 = 1.7;
/// Length of a burst, in seconds.
const BURST_S: f64 = 4.0;

/// A load curve that begins at 0 s.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    mean: f64,
    bursts: Vec<f64>,
}

impl Load {
    /// Returns a load of `mean` engines with a burst about every 20 s.
    pub(crate) fn new(mean: f64, day_s: f64, random: &mut Random) -> Self {
        let mut bursts = Vec::new();
        let mut at = random.between(8.0, 25.0);
        while at < day_s {
            bursts.push(at);
            at += random.between(12.0, 28.0);
        }
        Load { mean, bursts }
    }

    /// Returns the engines that the load needs at a time.
    pub(crate) fn at(&self, time_s: f64) -> f64 {
        if time_s < 0.0 {
            return 0.0;
        }
        let wave = 1.0 + WAVE_SHARE * (time_s / WAVE_S * std::f64::consts::TAU).sin();
        let is_burst = |start: &f64| (*start..*start + BURST_S).contains(&time_s);
        let burst = match self.bursts.iter().any(is_burst) {
            true => BURST,
            false => 1.0,
        };
        self.mean * wave * burst
    }
}
