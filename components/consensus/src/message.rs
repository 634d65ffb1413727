//! Messages between the nodes of a group.

use serde::{Deserialize, Serialize};

use crate::ids::{DiskId, GroupId, INDEX_LIMIT, NodeId, TERM_LIMIT, Term};
use crate::{Body, Entry, Member, Position};

/// One message; the network may lose, duplicate or reorder messages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Group of the sender; `None` while its data folder is empty.
    pub group: Option<GroupId>,
    /// Sender.
    pub from: Member,
    /// Process that receives the message.
    pub to: NodeId,
    /// Data folder of the receiver; `None` for any.
    pub to_disk: Option<DiskId>,
    /// Term of the sender, or the term that a vote is about.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

impl Message {
    /// Returns whether all numbers are within their limits and the entries in order. A node drops
    /// messages that are not valid.
    pub(crate) fn is_valid(&self) -> bool {
        let has_valid_indices = match &self.body {
            Body::Append { prev, entries, .. } => self.is_contiguous(*prev, entries),
            Body::Chunk { chunk, .. } => {
                chunk.meta.position.index.max(chunk.offset) < INDEX_LIMIT
                    && chunk.meta.position.term <= self.term
            }
            Body::Rejected { prev, .. } => *prev < INDEX_LIMIT,
            Body::Received { offset, .. } => *offset < INDEX_LIMIT,
            Body::ReadReply { index, .. } => index.is_none_or(|index| index < INDEX_LIMIT),
            _ => true,
        };
        has_valid_indices && self.term < TERM_LIMIT
    }

    /// Returns whether entries follow `prev` without gaps and with terms that never decrease.
    fn is_contiguous(&self, prev: Position, entries: &[Entry]) -> bool {
        let mut last = prev;
        for entry in entries {
            if entry.index != last.index.saturating_add(1) || entry.term < last.term {
                return false;
            }
            last = entry.position();
        }
        last.index < INDEX_LIMIT && last.term <= self.term
    }
}
