//! Members of a group.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{DiskId, NodeId};

/// Identity of a node: the name of its process and the id of its data folder.
///
/// A process whose data folder was emptied is a new member and can't vote as the former one, whose
/// votes and log are lost.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name of the process.
    pub node: NodeId,
    /// Id of its data folder; a replaced or emptied folder has another id.
    pub disk: DiskId,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.node, self.disk)
    }
}
