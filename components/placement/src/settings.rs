//! Settings of a planner.

use std::time::Duration;

use config::text::Objective;

/// Settings of a [`Planner`](crate::Planner).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Capacity to provide, relative to the demand.
    pub headroom: f64,
    /// Capacity, relative to the demand, above which instances are released.
    pub surplus: f64,
    /// Time for which a surplus must last before instances are released.
    pub scale_down_delay: Duration,
    /// Share of the capacity that is bought on demand, regardless of the price.
    pub on_demand_share: f64,
    /// Share of the price by which a new instance must be cheaper than one that is already held.
    pub switching_margin: f64,
    /// Cost of one reclaim in instance hours: the start, the loads and the lost caches.
    pub reclaim_hours: f64,
    /// First wait after a refused start; it doubles with each refusal.
    pub backoff: Duration,
    /// Maximum wait after refused starts.
    pub max_backoff: Duration,
    /// Time after which an instance that does not announce itself counts as refused.
    pub start_timeout: Duration,
    /// Size of one model's weights in bytes.
    pub weight_bytes: u64,
    /// Throughput of the weight store in bytes per second, shared by all readers.
    pub store_rate: u64,
    /// Time in which a load should finish, which limits the concurrent loads.
    pub load_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            headroom: 1.1,
            surplus: 1.4,
            scale_down_delay: Duration::from_secs(600),
            on_demand_share: 0.2,
            switching_margin: 0.15,
            reclaim_hours: 0.25,
            backoff: Duration::from_secs(30),
            max_backoff: Duration::from_secs(900),
            start_timeout: Duration::from_secs(300),
            weight_bytes: 16_000_000_000,
            store_rate: 1_000_000_000,
            load_time: Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Returns the settings for an objective.
    ///
    /// With [`Objective::RecomputedTokens`] a lost cache costs more, so more capacity is bought on
    /// demand and instances are moved only for larger savings.
    pub fn for_objective(objective: Objective) -> Self {
        match objective {
            Objective::Cost => Settings::default(),
            Objective::RecomputedTokens => Settings {
                on_demand_share: 0.35,
                switching_margin: 0.3,
                reclaim_hours: 1.0,
                ..Settings::default()
            },
        }
    }

    /// Returns the maximum number of concurrent loads, at least 1.
    pub fn max_loads(&self) -> usize {
        let bytes = self.store_rate as f64 * self.load_time.as_secs_f64();
        ((bytes / self.weight_bytes.max(1) as f64) as usize).max(1)
    }
}
