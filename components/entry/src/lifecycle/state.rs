//! The states of a request.

/// Where a request stands.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// Read from the caller, not checked.
    #[default]
    Received,
    /// Passed all checks and limits.
    Admitted,
    /// The claim of its idempotency key is committed.
    Claimed,
    /// Handed to a connection; the upstream may have received it.
    Dispatched,
    /// The upstream has begun to answer.
    Answering,
    /// The whole answer was received.
    Done,
    /// Ended, and no upstream ran it.
    Refused,
    /// Ended, and an upstream may have run it.
    Unknown,
}
