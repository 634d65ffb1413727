//! Settings of a node.

use std::time::Duration;

use crate::Guards;
use crate::ids::NodeId;

/// Times and bounds of a node; all nodes of a group need the same times.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Processes of the fleet that may be in the group, which may include this one.
    pub peers: Vec<NodeId>,
    /// Whether this node takes no part in the founding and starts as a learner.
    pub spare: bool,
    /// Time between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Shortest time without a leader before an election, and length of the promise to one.
    pub election_timeout: Duration,
    /// Largest difference of rate between two clocks, in thousandths.
    pub drift_permille: u32,
    /// Silence after which the leader replaces a voter by a spare.
    pub repair_after: Duration,
    /// Time after a step-down before an open proposal counts as unknown.
    pub settle_after: Duration,
    /// Largest sum of entries in one message, in bytes; one entry always fits.
    pub max_append_bytes: usize,
    /// Largest part of a snapshot in one message, in bytes.
    pub max_chunk_bytes: usize,
    /// Unanswered messages with entries per peer.
    pub max_inflight: usize,
    /// Entries that wait to be committed, in bytes, before proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Applied bytes of entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Entries kept in memory before a snapshot, for peers that lag a little.
    pub trailing_entries: u64,
    /// Safeguards, which only tests take out.
    #[cfg(feature = "guards")]
    pub guards: Guards,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            peers: Vec::new(),
            spare: false,
            heartbeat: Duration::from_millis(150),
            election_timeout: Duration::from_millis(750),
            drift_permille: 50,
            repair_after: Duration::from_secs(10),
            settle_after: Duration::from_secs(3),
            max_append_bytes: 256 * 1_024,
            max_chunk_bytes: 256 * 1_024,
            max_inflight: 32,
            max_uncommitted_bytes: 16 * 1_024 * 1_024,
            snapshot_bytes: 8 * 1_024 * 1_024,
            snapshot_entries: 10_000,
            trailing_entries: 2_000,
            #[cfg(feature = "guards")]
            guards: Guards::ON,
        }
    }
}

impl Settings {
    /// Returns the safeguards in force.
    pub(crate) fn guards(&self) -> Guards {
        #[cfg(feature = "guards")]
        return self.guards;
        #[cfg(not(feature = "guards"))]
        Guards::ON
    }

    /// Returns how long a leader may act after it sent a heartbeat that a quorum answered.
    pub(crate) fn lease(&self) -> Duration {
        const WHOLE_PERMILLE: u32 = 1_000;
        match self.guards().drift_bound {
            true => {
                self.election_timeout * WHOLE_PERMILLE.saturating_sub(self.drift_permille)
                    / WHOLE_PERMILLE
            }
            false => self.election_timeout,
        }
    }
}
