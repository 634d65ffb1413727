//! Settings of a control process, including the fleet's secret.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use config::ids::{Incarnation, NodeId};
use config::keys::Secret;
use config::settings::{Peer, Usage};
use config::text::Parser;

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this process.
    pub node: NodeId,
    /// Incarnation of this process: larger for each later start.
    pub incarnation: Incarnation,
    /// Control processes that are listed in the settings; may include this one.
    pub peers: Vec<Peer>,
    /// Port on which every control process accepts peers, if the process's settings list them only
    /// by IP address; otherwise `None`, as the address of each peer has a port.
    pub peer_port: Option<u16>,
    /// Parser of the operators' text.
    pub parser: Parser,
    /// Settings of the usage reports to the cloud.
    pub usage: Usage,
    /// Length of the sliding window over which accounts' token limits apply. It is used only for
    /// routes that are matched by host and path.
    pub limit_window: Duration,
    /// Secret of the fleet.
    pub secret: Secret,
    /// Timeouts and sizes of connections.
    pub link: link::Settings,
    /// Time for which an entry may serve under the last version that it confirmed.
    pub freshness_lease: Duration,
    /// Longest lease of a leader. A new leader waits for longer than this before it sends orders.
    pub leader_lease: Duration,
    /// Address of the cloud API; without it, no instances are started or stopped.
    pub cloud: Option<SocketAddr>,
    /// Folder of the files with the software versions at which streams began; without it, the
    /// records are lost with the process.
    pub origins_folder: Option<PathBuf>,
    /// Time for which idempotency keys and recorded answers are kept.
    pub claim_retention: Duration,
    /// Memory for the bodies of operators' and upstreams' requests, in bytes.
    pub budget_bytes: usize,
    /// Maximum number of open connections from operators and upstreams.
    pub max_connections: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let control = config::settings::Control::default();
        let machine = config::settings::Machine::default();
        Settings {
            node: NodeId::default(),
            incarnation: 0,
            peers: Vec::new(),
            peer_port: None,
            parser: config::check::parse,
            usage: control.usage,
            limit_window: control.limit_window,
            secret: Secret::default(),
            link: link::Settings::default(),
            freshness_lease: control.freshness_lease,
            leader_lease: control.election_timeout,
            cloud: control.cloud,
            origins_folder: None,
            claim_retention: control.claim_retention,
            budget_bytes: machine.budget_bytes(),
            max_connections: machine.max_connections(),
        }
    }
}
