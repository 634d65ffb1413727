//! The settings of one process.

mod control;
mod entry;
mod log;
mod peer;

pub use control::{Control, Usage};
pub use entry::{Entry, Retries};
pub use log::{Format, Log};
pub use peer::Peer;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use compact_str::format_compact;
use serde::Deserialize;

use crate::ids::{DataCentreId, NodeId};

/// Everything that a process learns from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of this process, unique in the fleet.
    pub node: NodeId,
    /// Data centre in which this process runs.
    pub data_centre: DataCentreId,
    /// IP number on which all sockets of this process listen.
    pub address: IpAddr,
    /// Folder for everything that must survive a restart.
    pub data_folder: PathBuf,
    /// File with the keys and secrets, see [`crate::Keys`].
    pub keys_file: PathBuf,
    /// Control processes of the fleet, which may include this one.
    pub control_peers: Vec<Peer>,
    /// Listeners of some control processes, in place of `control-peers` where the others are
    /// learnt from these. Control processes are then named by their IP numbers.
    pub seeds: Vec<SocketAddr>,
    /// Language of callers, upstreams, operators and the cloud.
    pub interface: Interface,
    /// Address of the HTTP listener for metrics; none where another listener serves them.
    pub metrics: Option<SocketAddr>,
    /// Settings of `chervilloft entry`.
    pub entry: Entry,
    /// Settings of `chervilloft control`.
    pub control: Control,
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
            log: Log::default(),
        }
    }
}

/// Language of callers, upstreams, operators and the cloud.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Interface {
    /// The languages of `docs/PROTOCOLS.md`.
    #[default]
    Own,
    /// Those of the users' platform.
    Platform,
}

impl Settings {
    /// Returns the control processes that this process knows from its settings.
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

    /// Parses settings.
    ///
    /// # Errors
    /// Returns the parser's message, which holds line and column.
    pub fn parse(source: &str) -> Result<Self, String> {
        toml::from_str(source).map_err(|error| error.to_string())
    }
}
