//! Settings of `chervilloft control`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// Settings of a control process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Control {
    /// Port of the WebSocket listener for the system's own processes.
    pub peer_port: u16,
    /// Port of the HTTP listener for operators, metrics and health.
    pub operators_port: u16,
    /// Whether this process joins as a spare that votes only after a repair.
    pub spare: bool,
    /// Time between heartbeats of the leader.
    #[serde(with = "crate::duration")]
    pub heartbeat: Duration,
    /// Shortest time without a heartbeat before an election.
    #[serde(with = "crate::duration")]
    pub election_timeout: Duration,
    /// Silence of a voter after which a spare replaces it.
    #[serde(with = "crate::duration")]
    pub repair_after: Duration,
    /// Time for which an entry may serve under the last version it confirmed.
    #[serde(with = "crate::duration")]
    pub freshness_lease: Duration,
    /// Time for which idempotency keys and recorded answers are kept.
    #[serde(with = "crate::duration")]
    pub claim_retention: Duration,
    /// Address of the cloud API; placement is off without it.
    pub cloud: Option<SocketAddr>,
}

impl Default for Control {
    fn default() -> Self {
        Control {
            peer_port: 7_100,
            operators_port: 7_200,
            spare: false,
            heartbeat: Duration::from_millis(150),
            election_timeout: Duration::from_millis(750),
            repair_after: Duration::from_secs(10),
            freshness_lease: Duration::from_secs(3),
            claim_retention: Duration::from_secs(24 * 3_600),
            cloud: None,
        }
    }
}
