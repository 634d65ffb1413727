//! Assumptions of a forecast.

use serde::{Deserialize, Serialize};

/// Assumptions of a forecast; the demand of the services is in the text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Assumptions {
    /// Number of days in the month.
    pub days: u32,
    /// Demand in each hour of the day, relative to the peak that the text expects.
    pub daily: [f64; 24],
    /// Demand in a low month, relative to the expected one.
    pub low_demand: f64,
    /// Demand in a high month, relative to the expected one.
    pub high_demand: f64,
    /// Reclaims per hour of a reclaimable instance.
    pub reclaims_per_hour: f64,
    /// Instance hours that are paid while a replacement starts and loads.
    pub replacement_hours: f64,
}

impl Default for Assumptions {
    fn default() -> Self {
        Assumptions {
            days: 30,
            daily: [
                0.35, 0.3, 0.3, 0.3, 0.35, 0.45, 0.6, 0.75, 0.9, 1.0, 1.0, 0.95, 0.85, 0.95, 1.0,
                1.0, 0.95, 0.9, 0.8, 0.7, 0.6, 0.5, 0.45, 0.4,
            ],
            low_demand: 0.85,
            high_demand: 1.2,
            reclaims_per_hour: 0.02,
            replacement_hours: 0.05,
        }
    }
}
