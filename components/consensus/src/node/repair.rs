//! Replacement of lost voters by spares, and growth of the group by spares.
//!
//! Once a spare holds the whole committed log on its disk, it is swapped for the lost voter. During
//! the swap each decision needs a quorum of the voters with the lost one and a quorum of those with
//! the spare. The group therefore tolerates the loss of the spare, and also the loss of another
//! voter if the lost one returns.

use crate::ids::Index;
use crate::{Event, Margin, Member, Membership};

use super::Node;
use super::role::Role;

/// A repair in progress.
#[derive(Debug)]
pub(super) struct Repair {
    lost: Member,
    spare: Member,
    /// Index of the entry that ends the swap.
    end: Index,
}

impl Node {
    /// Continues a leadership transfer or a repair after a peer made progress.
    pub(super) fn after_progress(&mut self, from: &Member) {
        self.complete_transfer(from);
        self.finish_repair();
        if self.membership().learners.contains(from) {
            self.repair_membership();
        }
    }

    /// Continues a repair after entries were committed; steps down if this node was removed.
    pub(super) fn after_commit(&mut self) {
        self.finish_repair();
        self.end_swap_of_repair();
        if !self.membership().is_voter(&self.me) && self.may_change() {
            self.step_down("this node is no longer a voter");
        }
        if self.membership().voters.len() != self.membership().target {
            self.repair_membership();
        }
    }

    /// Starts the next membership change towards the target number of live voters.
    pub(super) fn repair_membership(&mut self) {
        if !self.may_change() {
            return;
        }
        let membership = self.membership().clone();
        let lost = self.lost_voter(&membership);
        let spare = self.ready_spare(&membership, lost.as_ref());
        let count = membership.voters.len();
        let growth = self.growth_target(&membership);
        match (lost, spare, growth) {
            (None, Some(spare), Some(target)) => {
                let next = membership.with_voter(&spare).with_target(target);
                let _ = self.change_membership(self.now, next);
            }
            (_, Some(spare), _) if count < membership.target && self.are_all_live(&membership) => {
                let _ = self.change_membership(self.now, membership.with_voter(&spare));
            }
            (Some(lost), ..) if count > membership.target => {
                let _ = self.change_membership(self.now, membership.without(&lost));
            }
            (Some(lost), Some(spare), _) => self.begin_swap(&membership, lost, spare),
            (Some(lost), None, _) => self.warn_of_lost_voter(lost),
            (None, ..) if count > membership.target => self.demote_newest(&membership),
            (None, ..) => {}
        }
    }

    /// Returns the number of voters to which the group can grow: the highest odd one up to that in the
    /// settings for which there are enough live voters and spares, each spare of a process that does not
    /// vote yet. An even number of voters tolerates no more losses. A voter may have died just before a
    /// spare joined in its place, so that the membership has to last for `repair_after` first.
    fn growth_target(&self, membership: &Membership) -> Option<usize> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if self.now < leader.members_since + self.settings.repair_after {
            return None;
        }
        let count = membership.voters.len();
        let is_new = |learner: &&Member| {
            let mut voters = membership.voters.iter();
            self.is_ready_spare(learner) && voters.all(|voter| voter.node != learner.node)
        };
        let live = membership.voters.iter().filter(|voter| self.is_live(voter));
        let available = live.count() + membership.learners.iter().filter(is_new).count();
        let goal = available.min(self.settings.voters);
        let goal = goal.saturating_sub(usize::from(goal.is_multiple_of(2)));
        (count == membership.target && goal > count).then_some(goal)
    }

    fn are_all_live(&self, membership: &Membership) -> bool {
        membership.voters.iter().all(|voter| self.is_live(voter))
    }

    /// Returns a voter that did not answer for too long, or whose process has a new data folder.
    fn lost_voter(&self, membership: &Membership) -> Option<Member> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let limit = self.settings.repair_after;
        let is_lost = |voter: &&Member| match leader.progress.get(*voter) {
            Some(peer) => self.now >= peer.last_contact + limit || membership.has_other_disk(voter),
            None => false,
        };
        membership.voters.iter().find(is_lost).cloned()
    }

    /// Returns how many losses the group tolerates; `None` if this node is not the leader.
    pub fn margin(&self) -> Option<Margin> {
        if !self.is_leader() {
            return None;
        }
        let membership = self.membership();
        let missing = membership
            .all_voters()
            .filter(|voter| !self.is_live(voter))
            .cloned()
            .collect();
        Some(Margin {
            tolerated: membership.tolerated_losses(|voter| self.is_live(voter)),
            full: membership.target.saturating_sub(1) / 2,
            missing,
        })
    }

    /// Returns whether a voter is this node, or answers with the data folder with which it votes.
    fn is_live(&self, voter: &Member) -> bool {
        let has_folder = !self.membership().has_other_disk(voter);
        *voter == self.me || has_folder && self.is_responsive(voter)
    }

    /// Returns whether a member answered within the last election timeout.
    fn is_responsive(&self, member: &Member) -> bool {
        match &self.role {
            Role::Leader(leader) => leader
                .progress
                .get(member)
                .is_some_and(|peer| self.now < peer.last_contact + self.settings.election_timeout),
            _ => false,
        }
    }

    /// Returns whether a learner is live and holds the whole committed log on its disk.
    fn is_ready_spare(&self, learner: &Member) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let progress = leader.progress.get(learner);
        let holds_all = progress.is_some_and(|progress| progress.matched >= self.commit);
        (holds_all || !self.guards.spare_up_to_date) && self.is_responsive(learner)
    }

    /// Returns a live learner that holds the whole committed log on its disk; prefers one of the
    /// lost voter's own process.
    fn ready_spare(&self, membership: &Membership, lost: Option<&Member>) -> Option<Member> {
        let is_same_process = |learner: &Member| lost.is_some_and(|lost| lost.node == learner.node);
        let learners = membership.learners.iter();
        let learners = learners.filter(|learner| self.is_ready_spare(learner));
        learners
            .min_by_key(|learner| !is_same_process(learner))
            .cloned()
    }

    fn warn_of_lost_voter(&mut self, lost: Member) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.reported_no_spare.as_ref() != Some(&lost) {
            leader.reported_no_spare = Some(lost.clone());
            self.report(Event::NoSpare(lost));
        }
    }

    fn begin_swap(&mut self, membership: &Membership, lost: Member, spare: Member) {
        let next = membership.with_swap(&lost, &spare);
        if self.change_membership(self.now, next).is_ok() {
            self.report(Event::RepairBegan(lost, spare));
        }
    }

    /// Ends a swap once its start is committed, also one that an earlier leader began.
    fn end_swap_of_repair(&mut self) {
        let swap = self.membership().clone();
        let Some(end) = self.end_swap() else {
            return;
        };
        let lost = swap
            .outgoing
            .iter()
            .find(|voter| !swap.voters.contains(voter));
        let spare = swap
            .voters
            .iter()
            .find(|voter| !swap.outgoing.contains(voter));
        if let (Role::Leader(leader), Some(lost), Some(spare)) = (&mut self.role, lost, spare) {
            leader.repair = Some(Repair {
                lost: lost.clone(),
                spare: spare.clone(),
                end,
            });
        }
    }

    fn demote_newest(&mut self, membership: &Membership) {
        let newest = membership
            .voters
            .iter()
            .rev()
            .find(|voter| **voter != self.me);
        if let Some(newest) = newest.cloned() {
            let _ = self.change_membership(self.now, membership.with_demoted(&newest));
        }
    }

    /// Reports a repair as done once the end of the swap is committed and the spare holds the log
    /// up to it on its disk.
    fn finish_repair(&mut self) {
        let (commit, spare_up_to_date) = (self.commit, self.guards.spare_up_to_date);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(Repair { spare, end, .. }) = &leader.repair else {
            return;
        };
        let progress = leader.progress.get(spare);
        let matched = progress.map_or(0, |progress| progress.matched);
        let holds_all = matched >= *end || !spare_up_to_date;
        let is_done = commit >= *end && holds_all;
        if let Some(repair) = leader.repair.take_if(|_| is_done) {
            self.report(Event::RepairDone(repair.lost, repair.spare, matched));
        }
    }
}
