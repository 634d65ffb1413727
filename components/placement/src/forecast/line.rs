//! One line of a forecast.

use config::ids::ServiceId;
use serde::{Deserialize, Serialize};

use super::Range;
use crate::Slot;

/// The expected spend of one service in one data centre and class, with its components.
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
    /// Part of the expected spend that is due to reclaims and the start of replacements.
    pub reclaim_losses: f64,
    /// Part of the expected spend that the trend adds to the mean of the recent days.
    pub growth: f64,
}
