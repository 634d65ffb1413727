//! A control process as its peers know it.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::ids::NodeId;

/// Name and address of a control process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peer {
    /// Name in the fleet.
    pub node: NodeId,
    /// Address of its WebSocket listener for the system's own processes.
    pub address: SocketAddr,
    /// Address of its HTTP listener for operators.
    pub operators: SocketAddr,
}
