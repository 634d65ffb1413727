//! Prices and values against which the plan weighs instances.

use std::time::Duration;

/// Relations between the values of answers and the prices of instances, and the times over which
/// they are compared. Values are in prices of a usual on-demand instance per second.
#[derive(Clone, Debug, PartialEq)]
pub struct Economy {
    /// Value of the answers in time that a usual instance gives in a second. The price of an
    /// instance is that of one to two urgent answers, and an instance gives several.
    pub instance_value: f64,
    /// Share of the time in which the load rises to what [`performance::Sizing::comfortable`]
    /// instances serve.
    pub burst_share: f64,
    /// Probability that a data centre loses its reclaimable instances within an outage.
    pub loss_probability: f64,
    /// The same shortly after another one was lost.
    pub wave_loss_probability: f64,
    /// Value lost while the cache of a new instance fills.
    pub cold_cost: f64,
    /// Time for which a new reclaimable instance is expected to be of use.
    pub reclaimable_use: Duration,
    /// Time for which a new on-demand instance is expected to be of use: they bridge outages of
    /// reclaimable ones, which last up to 13 s.
    pub on_demand_use: Duration,
    /// Time after an increase of a slot before which it is not reduced. It exceeds the longest
    /// outage and a start.
    pub keep_time: Duration,
    /// Time for which an instance serves until its cache counts as filled.
    pub warm_time: Duration,
    /// Time over which the need for comfortable instances is taken. It exceeds a period of the usual
    /// waves of the load.
    pub comfort_window: Duration,
    /// Time for which the load must exceed what exists before more is ordered for it at any price.
    /// Shorter bursts end before new instances serve.
    pub rise_time: Duration,
    /// Share of the serving instances that are replaced or released at a time.
    pub portion: f64,
    /// Time between two releases.
    pub release_interval: Duration,
    /// Share of the instances by which the counts must differ before orders are sent that are not
    /// urgent, since each order has a price.
    pub min_change: f64,
    /// Longest time for which a slot is excluded after repeated refusals. With the interval between
    /// two rounds, the end of an outage is noticed within 4 s.
    pub max_refusal_backoff: Duration,
    /// Time for which on-demand instances that serve at the start are kept while nothing was learned,
    /// and it is not known how the service is balanced; zero for not at all.
    pub undecided_hold: Duration,
}

impl Default for Economy {
    fn default() -> Self {
        Economy {
            instance_value: 4.0,
            burst_share: 0.15,
            loss_probability: 0.2,
            wave_loss_probability: 0.3,
            cold_cost: 13.0,
            reclaimable_use: Duration::from_secs(60),
            on_demand_use: Duration::from_secs(18),
            keep_time: Duration::from_secs(18),
            warm_time: Duration::from_secs(5),
            comfort_window: Duration::from_secs(45),
            rise_time: Duration::from_secs(3),
            portion: 0.2,
            release_interval: Duration::from_secs(3),
            min_change: 0.04,
            max_refusal_backoff: Duration::from_millis(3_500),
            undecided_hold: Duration::ZERO,
        }
    }
}
