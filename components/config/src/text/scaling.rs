//! Limits and prices of instances that are ordered by count.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::DataCentreId;

/// Limits and prices of a service whose instances are ordered by count.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scaling {
    /// Fewest instances in each data centre, of both classes together.
    pub min_count: u32,
    /// Most instances in each data centre, of both classes together.
    pub max_count: u32,
    /// Time from the order of an instance until it serves.
    #[serde(with = "crate::duration")]
    pub boot_time: Duration,
    /// Price of a reclaimable instance, relative to an on-demand instance.
    pub reclaimable_price: f64,
    /// Relative prices of on-demand instances, by data centre.
    pub prices: IndexMap<DataCentreId, f64>,
}

impl Default for Scaling {
    fn default() -> Self {
        Scaling {
            min_count: 1,
            max_count: 1,
            boot_time: Duration::from_secs(5),
            reclaimable_price: 1.0,
            prices: IndexMap::new(),
        }
    }
}
