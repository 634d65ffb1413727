//! Settings of a control process, with its keys.

use std::net::SocketAddr;
use std::time::Duration;

use config::ids::{Incarnation, NodeId};
use config::keys::Secret;
use config::settings::{Peer, Usage};
use config::text::Reader;

/// What a control process needs to know.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this process.
    pub node: NodeId,
    /// Start number of this process.
    pub incarnation: Incarnation,
    /// Control processes, which may include this one.
    pub peers: Vec<Peer>,
    /// Port for peers of all control processes, where these are named by their IP numbers.
    pub peer_port: Option<u16>,
    /// Reader of the operators' text.
    pub reader: Reader,
    /// Reports of usage to the cloud.
    pub usage: Usage,
    /// Time over which token limits of accounts hold on routes by host and path.
    pub limit_window: Duration,
    /// Secret of the fleet.
    pub secret: Secret,
    /// Times and sizes of the connections.
    pub link: link::Settings,
    /// Time for which an entry may serve under the last version it confirmed.
    pub freshness_lease: Duration,
    /// Longest lease of a leader, for which a new leader waits before it gives orders.
    pub leader_lease: Duration,
    /// Address of the cloud API; no instances are started or stopped without it.
    pub cloud: Option<SocketAddr>,
    /// Time for which idempotency keys and recorded answers are kept.
    pub claim_retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let control = config::settings::Control::default();
        Settings {
            node: NodeId::default(),
            incarnation: 0,
            peers: Vec::new(),
            peer_port: None,
            reader: config::check::read,
            usage: control.usage,
            limit_window: control.limit_window,
            secret: Secret::default(),
            link: link::Settings::default(),
            freshness_lease: control.freshness_lease,
            leader_lease: control.election_timeout,
            cloud: control.cloud,
            claim_retention: control.claim_retention,
        }
    }
}
