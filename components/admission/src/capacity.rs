//! What the engines of a service can take, corrected by how they are seen to cope.

use std::time::Duration;

use crate::Demand;

/// Share of its time for which an engine may compute prompts while requests still begin in time.
const COMPUTE_SHARE: f64 = 0.8;
/// Share of the places of the batches that may be taken on average.
const PLACE_SHARE: f64 = 0.85;
/// Average wait behind other prompts at which engines count as full, relative to the strictest
/// target: the wait of one request in twenty is three times as long.
const FULL_WAIT: f64 = 0.3;
/// Share of late answers at which engines count as full.
const FULL_LATE_SHARE: f64 = 0.1;
/// Fewest answers per second from which the share of late ones is taken.
const MIN_ANSWERS: f64 = 4.0;
/// Weight of the wait while no answer is late.
const MIN_WAIT_WEIGHT: f64 = 0.5;
/// Pressure below which more is admitted.
const LOW_PRESSURE: f64 = 0.7;
/// Pressure below which there is much room: half of the places are free and hardly anything waits.
const IDLE_PRESSURE: f64 = 0.5;
/// Factors by which the estimate changes in a period of a quarter of a second.
const RISE: f64 = 1.04;
const FAST_RISE: f64 = 1.15;
const FALL: f64 = 0.96;
/// Part of the pressure of a period before which it has to keep for the estimate to fall. A queue that
/// shrinks is worked off, whatever it came from.
const SHRINKING: f64 = 0.95;
/// Average wait behind other prompts that is left standing, relative to the strictest target, and the
/// time in which what is beyond it is worked off.
const STANDING_WAIT: f64 = 0.15;
const DRAIN_SECONDS: f64 = 1.0;
/// Part of the capacity that is admitted at least while a queue is worked off.
const MIN_ADMITTED: f64 = 0.4;
/// Exponent by which a correction fades in a period in which all demand is admitted: within half a
/// minute, since it was learned under another load.
const FADING: f64 = 0.99;
/// Bounds of the correction.
const MIN_FACTOR: f64 = 0.2;
const MAX_FACTOR: f64 = 5.0;

/// The engines of a service that serve.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Supply {
    /// Sum of their speeds; 1.0 is a usual engine.
    pub speed: f64,
    /// Sum of the places of their batches; 0 if they don't state it.
    pub places: f64,
    /// Strictest target for the time to the first event.
    pub target: Duration,
}

/// Requests of all entries at the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub requests: f64,
    /// Time in which a usual engine computes the prompts that are not computed yet, in milliseconds.
    pub waiting_ms: f64,
}

/// Estimate of what the engines of a service can take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// What they can take relative to what follows from their speed and places.
    factor: f64,
    /// Pressure of the period before.
    pressure: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            factor: 1.0,
            pressure: 0.0,
        }
    }
}

impl Capacity {
    /// Returns the work per second that `supply` can take under `load` so that requests begin in time.
    pub(crate) fn per_second(&self, supply: &Supply, load: &Load) -> Demand {
        let ms = 1_000.0 * self.factor;
        let compute_ms = supply.speed * COMPUTE_SHARE * ms;
        let standing_ms = supply.speed * millis(supply.target) * STANDING_WAIT;
        let excess_ms = (load.waiting_ms - standing_ms).max(0.0);
        let without_excess = compute_ms - excess_ms / DRAIN_SECONDS;
        Demand {
            requests: f64::INFINITY,
            compute_ms: without_excess.max(compute_ms * MIN_ADMITTED),
            place_ms: match supply.places > 0.0 {
                true => supply.places * PLACE_SHARE * ms,
                false => f64::INFINITY,
            },
        }
    }

    /// Returns the correction of the estimate.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// Corrects the estimate by the load of the engines and by the answers that began per second
    /// `(all, late)`. `is_short` is whether the demand is larger than the estimate.
    pub(crate) fn correct(
        &mut self,
        supply: &Supply,
        load: &Load,
        (begun, late): (f64, f64),
        is_short: bool,
    ) {
        let late = match begun >= MIN_ANSWERS {
            true => Some(late / begun / FULL_LATE_SHARE),
            false => None,
        };
        let engines = pressure(supply, load, late);
        let late = late.unwrap_or(0.0);
        let grows = engines >= self.pressure * SHRINKING;
        self.pressure = engines;
        let change = match engines {
            _ if engines > 1.0 && grows => FALL,
            _ if engines > 1.0 => 1.0,
            // Late answers tell of a load of some time ago, which the engines may have got over.
            _ if late > 1.0 && engines > IDLE_PRESSURE => FALL,
            _ if !is_short => self.factor.powf(FADING) / self.factor,
            _ if engines < IDLE_PRESSURE => FAST_RISE,
            _ if engines < LOW_PRESSURE => RISE,
            _ => 1.0,
        };
        self.factor = (self.factor * change).clamp(MIN_FACTOR, MAX_FACTOR);
    }
}

/// Returns how full the engines are: 1 from where on requests begin late. `late` is the share of late
/// answers relative to that of full engines, if it is known. While hardly any is late, the wait counts for
/// less, since it follows from a model that may be off.
fn pressure(supply: &Supply, load: &Load, late: Option<f64>) -> f64 {
    let full_wait_ms = supply.speed * millis(supply.target) * FULL_WAIT;
    let waiting = load.waiting_ms / full_wait_ms.max(f64::MIN_POSITIVE);
    let weight = late.map_or(1.0, |late| late.clamp(MIN_WAIT_WEIGHT, 1.0));
    let taken = match supply.places > 0.0 {
        true => load.requests / supply.places,
        false => 0.0,
    };
    (waiting * weight).max(taken)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
