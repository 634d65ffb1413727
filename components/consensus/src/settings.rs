//! Settings of a node.

use std::time::Duration;

use crate::Guards;
use crate::ids::NodeId;

/// Timeouts and limits of a node; all nodes of a group need the same timeouts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Processes that may be in the group; may include this one.
    pub peers: Vec<NodeId>,
    /// Whether this node starts as a learner and takes no part in the founding of a group.
    pub spare: bool,
    /// Interval between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Minimum time without a leader before an election, and the time for which a voter that heard
    /// a leader promises to vote for no other node.
    pub election_timeout: Duration,
    /// Maximum difference in rate between two clocks, in thousandths.
    pub drift_permille: u32,
    /// Number of voters to which the group grows as soon as it has that many members; 0 to keep the
    /// number of founders.
    pub voters: usize,
    /// Time without an answer after which the leader replaces a voter by a spare.
    pub repair_after: Duration,
    /// Time after a step-down after which the outcome of an open proposal is reported as unknown.
    pub settle_after: Duration,
    /// Maximum size of the entries in one message, in bytes; a larger entry is sent alone.
    pub max_append_bytes: usize,
    /// Maximum size of a snapshot chunk, in bytes.
    pub max_chunk_bytes: usize,
    /// Maximum number of unanswered messages with entries per peer.
    pub max_inflight: usize,
    /// Size of uncommitted entries above which proposals are refused, in bytes.
    pub max_uncommitted_bytes: usize,
    /// Size of applied entries after which a snapshot is taken, in bytes. It also limits the
    /// entries in memory that a snapshot covers.
    pub snapshot_bytes: usize,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Maximum number of entries kept in memory that a snapshot covers, so that peers that lag by
    /// less need no snapshot.
    pub trailing_entries: u64,
    /// Safeguards, which only tests turn off.
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
            voters: 0,
            repair_after: Duration::from_secs(10),
            settle_after: Duration::from_secs(3),
            max_append_bytes: 32 * 1_024,
            max_chunk_bytes: 128 * 1_024,
            max_inflight: 16,
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
    /// Returns the safeguards that are on.
    pub(crate) fn guards(&self) -> Guards {
        #[cfg(feature = "guards")]
        return self.guards;
        #[cfg(not(feature = "guards"))]
        Guards::ON
    }

    /// Returns the length of a lease, counted from when the leader sent a heartbeat that a quorum
    /// answered. It is shorter than the voters' promises by the maximum clock drift.
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
