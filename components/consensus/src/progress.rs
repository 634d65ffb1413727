//! Replication state that a leader keeps for one peer.

use std::collections::VecDeque;
use std::time::Duration;

use crate::SnapshotMeta;
use crate::ids::{Index, Round};

/// Replication state of one peer.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Next entry to send.
    pub(crate) next: Index,
    /// Last entry that the peer is known to have synced.
    pub(crate) matched: Index,
    /// How entries are sent to the peer.
    pub(crate) mode: Mode,
    /// Latest round that the peer answered.
    pub(crate) round: Round,
    /// When the last message of the peer arrived.
    pub(crate) last_contact: Duration,
}

/// How entries are sent to a peer.
#[derive(Debug)]
pub(crate) enum Mode {
    /// One message at a time, until the last matching entry is found.
    Probe {
        /// Whether a message is sent and not answered.
        sent: bool,
    },
    /// Several messages at a time; contains the last index of each unanswered message.
    Pipeline(VecDeque<Index>),
    /// A snapshot, one chunk at a time.
    Snapshot {
        /// Last entry and membership that the snapshot covers.
        meta: SnapshotMeta,
        /// Number of bytes that the peer has stored.
        offset: u64,
        /// When the chunk at that offset was last requested from the driver.
        read_requested_at: Duration,
    },
}

impl Progress {
    /// Returns the state of a peer that has not answered yet.
    pub(crate) fn new(next: Index, now: Duration) -> Self {
        Progress {
            next,
            matched: 0,
            mode: Mode::Probe { sent: false },
            round: 0,
            last_contact: now,
        }
    }

    /// Records that the peer has synced the log up to an index.
    pub(crate) fn accept(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            Mode::Pipeline(in_flight) => {
                while in_flight.front().is_some_and(|last| *last <= matched) {
                    in_flight.pop_front();
                }
            }
            Mode::Snapshot { meta, .. } if matched < meta.position.index => {}
            Mode::Probe { .. } | Mode::Snapshot { .. } => {
                self.next = self.matched + 1;
                self.mode = Mode::Pipeline(VecDeque::new());
            }
        }
    }

    /// Records that the peer lacks the entry `prev`, unless a later answer superseded this one.
    pub(crate) fn reject(&mut self, prev: Index, hint: Index) {
        let stale = match self.mode {
            Mode::Probe { .. } => prev + 1 != self.next,
            Mode::Pipeline(_) => prev <= self.matched,
            Mode::Snapshot { .. } => true,
        };
        if !stale {
            self.next = (hint.min(prev.saturating_sub(1)) + 1).max(self.matched + 1);
            self.mode = Mode::Probe { sent: false };
        }
    }
}
