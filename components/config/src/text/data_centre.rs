//! Data centres and what instances cost in them.

use serde::{Deserialize, Serialize};

use crate::ids::RegionId;

/// A data centre in which instances run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DataCentre {
    /// Region that holds the data centre.
    pub region: RegionId,
    /// Cost of a reclaimable instance.
    pub reclaimable: Cost,
    /// Cost of an on-demand instance.
    pub on_demand: Cost,
}

/// Price and limits for one class in one data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cost {
    /// Price of one instance, in currency units per hour.
    pub price: f64,
    /// Largest spend, in currency units per calendar month.
    pub budget: Option<f64>,
    /// Largest count of instances.
    pub max_instances: Option<u32>,
}
