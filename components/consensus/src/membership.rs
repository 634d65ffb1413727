//! Membership of the control group.

use serde::{Deserialize, Serialize};

use crate::Member;

/// Voters and learners of the control group, as set by one entry of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Number of voters that repairs restore the group to.
    pub target: usize,
    /// Members that vote, oldest first.
    pub voters: Vec<Member>,
    /// Voters before the swap in progress (joint consensus: each decision needs a quorum of these
    /// and of `voters`). Empty if no swap is in progress.
    pub outgoing: Vec<Member>,
    /// Members that receive the log without a vote, oldest first.
    pub learners: Vec<Member>,
}

impl Membership {
    /// Returns a membership with voters only; the target is their number.
    pub fn new(voters: Vec<Member>) -> Self {
        Membership {
            target: voters.len(),
            voters,
            outgoing: Vec::new(),
            learners: Vec::new(),
        }
    }

    /// Returns the largest value that a quorum of members has reached; with a swap in progress, a
    /// quorum of each of the two sets of voters.
    pub fn quorum_value(&self, value: impl Fn(&Member) -> u64) -> u64 {
        let majority_value = |voters: &[Member]| {
            let mut values: Vec<u64> = voters.iter().map(&value).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(voters.len() / 2).copied().unwrap_or(0)
        };
        match self.is_swapping() {
            true => majority_value(&self.voters).min(majority_value(&self.outgoing)),
            false => majority_value(&self.voters),
        }
    }

    /// Returns whether the members that meet a condition form a quorum.
    pub fn is_quorum(&self, condition: impl Fn(&Member) -> bool) -> bool {
        self.quorum_value(|member| u64::from(condition(member))) == 1
    }

    /// Returns how many of the voters that meet a condition can be lost while the others that do are
    /// still a quorum.
    pub fn tolerated_losses(&self, is_live: impl Fn(&Member) -> bool) -> usize {
        let spared = |voters: &[Member]| {
            let live = voters.iter().filter(|voter| is_live(voter)).count();
            let quorum = voters.len() / 2 + 1;
            live.saturating_sub(quorum)
        };
        match self.is_swapping() {
            true => spared(&self.voters).min(spared(&self.outgoing)),
            false => spared(&self.voters),
        }
    }

    /// Returns whether a swap of voters is in progress.
    pub fn is_swapping(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Returns whether a member is a voter, including one that a swap removes.
    pub fn is_voter(&self, member: &Member) -> bool {
        self.voters.contains(member) || self.outgoing.contains(member)
    }

    /// Returns whether a member is a voter or a learner.
    pub fn contains(&self, member: &Member) -> bool {
        self.is_voter(member) || self.learners.contains(member)
    }

    /// Returns all voters; those that a swap removes come last.
    pub fn all_voters(&self) -> impl Iterator<Item = &Member> {
        let leaving = self.outgoing.iter();
        let leaving = leaving.filter(|member| !self.voters.contains(member));
        self.voters.iter().chain(leaving)
    }

    /// Returns all members, voters first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.all_voters().chain(&self.learners)
    }

    /// Returns whether the process of a member also takes part with another data folder.
    pub fn has_other_disk(&self, member: &Member) -> bool {
        self.members()
            .any(|other| other.node == member.node && other.disk != member.disk)
    }

    /// Returns this membership with a learner added, which replaces other learners of its process.
    pub fn with_learner(&self, member: &Member) -> Self {
        let mut next = self.clone();
        next.learners.retain(|other| other.node != member.node);
        next.learners.push(member.clone());
        next
    }

    /// Returns this membership with a learner promoted to a voter.
    pub fn with_voter(&self, member: &Member) -> Self {
        let mut next = self.without(member);
        next.voters.push(member.clone());
        next
    }

    /// Returns this membership with another target.
    pub fn with_target(self, target: usize) -> Self {
        Membership { target, ..self }
    }

    /// Returns this membership with a swap of a lost voter for a spare begun.
    pub fn with_swap(&self, lost: &Member, spare: &Member) -> Self {
        let mut next = self.without(lost).with_voter(spare);
        next.outgoing.clone_from(&self.voters);
        next
    }

    /// Returns this membership with the swap ended.
    pub fn with_swap_ended(&self) -> Self {
        let mut next = self.clone();
        next.outgoing.clear();
        next
    }

    /// Returns this membership with a voter demoted to a learner.
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
