//! State that must be synced before any reply that depends on it.

use serde::{Deserialize, Serialize};

use crate::Member;
use crate::ids::{GroupId, Term};

/// Term, vote and group of a node.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Group of the node; `None` while its data folder is empty.
    pub group: Option<GroupId>,
    /// Latest term that the node knows.
    pub term: Term,
    /// Candidate that got the node's vote in that term.
    pub vote: Option<Member>,
}
