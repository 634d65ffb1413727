//! Why a write did not succeed.

use std::io;
use std::path::PathBuf;

use errors::{Error, Peer, Step};
use quick_error::quick_error;

quick_error! {
    /// Failure of a write.
    #[derive(Debug)]
    pub enum Failure {
        /// The disk takes no more; nothing of the write counts, and it may be tried again.
        Full(cause: Error) {
            display("the disk is full: {cause}")
            source(cause)
        }
        /// What is on the disk is not known any more: the process must end.
        Fatal(cause: Error) {
            display("the data folder can't be trusted any more: {cause}")
            source(cause)
        }
    }
}

impl Failure {
    /// Tells a full disk from any other failed write.
    pub(crate) fn of_write(path: PathBuf, cause: io::Error) -> Self {
        let is_full = matches!(
            cause.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        );
        let error = Error::Io(Step::Store, Peer::File(path), cause);
        match is_full {
            true => Failure::Full(error),
            false => Failure::Fatal(error),
        }
    }

    /// Wraps a failed sync, which is never tried again: the kernel may have dropped the pages.
    pub(crate) fn of_sync(path: PathBuf, cause: io::Error) -> Self {
        Failure::Fatal(Error::Io(Step::Store, Peer::File(path), cause))
    }
}
