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
    /// Whole address of the listener for upstreams and operators of another interface than our own.
    pub listen: Option<SocketAddr>,
    /// Whether this process may found the group; it joins one otherwise.
    pub founds: bool,
    /// Time for which an announcement of an upstream holds that names none.
    #[serde(with = "crate::duration")]
    pub announcement_lease: Duration,
    /// Time over which token limits of accounts hold on routes by host and path.
    #[serde(with = "crate::duration")]
    pub limit_window: Duration,
    /// Usage reports to the cloud.
    pub usage: Usage,
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
            listen: None,
            founds: true,
            announcement_lease: Duration::from_secs(6),
            limit_window: Duration::from_secs(8),
            usage: Usage::default(),
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

/// Reports of the requests that ran in each window of the wall clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Usage {
    /// Length of a window; no reports where it is 0.
    #[serde(with = "crate::duration")]
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    #[serde(with = "crate::duration")]
    pub due: Duration,
    /// Time for which a holder of the duty may not alternate with another.
    #[serde(with = "crate::duration")]
    pub lease: Duration,
}

impl Default for Usage {
    fn default() -> Self {
        Usage {
            window: Duration::ZERO,
            due: Duration::from_secs(10),
            lease: Duration::from_secs(3),
        }
    }
}
