//! Who takes part in the control group.

use serde::{Deserialize, Serialize};

use crate::Member;

/// Members of the control group, as stated by one entry of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Number of voters that repairs restore.
    pub target: usize,
    /// Members that vote, oldest first.
    pub voters: Vec<Member>,
    /// Members that receive the log and don't vote, oldest first.
    pub learners: Vec<Member>,
}

impl Membership {
    /// Returns a membership of voters alone.
    pub fn of(voters: Vec<Member>) -> Self {
        Membership {
            target: voters.len(),
            voters,
            learners: Vec::new(),
        }
    }

    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a member votes.
    pub fn votes(&self, member: &Member) -> bool {
        self.voters.contains(member)
    }

    /// Returns whether a member takes part.
    pub fn contains(&self, member: &Member) -> bool {
        self.voters.contains(member) || self.learners.contains(member)
    }

    /// Returns all members, voters first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns whether another member of the same process, with another disk, takes part.
    pub fn supersedes(&self, member: &Member) -> bool {
        self.members()
            .any(|other| other.node == member.node && other.disk != member.disk)
    }

    /// Returns this membership with a new learner in place of earlier learners of its process.
    pub fn with_learner(&self, member: &Member) -> Self {
        let mut next = self.clone();
        next.learners.retain(|other| other.node != member.node);
        next.learners.push(member.clone());
        next
    }

    /// Returns this membership with a learner made a voter.
    pub fn with_voter(&self, member: &Member) -> Self {
        let mut next = self.without(member);
        next.voters.push(member.clone());
        next
    }

    /// Returns this membership with a voter made a learner.
    pub fn with_demoted(&self, member: &Member) -> Self {
        let mut next = self.without(member);
        next.learners.push(member.clone());
        next
    }

    /// Returns this membership without a member.
    pub fn without(&self, member: &Member) -> Self {
        let mut next = self.clone();
        next.voters.retain(|other| other != member);
        next.learners.retain(|other| other != member);
        next
    }
}
