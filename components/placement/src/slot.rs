//! A slot: one class of instances in one data centre.

use std::fmt;

use config::Text;
use config::ids::DataCentreId;
use config::text::{Class, Cost};
use serde::{Deserialize, Serialize};

/// Hours in a month, over which a budget is spread.
const MONTH_HOURS: f64 = 730.0;

/// One class of instances in one data centre, with its own price and limit.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Slot {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Class.
    pub class: Class,
}

impl Slot {
    /// Returns all slots of a text with their costs, in the order of the text.
    pub fn all(text: &Text) -> impl Iterator<Item = (Slot, Cost)> {
        text.data_centres.iter().flat_map(|(name, data_centre)| {
            let slot = |class| Slot {
                data_centre: name.clone(),
                class,
            };
            [
                (slot(Class::Reclaimable), data_centre.reclaimable),
                (slot(Class::OnDemand), data_centre.on_demand),
            ]
        })
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.data_centre, self.class.name())
    }
}

/// Returns the maximum number of instances that the limit and the monthly budget of a slot allow.
pub(crate) fn max_instances(cost: &Cost, price: f64) -> u32 {
    let by_budget = match cost.budget {
        Some(budget) if price > 0.0 => (budget / (price * MONTH_HOURS)) as u32,
        _ => u32::MAX,
    };
    cost.max_instances.unwrap_or(u32::MAX).min(by_budget)
}
