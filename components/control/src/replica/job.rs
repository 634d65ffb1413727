//! Jobs of the storage thread.

use std::sync::mpsc;

use consensus::ids::Index;
use consensus::{Member, SnapshotMeta, Write};
use errors::Result;

/// One job of the storage thread.
#[derive(Debug)]
pub(super) enum Job {
    /// Write and sync.
    Write(Write),
    /// Store a snapshot of this replica's state.
    Snapshot(SnapshotMeta, Vec<u8>),
    /// Read a part of a snapshot, for a member that lags.
    ReadChunk {
        to: Member,
        index: Index,
        offset: u64,
        length: usize,
    },
    /// Read a complete snapshot.
    LoadSnapshot(Index, mpsc::Sender<Result<Vec<u8>>>),
}
