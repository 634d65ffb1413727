//! Settings of a process.

mod control;
mod entry;
mod log;
mod machine;
mod peer;

pub use control::{Control, Usage};
pub use entry::{Entry, Retries};
pub use log::{Format, Log};
pub use machine::Machine;
pub use peer::Peer;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use compact_str::format_compact;
use serde::Deserialize;

use crate::ids::{DataCentreId, NodeId};

/// Settings of one process, as read from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of this process, unique in the fleet.
    pub node: NodeId,
    /// Data centre in which this process runs.
    pub data_centre: DataCentreId,
    /// IP address on which the listeners of this process are bound.
    pub address: IpAddr,
    /// Folder for data that must survive a restart.
    pub data_folder: PathBuf,
    /// File with keys and secrets, see [`crate::Keys`].
    pub keys_file: PathBuf,
    /// Control processes of the fleet, which may include this one.
    pub control_peers: Vec<Peer>,
    /// Addresses of some control processes, from which the others are discovered; they replace
    /// `control-peers`. Control processes are then named by their IP addresses.
    pub seeds: Vec<SocketAddr>,
    /// Protocols towards callers, upstreams, operators and the cloud.
    pub interface: Interface,
    /// Address of the HTTP listener for metrics; `None` if another listener serves them.
    pub metrics: Option<SocketAddr>,
    /// Settings of `chervilloft entry`.
    pub entry: Entry,
    /// Settings of `chervilloft control`.
    pub control: Control,
    /// The machine on which this process runs.
    pub machine: Machine,
    /// Settings of the log.
    pub log: Log,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            node: NodeId::default(),
            data_centre: DataCentreId::default(),
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            data_folder: PathBuf::from("data"),
            keys_file: PathBuf::from("keys.toml"),
            control_peers: Vec::new(),
            seeds: Vec::new(),
            interface: Interface::default(),
            metrics: None,
            entry: Entry::default(),
            control: Control::default(),
            machine: Machine::default(),
            log: Log::default(),
        }
    }
}

/// Protocols towards callers, upstreams, operators and the cloud.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Interface {
    /// Chervilloft's own protocols, see `docs/PROTOCOLS.md`.
    #[default]
    Own,
    /// The protocols of the operators' platform, which the crate `platform` translates.
    Platform,
}

impl Settings {
    /// Returns the control processes that the settings list, as `control-peers` or as `seeds`.
    pub fn controls(&self) -> Vec<Peer> {
        let seed = |seed: &SocketAddr| Peer {
            node: format_compact!("{}", seed.ip()),
            address: SocketAddr::new(seed.ip(), self.control.peer_port),
            operators: *seed,
        };
        match self.seeds.is_empty() {
            true => self.control_peers.clone(),
            false => self.seeds.iter().map(seed).collect(),
        }
    }

    /// Parses settings without checking them.
    ///
    /// # Errors
    /// Returns the parser's message, which contains line and column.
    pub fn parse(source: &str) -> Result<Self, String> {
        toml::from_str(source).map_err(|error| error.to_string())
    }
}
