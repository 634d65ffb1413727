//! Data centres and the cost of their instances.

use serde::{Deserialize, Serialize};

use crate::ids::RegionId;

/// A data centre in which instances run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DataCentre {
    /// Region of the data centre.
    pub region: RegionId,
    /// Cost of a reclaimable instance.
    pub reclaimable: Cost,
    /// Cost of an on-demand instance.
    pub on_demand: Cost,
}

/// Price and limits of one class of instances in one data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cost {
    /// Price of one instance, in currency units per hour.
    pub price: f64,
    /// Most spend, in currency units per calendar month; `None` for no limit.
    pub budget: Option<f64>,
    /// Most instances; `None` for no limit.
    pub max_instances: Option<u32>,
}
