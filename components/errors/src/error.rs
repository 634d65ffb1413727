//! The error type.

use quick_error::quick_error;

use crate::{Peer, Step};

quick_error! {
    /// A failure, with the step that failed and its peer.
    #[derive(Debug)]
    pub enum Error {
        /// An input or output operation failed.
        Io(step: Step, peer: Peer, cause: std::io::Error) {
            display("{step} with {peer}: {cause}")
            source(cause)
        }
        /// No answer arrived within the time limit.
        Timeout(step: Step, peer: Peer, limit: std::time::Duration) {
            display("{step} with {peer}: no answer within {} ms", limit.as_millis())
        }
        /// The peer refused, or its answer was not valid.
        Protocol(step: Step, peer: Peer, message: String) {
            display("{step} with {peer}: {message}")
        }
        /// An input was rejected; the message states where the fault is and how to fix it.
        Invalid(step: Step, peer: Peer, message: String) {
            display("{step} {peer}: {message}")
        }
        /// A failure with a cause of any other type.
        Other(step: Step, peer: Peer, cause: Box<dyn std::error::Error + Send + Sync>) {
            display("{step} with {peer}: {cause}")
            source(cause.as_ref())
        }
    }
}

impl Error {
    /// Returns the step that failed.
    pub fn step(&self) -> Step {
        match self {
            Error::Io(step, ..)
            | Error::Timeout(step, ..)
            | Error::Protocol(step, ..)
            | Error::Invalid(step, ..)
            | Error::Other(step, ..) => *step,
        }
    }

    /// Returns the peer of the failed step.
    pub fn peer(&self) -> &Peer {
        match self {
            Error::Io(_, peer, _)
            | Error::Timeout(_, peer, _)
            | Error::Protocol(_, peer, _)
            | Error::Invalid(_, peer, _)
            | Error::Other(_, peer, _) => peer,
        }
    }
}
