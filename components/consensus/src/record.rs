//! Records of the log on disk.

use serde::{Deserialize, Serialize};

use crate::{Entry, HardState, Position};

/// One record; records are replayed in the order in which they were written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Replaces term, vote and group.
    #[serde(rename = "Hard")]
    HardState(HardState),
    /// Appends an entry after dropping all entries from its index onwards.
    Entry(Entry),
    /// Drops the whole log, which continues after this position.
    Reset(Position),
}
