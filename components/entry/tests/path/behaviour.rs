//! How a fake upstream handles its next call.

use std::time::Duration;

use crate::framing::{End, Framing};

/// Behaviour of one call.
#[derive(Clone, Debug)]
pub(crate) enum Behaviour {
    /// Answers completely, with this pause before each token or before the answer.
    Complete(Duration),
    /// Closes after this many tokens.
    CloseAfter(usize),
    /// Stops sending after this many tokens, and keeps the connection open.
    SilentAfter(usize),
    /// Skips one index after this many tokens.
    GapAfter(usize),
    /// Repeats an index after this many tokens.
    RepeatAfter(usize),
    /// Ends the stream without its end mark.
    NoDone,
    /// Refuses the call with an answer that is defined as not run.
    Reject,
    /// Runs the call, and writes an earlier refusal once more in place of its answer.
    StaleReject,
    /// Answers with this status.
    Status(u16),
    /// Runs the call and closes within the body.
    HalfBody,
    /// Runs the call and answers with this many bytes.
    Large(usize),
    /// Runs the call and closes without an answer.
    NoAnswer,
    /// Closes without an answer after this time.
    NoAnswerAfter(Duration),
    /// Runs the call and answers without a length.
    Unbounded,
    /// Runs the call, and frames and ends its answer in this way.
    Framed(Framing, End),
}
