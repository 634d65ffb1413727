//! The states of a request.

/// The state of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// Received from the caller and not checked yet.
    #[default]
    Received,
    /// Passed all checks and limits.
    Admitted,
    /// The claim of its idempotency key is committed.
    Claimed,
    /// Passed to a connection; the upstream may have received it.
    Dispatched,
    /// The upstream has begun to answer.
    Answering,
    /// Ended: the complete answer was received.
    Done,
    /// Ended without an answer: no upstream ran the request.
    NotRun,
    /// Ended without an answer: an upstream may have run the request.
    Unknown,
}
