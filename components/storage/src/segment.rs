//! Segment files of the log.

use std::io;

use errors::{Error, Peer, Step};

use consensus::ids::Index;

use crate::folder::Folder;

/// One segment file of the log.
#[derive(Debug)]
pub(crate) struct Segment {
    /// Number of the segment; one more than that of the preceding segment.
    pub(crate) number: u64,
    /// Size of the complete and synced frames, in bytes.
    pub(crate) length: u64,
    /// Largest index of the entries in the segment.
    pub(crate) last_index: Index,
}

/// Returns the error for a failed operation on a file.
pub(crate) fn io_error(folder: &impl Folder, name: &str, cause: io::Error) -> Error {
    Error::Io(Step::Store, Peer::File(folder.path(name)), cause)
}
