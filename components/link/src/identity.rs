//! The identity of this process towards other processes.

use config::ids::{Incarnation, NodeId};
use config::keys::Secret;
use wire::{Hello, PROTOCOL_VERSION, Role};

/// Identity of this process, and the secret that proves its membership of the fleet.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this process.
    pub node: NodeId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Role of this process.
    pub role: Role,
    /// Secret of the fleet.
    pub secret: Secret,
}

impl Identity {
    pub(crate) fn hello(&self, nonce: [u8; 16]) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            node: self.node.clone(),
            incarnation: self.incarnation,
            role: self.role,
            nonce,
        }
    }
}
