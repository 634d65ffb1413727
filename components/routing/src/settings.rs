//! Settings of a router.

use std::time::Duration;

use config::ids::DataCentreId;

/// Settings of the router of one entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Seed that differs between entries, so that they break ties differently.
    pub seed: u64,
    /// Round trip to an upstream in the entry's own data centre.
    pub local_round_trip: Duration,
    /// Round trip to an upstream in another data centre.
    pub remote_round_trip: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            data_centre: DataCentreId::default(),
            seed: 0,
            local_round_trip: Duration::from_micros(500),
            remote_round_trip: Duration::from_micros(2_500),
        }
    }
}
