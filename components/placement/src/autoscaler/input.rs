//! Inputs of a plan besides the supply.

use indexmap::IndexMap;
use performance::Sizing;

use crate::Slot;

/// What a service is expected to need.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Forecast {
    /// Numbers of instances; 0 without any demand.
    pub sizing: Sizing,
    /// Whether it follows from what the instances were seen to do, and not from assumptions.
    pub is_learned: bool,
}

/// What is known of a service besides its instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Input {
    /// What the service is expected to need.
    pub forecast: Forecast,
    /// Whether the service is balanced by work. A service of which nothing was learned may turn out
    /// to be so with the first answers.
    pub is_balanced_by_work: bool,
    /// Sum of the speeds of the serving instances of a slot, where speeds are known; 1.0 is the usual
    /// speed of the service.
    pub speeds: IndexMap<Slot, f64>,
}

impl From<Forecast> for Input {
    fn from(forecast: Forecast) -> Self {
        Input {
            forecast,
            ..Input::default()
        }
    }
}
