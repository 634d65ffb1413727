//! Replacement of lost voters by spares.
//!
//! Once a spare holds the whole committed log on its disk, the lost voter is removed, and then the
//! spare is made a voter. In between the group bears no fewer losses than before, and it never
//! waits for the spare: where the spare is lost as well, the group goes on.

use crate::ids::Index;
use crate::{Event, Member, Membership};

use super::Node;
use super::role::Role;

/// A repair under way.
#[derive(Debug)]
pub(super) struct Repair {
    /// Voter that was removed; `None` where an earlier leader removed it.
    lost: Option<Member>,
    spare: Member,
    /// Entry that makes the spare a voter; `None` while the lost voter is being removed.
    promotion: Option<Index>,
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
        if !self.membership().votes(&self.me) && self.may_change() {
            self.step_down("it votes no more");
        }
        if self.membership().voters.len() != self.membership().target {
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
        let spare = self.ready_spare(&membership, lost.as_ref());
        let count = membership.voters.len();
        match (lost, spare) {
            (_, Some(spare)) if count < membership.target => self.promote(&membership, spare),
            (Some(lost), Some(spare)) => self.remove_lost(&membership, lost, spare),
            (Some(lost), None) if count > membership.target => {
                let _ = self.change(self.now, membership.without(&lost));
            }
            (Some(lost), None) => self.warn_of_loss(lost),
            (None, _) if count > membership.target => self.demote_newest(&membership),
            (None, _) => {}
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

    fn warn_of_loss(&mut self, lost: Member) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.warned.as_ref() != Some(&lost) {
            leader.warned = Some(lost.clone());
            self.report(Event::NoSpare(lost));
        }
    }

    fn remove_lost(&mut self, membership: &Membership, lost: Member, spare: Member) {
        if self.change(self.now, membership.without(&lost)).is_err() {
            return;
        }
        self.report(Event::RepairBegan(lost.clone(), spare.clone()));
        if let Role::Leader(leader) = &mut self.role {
            leader.repair = Some(Repair {
                lost: Some(lost),
                spare,
                promotion: None,
            });
        }
    }

    fn promote(&mut self, membership: &Membership, spare: Member) {
        if self
            .change(self.now, membership.with_voter(&spare))
            .is_err()
        {
            return;
        }
        let promotion = self.log.last().index;
        if let Role::Leader(leader) = &mut self.role {
            let lost = leader.repair.take().and_then(|repair| repair.lost);
            leader.repair = Some(Repair {
                lost,
                spare,
                promotion: Some(promotion),
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
            let _ = self.change(self.now, membership.with_demoted(&newest));
        }
    }

    /// Reports a repair as done once the promotion is committed and the spare holds the whole
    /// log up to it on its disk.
    fn finish_repair(&mut self) {
        let (commit, whole_state) = (self.commit, self.guards.whole_state);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(Repair {
            promotion: Some(promotion),
            spare,
            ..
        }) = &leader.repair
        else {
            return;
        };
        let matched = leader
            .progress
            .get(spare)
            .map_or(0, |progress| progress.matched);
        let holds_all = matched >= *promotion || !whole_state;
        let is_done = commit >= *promotion && holds_all;
        if let Some(repair) = leader.repair.take_if(|_| is_done) {
            self.report(Event::RepairDone(repair.lost, repair.spare, matched));
        }
    }
}
