//! The identity of a server.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{DiskId, NodeId};

/// A server: the name of its process together with the number of its data folder.
///
/// A process whose folder was emptied is another member and never votes as the former one.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name of the process.
    pub node: NodeId,
    /// Number of its data folder.
    pub disk: DiskId,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:08x}", self.node, self.disk)
    }
}
