//! Chunks of a snapshot.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::SnapshotMeta;

/// One chunk of a snapshot that a leader sends to a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// Last entry and membership that the snapshot covers.
    pub meta: SnapshotMeta,
    /// Offset of the first byte in the snapshot.
    pub offset: u64,
    /// Bytes of this chunk.
    pub data: Bytes,
    /// Whether this is the last chunk of the snapshot.
    pub last: bool,
}
