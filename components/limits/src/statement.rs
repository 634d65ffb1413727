//! What an entry states about an account, and the leader's answer.

use serde::{Deserialize, Serialize};

/// Statement of one entry about an account with a token limit. In tokens; encoded as a list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct Statement {
    /// Spent since the process started.
    pub total: u64,
    /// Spent within the last window.
    pub recent: u64,
    /// The entry's allotment of the limit: what it may spend within any window.
    pub allotment: u64,
    /// Needed in addition, by a request that waits for the answer.
    pub wanted: u64,
}

impl From<(u64, u64, u64, u64)> for Statement {
    fn from((total, recent, allotment, wanted): (u64, u64, u64, u64)) -> Self {
        Statement {
            total,
            recent,
            allotment,
            wanted,
        }
    }
}

impl From<Statement> for (u64, u64, u64, u64) {
    fn from(statement: Statement) -> Self {
        let Statement {
            total,
            recent,
            allotment,
            wanted,
        } = statement;
        (total, recent, allotment, wanted)
    }
}

/// The leader's answer to a [`Statement`]. In tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Headroom {
    /// What all entries together may spend now; below zero after they spent too fast.
    pub available: f64,
    /// The entry's allotment of the limit.
    pub allotment: f64,
}
