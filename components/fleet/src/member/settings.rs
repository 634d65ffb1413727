//! Settings of a member.

use config::ids::{Incarnation, NodeId};
use config::keys::Secret;
use config::settings::Peer;

/// What a member needs to know.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Name of the entry.
    pub node: NodeId,
    /// Start number of the entry's process, such as the milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Control processes.
    pub peers: Vec<Peer>,
    /// Secret of the fleet.
    pub secret: Secret,
    /// Times and sizes of the connections.
    pub link: link::Settings,
}
