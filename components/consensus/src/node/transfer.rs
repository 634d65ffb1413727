//! Transfer of the leadership to another voter before a planned stop.

use std::time::Duration;

use crate::{Body, Member, Refusal};

use super::Node;
use super::role::Role;

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct Transfer {
    target: Member,
    deadline: Duration,
}

impl Node {
    /// Starts to transfer the leadership to the voter that holds most of the log. Proposals are
    /// refused from then on; they are accepted again if the voter does not catch up within an
    /// election timeout.
    ///
    /// # Errors
    /// Refuses if this node is not the leader, or no other voter answers.
    pub fn transfer_leadership(&mut self, now: Duration) -> Result<(), Refusal> {
        self.advance(now);
        let deadline = self.now + self.settings.election_timeout;
        let voters: Vec<Member> = self.membership().voters.clone();
        let Role::Leader(leader) = &mut self.role else {
            return Err(Refusal::NotLeader(self.leader.clone()));
        };
        let timeout = self.settings.election_timeout;
        let target = leader
            .progress
            .iter()
            .filter(|(member, peer)| voters.contains(member) && peer.last_contact + timeout > now)
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(member, _)| member.clone());
        let Some(target) = target else {
            return Err(Refusal::NotLeader(None));
        };
        leader.transfer = Some(Transfer {
            target: target.clone(),
            deadline,
        });
        self.after_progress(&target);
        Ok(())
    }

    /// Steps down once the target holds the whole log. The lease ends before the message to the
    /// target is sent, and this node can't regain it in this term.
    pub(super) fn complete_transfer(&mut self, from: &Member) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let is_target = leader
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.target == *from);
        let is_caught_up = leader
            .progress
            .get(from)
            .is_some_and(|progress| progress.matched == last);
        if is_target && is_caught_up {
            let message = self.message(from, Body::TimeoutNow);
            self.step_down("leadership was transferred");
            self.outbox.send(message);
        }
    }

    pub(super) fn expire_transfer(&mut self) {
        let now = self.now;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer.take_if(|transfer| now >= transfer.deadline);
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: &Member) {
        let is_from_leader = self.leader.as_ref() == Some(from);
        if is_from_leader && !self.passive && self.membership().is_voter(&self.me) {
            self.campaign(true);
        }
    }
}
