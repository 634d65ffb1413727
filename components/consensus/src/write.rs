//! Writes to the data folder.

use crate::ids::Sequence;
use crate::{Chunk, Record};

/// Records to store in order; the driver calls [`crate::Node::on_write_synced`] once they are
/// synced.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Write {
    /// Number of this write.
    pub sequence: Sequence,
    /// Records for the log on disk.
    pub records: Vec<Record>,
    /// Chunk of a snapshot that the leader sent; the last chunk installs the snapshot.
    pub chunk: Option<Chunk>,
}
