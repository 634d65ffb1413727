//! The error type and its constructors.

use quick_error::quick_error;

use crate::{Peer, Step};

quick_error! {
    /// A failure, with the step and the peer at which it arose.
    #[derive(Debug)]
    pub enum Error {
        /// An input or output operation failed.
        Io(step: Step, peer: Peer, cause: std::io::Error) {
            display("{step} with {peer}: {cause}")
            source(cause)
        }
        /// No answer came within the deadline.
        Timeout(step: Step, peer: Peer, limit: std::time::Duration) {
            display("{step} with {peer}: no answer within {} ms", limit.as_millis())
        }
        /// The other end refused, or its answer made no sense.
        Protocol(step: Step, peer: Peer, what: String) {
            display("{step} with {peer}: {what}")
        }
        /// An input was refused; `what` says where and what to do.
        Invalid(step: Step, peer: Peer, what: String) {
            display("{step} {peer}: {what}")
        }
        /// A failure with a cause of another kind.
        Other(step: Step, peer: Peer, cause: Box<dyn std::error::Error + Send + Sync>) {
            display("{step} with {peer}: {cause}")
            source(cause.as_ref())
        }
    }
}

impl Error {
    /// Returns the step at which the failure arose.
    pub fn step(&self) -> Step {
        match self {
            Error::Io(step, ..)
            | Error::Timeout(step, ..)
            | Error::Protocol(step, ..)
            | Error::Invalid(step, ..)
            | Error::Other(step, ..) => *step,
        }
    }

    /// Returns the peer at which the failure arose.
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
