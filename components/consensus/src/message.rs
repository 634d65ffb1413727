//! Messages between the nodes of a group.

use serde::{Deserialize, Serialize};

use crate::ids::{DiskId, GroupId, NodeId, Term};
use crate::{Body, Member};

/// One message; it may be lost, doubled or overtaken.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Group of the sender; `None` while its folder is empty.
    pub group: Option<GroupId>,
    /// Sender.
    pub from: Member,
    /// Process to which the message goes.
    pub to: NodeId,
    /// Data folder for which the message is meant; `None` for any.
    pub to_disk: Option<DiskId>,
    /// Term of the sender, or the term that a vote is about.
    pub term: Term,
    /// What the message says.
    pub body: Body,
}
