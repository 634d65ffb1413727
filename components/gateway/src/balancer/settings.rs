//! Settings of the balancer.

use std::time::Duration;

use config::ids::DataCentreId;
use config::text::Balance;

use super::rates::Rates;

/// Rates and weights by which upstreams are scored.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What services are balanced by whose text leaves it open.
    pub balance: Balance,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Number that differs by entry.
    pub seed: u64,
    /// Rates of engines of which nothing was learned yet.
    pub unknown_rates: Rates,
    /// Duration of a call to a plain service before one was measured, in milliseconds.
    pub plain_call_ms: f64,
    /// Weight of the time for which computing a prompt delays other requests at the engine.
    pub prefill_weight: f64,
    /// Delay that each request in a batch adds to the other requests, in milliseconds.
    pub batch_delay_ms: f64,
    /// Delay of an upstream in another data centre, in milliseconds.
    pub remote_delay_ms: f64,
    /// Time to fetch parts of a prompt from another engine, in milliseconds.
    pub fetch_ms: f64,
    /// Cost of each fetched token, in milliseconds, for the memory and bandwidth that a copy takes.
    pub fetch_ms_per_token: f64,
    /// Share of a prompt's shared tokens that its home is expected to have in its cache.
    pub home_cached_share: f64,
    /// Bonus of the home over an engine with the same cached tokens, in milliseconds, so that all
    /// entries choose the same engine.
    pub home_bonus_ms: f64,
    /// Weight of the time for which an engine computes shared parts that another one has computed or
    /// computes as well, in services balanced by work.
    pub repeat_weight: f64,
    /// In services balanced by work, one in so many prompts of a part that is used much goes to the
    /// part's second place; 0 for none.
    pub second_place_interval: u64,
    /// Whether traffic between data centres is dear, so that the second place of a part lies in the data
    /// centre of its home. Otherwise it lies in another one, as data centres leave as a whole.
    pub remote_fetch_is_dear: bool,
    /// Time for which an upstream is kept after its lease has expired.
    pub retention_after_lease: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balance: Balance::Auto,
            data_centre: DataCentreId::default(),
            seed: 0,
            unknown_rates: Rates::default(),
            plain_call_ms: 20.0,
            prefill_weight: 1.0,
            batch_delay_ms: 2.0,
            remote_delay_ms: 2.0,
            fetch_ms: 8.0,
            fetch_ms_per_token: 0.01,
            home_cached_share: 1.0,
            home_bonus_ms: 25.0,
            repeat_weight: 3.0,
            second_place_interval: 16,
            remote_fetch_is_dear: false,
            retention_after_lease: Duration::from_secs(60),
        }
    }
}
