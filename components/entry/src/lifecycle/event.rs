//! What moves a request from one state to the next.

/// One step of the request path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// All checks and limits were passed.
    Admitted,
    /// Another entry handed the request over, which an upstream may have run in part.
    TakenOver,
    /// The claim was granted.
    Claimed,
    /// The claim's recorded answer was returned.
    Replayed,
    /// Another request holds the claim, and what became of it is not known.
    HeldElsewhere,
    /// The request is about to be written, or written again to another upstream.
    Dispatched,
    /// The dispatch ended before its first byte was written.
    NotSent,
    /// The upstream refused in a way that is defined as not run.
    Rejected,
    /// The upstream began to answer.
    Accepted,
    /// The whole answer was received.
    Completed,
    /// The request ends without an answer.
    GivenUp,
}
