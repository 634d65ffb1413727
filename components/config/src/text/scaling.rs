//! How many instances of a service may be ordered, and what they cost.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::DataCentreId;

/// Bounds and prices of a service whose instances are ordered by count.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scaling {
    /// Fewest instances in each data centre, of both classes together.
    pub min_count: u32,
    /// Most instances in each data centre, of both classes together.
    pub max_count: u32,
    /// Time from an order until the instance serves.
    #[serde(with = "crate::duration")]
    pub boot_time: Duration,
    /// Price of a reclaimable instance relative to one on demand.
    pub reclaimable_price: f64,
    /// Price of an instance on demand by data centre, relative to each other.
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
