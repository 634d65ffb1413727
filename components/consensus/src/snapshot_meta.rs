//! Description of a snapshot.

use serde::{Deserialize, Serialize};

use crate::{Membership, Position};

/// The last entry that a snapshot covers, and the membership in force at it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// Last entry whose effect is in the snapshot.
    #[serde(rename = "mark")]
    pub position: Position,
    /// Membership in force at that entry.
    pub membership: Membership,
}
