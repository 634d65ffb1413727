//! Actions that a node requests from its driver.

use crate::ids::{Index, ReadId};
use crate::{Entry, Event, Member, Message, Outcome, Position, SnapshotMeta, Write};

/// One action; a driver performs actions in the order in which they are returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message; the message may be lost.
    Send(Message),
    /// Store records, and call [`crate::Node::on_write_synced`] once they are synced.
    Write(Write),
    /// Apply committed entries, which directly follow those applied before.
    Apply(Vec<Entry>),
    /// Replace the applied state by the stored snapshot.
    Restore(SnapshotMeta),
    /// Take a snapshot of the applied state, store it and call [`crate::Node::on_snapshot_saved`].
    Snapshot(SnapshotMeta),
    /// Read a chunk of a stored snapshot and call [`crate::Node::on_chunk_read`].
    ReadChunk {
        /// Member to which the chunk is sent.
        to: Member,
        /// Last entry that the snapshot covers.
        index: Index,
        /// Offset of the first byte in the snapshot.
        offset: u64,
        /// Maximum size of the chunk in bytes.
        length: usize,
    },
    /// Report the outcome of a proposal that ended without [`Action::Apply`].
    Settle(Position, Outcome),
    /// Report the result of a read barrier.
    ReadBarrier {
        /// Id of the barrier.
        id: ReadId,
        /// Whether every entry committed before the request is now applied; `false` if the barrier
        /// failed.
        passed: bool,
    },
    /// Write an event to the log of the process.
    Log(Event),
}
