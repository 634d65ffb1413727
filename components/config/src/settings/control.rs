//! Settings of `chervilloft control`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// Settings of a control process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Control {
    /// Port of the WebSocket listener for other processes of chervilloft.
    pub peer_port: u16,
    /// Address of the listener for upstreams and operators, if the interface is not
    /// [`Own`](super::Interface::Own).
    pub listen: Option<SocketAddr>,
    /// Whether this process may found the control group; otherwise it only joins an existing one.
    pub founds: bool,
    /// Lease of announcements of upstreams that do not state a lease.
    #[serde(with = "crate::duration")]
    pub announcement_lease: Duration,
    /// Length of the sliding window over which accounts' token limits apply. It is used only for
    /// routes that are matched by host and path.
    #[serde(with = "crate::duration")]
    pub limit_window: Duration,
    /// Settings of usage reports to the cloud.
    pub usage: Usage,
    /// Port of the HTTP listener for operators, metrics and health.
    pub operators_port: u16,
    /// Whether this process joins as a spare, which becomes a voter when it replaces a lost one.
    pub spare: bool,
    /// Whether this process, on an instance without a disk, keeps no log and has no vote, and
    /// forwards all requests.
    pub forwards_only: bool,
    /// Interval of the leader's heartbeats.
    #[serde(with = "crate::duration")]
    pub heartbeat: Duration,
    /// Shortest time without a heartbeat before a replica starts an election.
    #[serde(with = "crate::duration")]
    pub election_timeout: Duration,
    /// Number of voters to which the group grows once enough control processes have joined; 0 to
    /// keep the number of founders.
    pub voters: usize,
    /// Time without messages from a voter after which a spare replaces it.
    #[serde(with = "crate::duration")]
    pub repair_after: Duration,
    /// Time for which an entry may serve under the last version of the text that it confirmed.
    #[serde(with = "crate::duration")]
    pub freshness_lease: Duration,
    /// Retention of idempotency keys and recorded answers.
    #[serde(with = "crate::duration")]
    pub claim_retention: Duration,
    /// Address of the cloud API; without it, placement is off.
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
            forwards_only: false,
            heartbeat: Duration::from_millis(150),
            election_timeout: Duration::from_millis(750),
            voters: 0,
            repair_after: Duration::from_secs(10),
            freshness_lease: Duration::from_secs(3),
            claim_retention: Duration::from_secs(24 * 3_600),
            cloud: None,
        }
    }
}

/// Settings of the reports that state how many requests started in each window of the wall
/// clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Usage {
    /// Length of a window; 0 turns the reports off.
    #[serde(with = "crate::duration")]
    pub window: Duration,
    /// Time after the end of a window by which its report has to arrive.
    #[serde(with = "crate::duration")]
    pub due: Duration,
    /// Lease of the process that reports: a new leader waits at least this long before it takes
    /// over.
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
