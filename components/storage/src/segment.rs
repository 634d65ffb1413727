//! Files of the log.

use std::io;

use errors::{Error, Peer, Step};

use consensus::ids::Index;

use crate::folder::Folder;

/// One file of the log.
#[derive(Debug)]
pub(crate) struct Segment {
    /// Number in the row of segments.
    pub(crate) number: u64,
    /// Bytes that are whole and synced.
    pub(crate) length: u64,
    /// Largest index of an entry in it.
    pub(crate) last_index: Index,
}

/// Returns the error for a file that can't be read or written.
pub(crate) fn io_error(folder: &impl Folder, name: &str, cause: io::Error) -> Error {
    Error::Io(Step::Store, Peer::File(folder.path(name)), cause)
}
