//! Entries of the log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, Term};
use crate::{Membership, Position};

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Index in the log.
    pub index: Index,
    /// Term of the leader that proposed it.
    pub term: Term,
    /// Effect of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the position of the entry.
    pub fn position(&self) -> Position {
        Position {
            index: self.index,
            term: self.term,
        }
    }

    /// Returns the approximate size of the entry in a message, in bytes.
    pub fn size(&self) -> usize {
        /// Estimated encoded size of index, term and kind of payload.
        const OVERHEAD_BYTES: usize = 32;
        /// Estimated encoded size of a member.
        const MEMBER_BYTES: usize = 32;
        let payload = match &self.payload {
            Payload::Blank => 0,
            Payload::Command(command) => command.len(),
            Payload::Members(members) => members.members().count() * MEMBER_BYTES,
        };
        payload + OVERHEAD_BYTES
    }
}

/// Effect of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// No effect; the first entry of each leader.
    Blank,
    /// Changes the replicated state once it is committed.
    Command(Bytes),
    /// Changes the membership; it takes effect on each node as soon as it is in the node's log,
    /// before it is committed.
    Members(Membership),
}
