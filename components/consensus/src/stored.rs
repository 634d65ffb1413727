//! What a node finds on its disk.

use crate::ids::GroupId;
use crate::{Entry, Hard, Member, Membership, Meta, Payload};

/// Content of a data folder at the start of a process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// Term, vote and group.
    pub hard: Hard,
    /// Newest whole snapshot.
    pub snapshot: Option<Meta>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl Stored {
    /// Returns the content that every voter of a new group starts from.
    pub fn founding(group: GroupId, voters: Vec<Member>) -> Self {
        Stored {
            hard: Hard {
                group: Some(group),
                term: 1,
                vote: None,
            },
            snapshot: None,
            entries: vec![Entry {
                index: 1,
                term: 1,
                payload: Payload::Members(Membership::of(voters)),
            }],
        }
    }
}
