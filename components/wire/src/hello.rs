//! The first frame of a connection.

use config::ids::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// Version of the protocol; a connection is refused if its ends have different ones.
pub const PROTOCOL_VERSION: u32 = 1;

/// First frame of each end of a connection, which identifies the process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// Version of the protocol, [`PROTOCOL_VERSION`].
    pub protocol: u32,
    /// Name of the process.
    pub node: NodeId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Role of the process.
    pub role: Role,
    /// Random number, different for each connection.
    pub nonce: [u8; 16],
}

/// Role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Replicates the state of the control group.
    Control,
}
