//! Failures of writes.

use std::io;
use std::path::PathBuf;

use errors::{Error, Peer, Step};
use quick_error::quick_error;

quick_error! {
    /// Reason why a write failed.
    #[derive(Debug)]
    pub enum Failure {
        /// The disk is full; the write has no effect and may be retried.
        Full(cause: Error) {
            display("the disk is full: {cause}")
            source(cause)
        }
        /// The content of the disk is unknown: the process must end.
        Fatal(cause: Error) {
            display("the content of the data folder is unknown after a failed write: {cause}")
            source(cause)
        }
    }
}

impl Failure {
    /// Wraps a failed write; distinguishes a full disk from other failures.
    pub(crate) fn from_write(path: PathBuf, cause: io::Error) -> Self {
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

    /// Wraps a failed sync. It is never retried: the kernel may have dropped the unwritten pages,
    /// so that a second sync succeeds without them.
    pub(crate) fn from_sync(path: PathBuf, cause: io::Error) -> Self {
        Failure::Fatal(Error::Io(Step::Store, Peer::File(path), cause))
    }
}
