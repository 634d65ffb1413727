//! Addresses of control processes.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::ids::NodeId;

/// Name and addresses of a control process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peer {
    /// Name of the process, unique in the fleet.
    pub node: NodeId,
    /// Address of its WebSocket listener for other processes of chervilloft.
    pub address: SocketAddr,
    /// Address of its HTTP listener for operators.
    pub operators: SocketAddr,
}
