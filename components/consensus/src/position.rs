//! Positions in the log.

use serde::{Deserialize, Serialize};

use crate::ids::{Index, Term};

/// Index and term of an entry; identifies the entry across all logs of a group.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Index of the entry.
    pub index: Index,
    /// Term of the entry.
    pub term: Term,
}

impl Position {
    /// Returns whether a log that ends here is at least as up to date as one that ends at `other`:
    /// the later term wins, then the higher index.
    pub fn covers(&self, other: &Position) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}
