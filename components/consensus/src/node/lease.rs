//! Heartbeat rounds, the leader's lease and the voters' promises.
//!
//! A voter that hears the leader promises to vote for no other node for one election timeout. Once
//! a quorum answered a heartbeat round, no other node can win an election until one election
//! timeout after the start of the round, unless the leader transfers its leadership. The lease is
//! shorter than that by the maximum clock drift.

use std::time::Duration;

use crate::Member;
use crate::ids::Round;

use super::Node;
use super::role::Role;

impl Node {
    /// Returns the end of the lease, until which this node may act as the leader; `None` if it is
    /// not the leader, has not applied an entry of its term, or is transferring its leadership.
    ///
    /// Callers have to compare it with the clock right before each action that only the leader may
    /// take.
    pub fn leads_until(&self) -> Option<Duration> {
        match &self.role {
            Role::Leader(leader)
                if self.applied >= leader.first_index && leader.transfer.is_none() =>
            {
                let start = self.quorum_contact()?;
                Some(start + self.settings.lease())
            }
            _ => None,
        }
    }

    /// Returns whether a promise forbids this node to vote for another one: a leader is bound while
    /// the promises of a quorum to it hold, any other node while its own promise holds.
    pub(super) fn has_promised(&self) -> bool {
        if !self.guards.lease_promise {
            return false;
        }
        match &self.role {
            Role::Leader(_) => self
                .quorum_contact()
                .is_some_and(|start| self.now < start + self.settings.election_timeout),
            _ => self.now < self.promised_until,
        }
    }

    /// Records a message of the leader and renews the promise to it.
    pub(super) fn on_leader_contact(&mut self, from: &Member) {
        if self.leader.as_ref() != Some(from) {
            self.report(crate::Event::LeaderChanged(
                self.hard_state.term,
                from.clone(),
            ));
        }
        self.leader = Some(from.clone());
        self.role = Role::Follower;
        self.promised_until = self
            .promised_until
            .max(self.now + self.settings.election_timeout);
        self.restart_election_timer();
    }

    /// Starts a heartbeat round to all members.
    pub(super) fn begin_round(&mut self) {
        /// Election timeouts for which the start of a heartbeat round is kept. An older round can't
        /// extend the lease, which is shorter than one election timeout.
        const ROUND_RETENTION_TIMEOUTS: u32 = 3;
        let (now, heartbeat) = (self.now, self.settings.heartbeat);
        let retention = self.settings.election_timeout * ROUND_RETENTION_TIMEOUTS;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round() + 1;
        leader.rounds.push_back((round, now));
        while leader
            .rounds
            .pop_front_if(|(_, start)| *start + retention < now)
            .is_some()
        {}
        leader.round_due = false;
        leader.heartbeat_at = now + heartbeat;
        let members: Vec<Member> = leader.progress.keys().cloned().collect();
        for member in members {
            self.send_heartbeat(&member);
        }
    }

    /// Records that a member answered a heartbeat round.
    pub(super) fn on_member_contact(&mut self, from: &Member, round: Round) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let latest = leader.round();
        if let Some(progress) = leader.progress.get_mut(from) {
            progress.last_contact = now;
            progress.round = progress.round.max(round.min(latest));
        }
        self.confirm_barriers();
    }

    /// Returns the latest heartbeat round that a quorum answered.
    pub(super) fn answered_round(&self) -> Round {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        self.membership()
            .quorum_value(|voter| match leader.progress.get(voter) {
                Some(progress) => progress.round,
                None if *voter == self.me => leader.round(),
                None => 0,
            })
    }

    /// Returns the start of the latest heartbeat round that a quorum answered; the current time if
    /// this node alone is a quorum.
    fn quorum_contact(&self) -> Option<Duration> {
        match &self.role {
            Role::Leader(_) if self.membership().is_quorum(|voter| *voter == self.me) => {
                Some(self.now)
            }
            Role::Leader(leader) => leader.round_start(self.answered_round()),
            _ => None,
        }
    }

    /// Steps down if no quorum answered within an election timeout.
    pub(super) fn check_quorum(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let answered = self.quorum_contact().unwrap_or(leader.elected_at);
        let is_over = self.now >= answered + self.settings.election_timeout;
        if is_over && self.guards.check_quorum {
            self.step_down("no answer from a quorum");
        }
    }
}
