//! Speeds of instances, relative to the usual one of the service.

use indexmap::IndexMap;

use super::{Input, Supply};
use crate::Slot;

/// Bounds of the speed of an instance.
const SPEEDS: (f64, f64) = (0.25, 4.0);

/// Returns the mean speed of the instances of a slot, if it is known.
pub(super) fn speed(slot: &Slot, supply: &IndexMap<Slot, Supply>, input: &Input) -> Option<f64> {
    let sum = *input.speeds.get(slot)?;
    let serving = supply.get(slot).map_or(0, |supply| supply.serving);
    let mean = sum / f64::from(serving);
    mean.is_finite().then_some(mean.clamp(SPEEDS.0, SPEEDS.1))
}

/// Returns the mean speed of all instances whose speed is known, and 1.0 if none is.
pub(super) fn mean_speed(supply: &IndexMap<Slot, Supply>, input: &Input) -> f64 {
    let known = input.speeds.iter().filter_map(|(slot, _)| {
        let serving = f64::from(supply.get(slot)?.serving);
        Some((speed(slot, supply, input)? * serving, serving))
    });
    let (speeds, serving) = known.fold((0.0, 0.0), |(a, b), (c, d)| (a + c, b + d));
    match serving > 0.0 {
        true => speeds / serving,
        false => 1.0,
    }
}
