//! Fault switches of a plain service.

use serde::{Deserialize, Serialize};

/// Faults to inject; all are off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Switches {
    /// Number of next calls that are executed, then disconnected without a response.
    pub execute_then_drop: u32,
    /// Number of next calls that are disconnected without execution or response.
    pub drop_before: u32,
    /// Number of next calls that are refused as not run, with status 503.
    pub refuse: u32,
    /// Delay between an execution and its response, in milliseconds.
    #[serde(rename = "late-ms")]
    pub delay_ms: u64,
    /// Exclusive upper bound of an additional delay in milliseconds, which is derived from the
    /// number of executions.
    pub jitter_ms: u64,
    /// Size of the answers to reads, in bytes; 0 for the usual answer.
    pub read_bytes: usize,
    /// Whether answers to reads of that size stop one byte short, on a connection that stays open.
    pub stop_short: bool,
}

/// How a call is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Action {
    Answer,
    ExecuteThenDrop,
    DropBefore,
    Refuse,
}

impl Switches {
    /// Returns the action for the next call and decrements its counter.
    pub(crate) fn next_action(&mut self) -> Action {
        let (counter, action) = match self {
            Switches {
                drop_before: count @ 1..,
                ..
            } => (count, Action::DropBefore),
            Switches {
                refuse: count @ 1..,
                ..
            } => (count, Action::Refuse),
            Switches {
                execute_then_drop: count @ 1..,
                ..
            } => (count, Action::ExecuteThenDrop),
            _ => return Action::Answer,
        };
        *counter -= 1;
        action
    }
}
