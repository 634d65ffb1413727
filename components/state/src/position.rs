//! Positions in the replicated log.

use serde::{Deserialize, Serialize};

/// Number of low bits of a fencing number that hold the index; the term is in the bits above.
const INDEX_BITS: u32 = 40;

/// Term and index of an entry of the replicated log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// Term in which a leader appended the entry.
    pub term: u64,
    /// Number of the entry, counted from 1.
    pub index: u64,
}

impl Position {
    /// Returns the fencing number of a command at this position. It is larger than that of any
    /// earlier position.
    pub fn fence(self) -> u64 {
        (self.term << INDEX_BITS) | self.index
    }
}
