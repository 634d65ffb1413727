//! The events that change the state of a request.

/// One step of the request path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The request passed all checks and limits.
    Admitted,
    /// Another entry handed over the request, and an upstream may have run it in part.
    TakenOver,
    /// The claim was granted.
    Claimed,
    /// The claim's recorded answer was returned.
    Replayed,
    /// Another request holds the claim, and its outcome is not known.
    HeldElsewhere,
    /// The request is about to be written to an upstream, for the first time or again.
    Dispatched,
    /// The dispatch ended before its first byte was written.
    NotSent,
    /// The upstream refused the request with an answer which guarantees that it did not run.
    Rejected,
    /// The upstream began to answer.
    Accepted,
    /// The complete answer was received.
    Completed,
    /// The request ends without an answer.
    GivenUp,
}
