//! One line of a forecast.

use config::ids::ServiceId;
use serde::{Deserialize, Serialize};

use super::Range;
use crate::Slot;

/// The spend of one service in one data centre and class, and what it is made of.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Data centre and class.
    #[serde(flatten)]
    pub slot: Slot,
    /// Service.
    pub service: ServiceId,
    /// Instance hours.
    pub hours: Range,
    /// Price per instance hour.
    pub price: f64,
    /// Spend in currency units: hours at the price.
    pub spend: Range,
    /// Part of the middle spend that instances lost to reclaims and their replacements cost.
    pub reclaim_losses: f64,
    /// Part of the middle spend that the trend adds to that of the days known.
    pub growth: f64,
}
