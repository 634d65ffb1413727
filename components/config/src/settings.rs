//! The settings of one process.

mod control;
mod entry;
mod log;
mod peer;

pub use control::Control;
pub use entry::Entry;
pub use log::{Format, Log};
pub use peer::Peer;

use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;

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
            entry: Entry::default(),
            control: Control::default(),
            log: Log::default(),
        }
    }
}

impl Settings {
    /// Parses settings.
    ///
    /// # Errors
    /// Returns the parser's message, which holds line and column.
    pub fn parse(source: &str) -> Result<Self, String> {
        toml::from_str(source).map_err(|error| error.to_string())
    }
}
