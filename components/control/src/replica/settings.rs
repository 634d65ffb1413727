//! Settings of a replica.

use std::path::PathBuf;
use std::time::Duration;

use config::ids::NodeId;

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this process.
    pub node: NodeId,
    /// Folder with the identity, the log and the snapshots.
    pub folder: PathBuf,
    /// Settings of the replicated log.
    pub consensus: consensus::Settings,
    /// Settings of the log and snapshot files.
    pub storage: storage::Settings,
    /// Longest time between two ticks of the consensus node.
    pub tick_interval: Duration,
    /// Delay before a write to a full disk is retried.
    pub full_disk_retry_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            node: NodeId::default(),
            folder: PathBuf::from("data/log"),
            consensus: consensus::Settings::default(),
            storage: storage::Settings::default(),
            tick_interval: Duration::from_millis(10),
            full_disk_retry_delay: Duration::from_millis(250),
        }
    }
}

impl From<&config::Settings> for Settings {
    fn from(settings: &config::Settings) -> Self {
        const FOLDER: &str = "log";
        let peers = settings.controls();
        let is_founder = peers.iter().any(|peer| peer.node == settings.node);
        // Where processes are discovered through seeds, only processes that are set to found the
        // group do so, and only once. All others join as learners.
        let may_found = settings.control.founds && is_founder;
        let joins = !settings.seeds.is_empty() && !may_found;
        Settings {
            node: settings.node.clone(),
            folder: settings.data_folder.join(FOLDER),
            consensus: consensus::Settings {
                peers: peers.into_iter().map(|peer| peer.node).collect(),
                spare: settings.control.spare || joins,
                heartbeat: settings.control.heartbeat,
                election_timeout: settings.control.election_timeout,
                voters: settings.control.voters,
                repair_after: settings.control.repair_after,
                ..consensus::Settings::default()
            },
            ..Settings::default()
        }
    }
}
