//! Replacement of lost voters by spares.
//!
//! A spare is made a voter before the lost voter is removed, so that each entry committed in
//! between is on the disks of the spare and of all other voters.

use crate::ids::Index;
use crate::{Event, Member, Membership};

use super::Node;
use super::role::Role;

/// A repair under way.
#[derive(Debug)]
pub(super) struct Repair {
    lost: Member,
    spare: Member,
    /// Entry that removes the lost voter; `None` while the spare is being made a voter.
    removal: Option<Index>,
}

impl Node {
    /// Does what follows from a peer's progress.
    pub(super) fn after_progress(&mut self, from: &Member) {
        self.hand_over(from);
        self.finish_repair();
        if self.membership().learners.contains(from) {
            self.tend_members();
        }
    }

    /// Does what follows from entries that were committed.
    pub(super) fn after_commit(&mut self) {
        self.finish_repair();
        if self.membership().voters.len() > self.membership().target {
            self.tend_members();
        }
    }

    /// Begins the next step towards the target number of live voters.
    pub(super) fn tend_members(&mut self) {
        if !self.may_change() {
            return;
        }
        let membership = self.membership().clone();
        let lost = self.lost_voter(&membership);
        let excess = membership.voters.len() > membership.target;
        match lost {
            Some(lost) if excess => self.remove_lost(&membership, lost),
            Some(lost) => self.promote_spare(&membership, Some(lost)),
            None if excess && self.all_voters_heard(&membership) => self.demote_newest(&membership),
            None if membership.voters.len() < membership.target => {
                self.promote_spare(&membership, None);
            }
            None => {}
        }
    }

    /// Returns a voter that was silent for too long, or whose process has another disk by now.
    fn lost_voter(&self, membership: &Membership) -> Option<Member> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let patience = self.settings.repair_after;
        let is_lost = |voter: &&Member| match leader.progress.get(*voter) {
            Some(progress) => self.now >= progress.heard + patience || membership.supersedes(voter),
            None => false,
        };
        membership.voters.iter().find(is_lost).cloned()
    }

    fn all_voters_heard(&self, membership: &Membership) -> bool {
        let others = membership.voters.iter().filter(|voter| **voter != self.me);
        others.into_iter().all(|voter| self.is_heard(voter))
    }

    /// Returns whether a member answered within an election timeout.
    fn is_heard(&self, member: &Member) -> bool {
        match &self.role {
            Role::Leader(leader) => leader
                .progress
                .get(member)
                .is_some_and(|progress| self.now < progress.heard + self.settings.election_timeout),
            _ => false,
        }
    }

    fn promote_spare(&mut self, membership: &Membership, lost: Option<Member>) {
        let Some(spare) = self.ready_spare(membership, lost.as_ref()) else {
            self.warn_of_loss(lost);
            return;
        };
        if self
            .change(self.now, membership.with_voter(&spare))
            .is_err()
        {
            return;
        }
        let Some(lost) = lost else { return };
        self.report(Event::RepairBegan(lost.clone(), spare.clone()));
        if let Role::Leader(leader) = &mut self.role {
            leader.repair = Some(Repair {
                lost,
                spare,
                removal: None,
            });
        }
    }

    /// Returns a live learner that holds the whole committed log on its disk; one of the lost
    /// voter's own process first.
    fn ready_spare(&self, membership: &Membership, lost: Option<&Member>) -> Option<Member> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let ready = |learner: &&Member| {
            let holds_all = leader
                .progress
                .get(*learner)
                .is_some_and(|progress| progress.matched >= self.commit);
            (holds_all || !self.guards.whole_state) && self.is_heard(learner)
        };
        let is_own = |learner: &Member| lost.is_some_and(|lost| lost.node == learner.node);
        let learners = membership.learners.iter().filter(ready);
        learners.min_by_key(|learner| !is_own(learner)).cloned()
    }

    fn warn_of_loss(&mut self, lost: Option<Member>) {
        match &mut self.role {
            Role::Leader(leader) if lost.is_some() && leader.warned != lost => {
                leader.warned = lost.clone();
            }
            _ => return,
        }
        if let Some(lost) = lost {
            self.report(Event::NoSpare(lost));
        }
    }

    fn remove_lost(&mut self, membership: &Membership, lost: Member) {
        if self.change(self.now, membership.without(&lost)).is_err() {
            return;
        }
        let removal = self.log.last().index;
        // The repair may have been begun by an earlier leader; its spare is the newest voter.
        let newest = membership.voters.last().cloned();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let begun = leader.repair.take().map(|repair| repair.spare);
        leader.repair = begun.or(newest).map(|spare| Repair {
            lost,
            spare,
            removal: Some(removal),
        });
    }

    fn demote_newest(&mut self, membership: &Membership) {
        let newest = membership
            .voters
            .iter()
            .rev()
            .find(|voter| **voter != self.me);
        if let Some(newest) = newest.cloned() {
            let _ = self.change(self.now, membership.with_demoted(&newest));
        }
    }

    /// Reports a repair as done once the removal is committed and the spare holds the whole log
    /// up to it on its disk.
    fn finish_repair(&mut self) {
        let (commit, whole_state) = (self.commit, self.guards.whole_state);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(Repair {
            removal: Some(removal),
            spare,
            ..
        }) = &leader.repair
        else {
            return;
        };
        let matched = leader
            .progress
            .get(spare)
            .map_or(commit, |progress| progress.matched);
        let holds_all = matched >= *removal || !whole_state;
        let is_done = commit >= *removal && holds_all;
        if let Some(repair) = leader.repair.take_if(|_| is_done) {
            self.report(Event::RepairDone(repair.lost, repair.spare, matched));
        }
    }
}
