//! Where a command stands in the replicated log.

use serde::{Deserialize, Serialize};

/// Bits of a fencing number that hold the index; the term stands above them.
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
    /// Returns the fencing number of an order committed here, larger than that of all earlier ones.
    pub fn fence(self) -> u64 {
        (self.term << INDEX_BITS) | self.index
    }
}
