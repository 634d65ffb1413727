//! State from which a node starts.

use crate::ids::GroupId;
use crate::{Entry, HardState, Member, Membership, Payload, SnapshotMeta};

/// Content of a data folder when the process starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InitialState {
    /// Term, vote and group.
    pub hard_state: HardState,
    /// Newest complete snapshot.
    pub snapshot: Option<SnapshotMeta>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl InitialState {
    /// Returns the state from which every voter of a new group starts.
    pub fn founding(group: GroupId, voters: Vec<Member>) -> Self {
        InitialState {
            hard_state: HardState {
                group: Some(group),
                term: 1,
                vote: None,
            },
            snapshot: None,
            entries: vec![Entry {
                index: 1,
                term: 1,
                payload: Payload::Members(Membership::new(voters)),
            }],
        }
    }
}
