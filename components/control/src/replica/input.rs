//! Inputs of the driver thread.

use bytes::Bytes;
use config::ids::NodeId;
use consensus::ids::{Index, Sequence};
use consensus::{Member, Message, SnapshotMeta};
use errors::{Error, Result};
use tokio::sync::oneshot;

/// One input of the driver thread.
#[derive(Debug)]
pub(super) enum Input<O> {
    /// A message of another process.
    Message(Message),
    /// An encoded command, and the sender for its output.
    Propose(Bytes, oneshot::Sender<Result<O>>),
    /// A read barrier, and the sender for its result.
    ReadBarrier(oneshot::Sender<Result<()>>),
    /// A request to transfer leadership, and the sender for the result of starting it.
    TransferLeadership(oneshot::Sender<Result<()>>),
    /// Members of a group, as another process names them.
    Group(Vec<NodeId>),
    /// All writes up to a sequence number are synced.
    WriteSynced(Sequence),
    /// A write failed because the disk is full; it is retried.
    DiskFull(Error),
    /// The data folder can't be used any more.
    StorageFailed(Error),
    /// A snapshot was stored, or storing it failed.
    SnapshotSaved(SnapshotMeta, Result<()>),
    /// A part of a snapshot was read; `None` if it could not be read.
    ChunkRead {
        to: Member,
        index: Index,
        offset: u64,
        part: Option<(Bytes, bool)>,
    },
    /// Stops the driver.
    Stop,
}
