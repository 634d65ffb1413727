//! Settings of a member.

use config::Text;
use config::ids::{Incarnation, NodeId};
use config::keys::Secret;
use config::settings::Peer;
use config::text::Parser;

/// Settings of a member, including the fleet's secret.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry.
    pub node: NodeId,
    /// Incarnation of the entry's process, such as the milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Control processes that are known at the start.
    pub peers: Vec<Peer>,
    /// Port for peers of all control processes, if their names are their IP addresses. With it, the
    /// member also connects to control processes that join the group later.
    pub peer_port: Option<u16>,
    /// Number of control processes that relay announcements to this entry. One is enough if each
    /// control process receives the announcements of all upstreams.
    pub subscriptions: usize,
    /// Parser of the operators' text.
    pub parser: Parser,
    /// Secret of the fleet.
    pub secret: Secret,
    /// Settings of the connections.
    pub link: link::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            node: NodeId::default(),
            incarnation: 0,
            peers: Vec::new(),
            peer_port: None,
            subscriptions: 1,
            parser: Text::parse,
            secret: Secret::default(),
            link: link::Settings::default(),
        }
    }
}
