//! What a forecast takes for granted.

use serde::{Deserialize, Serialize};

/// Assumptions of a forecast.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Assumptions {
    /// Days of the month.
    pub days: u32,
    /// Demand in each hour of the day, relative to the text's expected peak.
    pub daily: [f64; 24],
    /// Demand of a low month, relative to the expected one.
    pub low_demand: f64,
    /// Demand of a high month, relative to the expected one.
    pub high_demand: f64,
    /// Reclaims of one reclaimable instance per hour.
    pub reclaims_per_hour: f64,
    /// Hours paid for while a replacement starts and loads.
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
