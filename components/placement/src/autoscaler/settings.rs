//! Settings of the autoscaler.

use std::time::Duration;

use super::Economy;

/// Settings of an [`Autoscaler`](super::Autoscaler).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Minimum number of instances that must remain after a loss of data centres.
    pub min_survivors: u32,
    /// Time for which fewer instances must be sufficient before fewer are ordered.
    pub scale_down_delay: Duration,
    /// Time since the sizing was learned first before fewer instances are ordered than there were.
    pub learning_time: Duration,
    /// Time for which a slot is excluded after its instances were taken back.
    pub reclaim_backoff: Duration,
    /// Time for which a slot is excluded after the cloud had none to sell.
    pub refusal_backoff: Duration,
    /// Time after a reclaim within which another one belongs to the same wave.
    pub reclaim_window: Duration,
    /// Prices and values for services that are balanced by work.
    pub economy: Economy,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            min_survivors: 3,
            scale_down_delay: Duration::from_secs(12),
            learning_time: Duration::from_secs(4),
            reclaim_backoff: Duration::from_secs(6),
            refusal_backoff: Duration::from_secs(2),
            reclaim_window: Duration::from_secs(12),
            economy: Economy::default(),
        }
    }
}
