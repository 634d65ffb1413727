//! Reads the files that commands are given.

use std::path::Path;

use errors::{Error, Peer, Result, Step};

/// Reads a whole file.
pub(crate) fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|cause| Error::Io(Step::Load, Peer::File(path.to_owned()), cause))
}
