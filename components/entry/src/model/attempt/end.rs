//! How an attempt ends, and why it failed.

use compact_str::{CompactString, format_compact};
use errors::{Error, Step};
use routing::Choice;

use crate::cause::Cause;
use crate::reply::Reply;
use crate::stream::Fault;

/// How an attempt ended.
pub(in crate::model) enum End {
    /// The answer is complete.
    Complete,
    /// The engine answered with a client error, which is returned to the caller.
    ClientError(Reply),
    /// The attempt failed.
    Failed(AttemptError),
    /// The answer continues at the target, with imported state if there is a handle.
    Transferred {
        target: Choice,
        handle: Option<CompactString>,
    },
}

/// Why an attempt failed.
pub(in crate::model) struct AttemptError {
    pub(in crate::model) cause: Cause,
    pub(in crate::model) detail: CompactString,
}

pub(super) fn cause_of(error: &Error) -> Cause {
    match error.step() {
        Step::Connect => Cause::Unreachable,
        _ => Cause::Closed,
    }
}

pub(super) fn failed(cause: Cause, detail: &impl std::fmt::Display) -> End {
    End::Failed(attempt_error(cause, detail))
}

pub(super) fn attempt_error(cause: Cause, detail: &impl std::fmt::Display) -> AttemptError {
    let detail = format_compact!("{detail}");
    AttemptError { cause, detail }
}

pub(super) fn describe(fault: &Fault) -> CompactString {
    match fault {
        Fault::Malformed(error) => format_compact!("an event is malformed: {error}"),
        Fault::WrongIndex { expected, received } => match received {
            Some(received) => format_compact!("token {received} came in place of {expected}"),
            None => format_compact!("token {expected} came without its index"),
        },
        Fault::Reported(error) => format_compact!("the engine reported {error}"),
        Fault::Unexpected(item) => format_compact!("the stream holds {item}"),
    }
}
