//! Elections, terms and step-downs.

use indexmap::{IndexMap, IndexSet};

use crate::ids::Term;
use crate::progress::Progress;
use crate::{Body, Event, Member, Message, Payload, Position};

use super::Node;
use super::role::{Leader, Role};

impl Node {
    /// Starts a pre-vote or an election if this node is a voter, and asks all processes to be added
    /// to their group.
    pub(super) fn begin_election(&mut self) {
        self.leader = None;
        self.restart_election_timer();
        self.poll_peers();
        match self.membership().is_voter(&self.me) && !self.passive {
            true if self.guards.pre_vote => self.begin_pre_vote(),
            true => self.campaign(false),
            false => self.role = Role::Follower,
        }
    }

    fn begin_pre_vote(&mut self) {
        self.role = Role::PreCandidate(IndexSet::from([self.me.clone()]));
        let term = self.hard_state.term + 1;
        let last = self.log.last();
        for voter in self.other_voters() {
            let mut message = self.message(&voter, Body::PreVote { last });
            message.term = term;
            self.outbox.send(message);
        }
        // A pre-vote changes no state of the voters, so it is repeated after about a heartbeat
        // until their promises to a lost leader have ended.
        self.election_at = self.now + self.settings.heartbeat + self.jitter();
        self.count_votes();
    }

    /// Starts a new term as a candidate; the vote requests are sent once term and vote are synced.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.enter_term(self.hard_state.term + 1);
        self.hard_state.vote = Some(self.me.clone());
        self.record_hard_state();
        self.role = Role::Candidate(IndexSet::from([self.me.clone()]));
        self.restart_election_timer();
        let last = self.log.last();
        let after = self.outbox.latest_write();
        for voter in self.other_voters() {
            let message = self.message(&voter, Body::Vote { last, transfer });
            self.outbox.send_after(after, message);
        }
        self.count_votes();
    }

    /// Enters a later term as a follower.
    pub(super) fn enter_term(&mut self, term: Term) {
        self.step_down("a later term began");
        self.hard_state.term = term;
        self.hard_state.vote = None;
        self.leader = None;
        self.role = Role::Follower;
        self.record_hard_state();
    }

    pub(super) fn on_pre_vote(&mut self, message: &Message, last: Position) {
        let granted = message.term > self.hard_state.term
            && !self.has_promised()
            && self.is_log_up_to_date(last);
        let mut reply = self.message(&message.from, Body::PreVoteReply { granted });
        if granted {
            reply.term = message.term;
        }
        self.outbox
            .send_after(self.outbox.hard_state_write(), reply);
    }

    pub(super) fn on_pre_vote_reply(&mut self, message: &Message, granted: bool) {
        let requested_term = self.hard_state.term + 1;
        match &mut self.role {
            Role::PreCandidate(grants) if granted && message.term == requested_term => {
                grants.insert(message.from.clone());
                self.count_votes();
            }
            Role::PreCandidate(_) if !granted && message.term > self.hard_state.term => {
                self.enter_term(message.term);
            }
            _ => {}
        }
    }

    pub(super) fn on_vote(&mut self, message: &Message, last: Position, transfer: bool) {
        // A leader that transfers its leadership gives up its lease first, so promises to it are
        // ignored.
        let is_transfer = transfer && message.term == self.hard_state.term + 1;
        if self.has_promised() && !is_transfer {
            return;
        }
        if message.term > self.hard_state.term {
            self.enter_term(message.term);
        }
        let can_vote =
            self.hard_state.vote.is_none() || self.hard_state.vote.as_ref() == Some(&message.from);
        let granted =
            message.term == self.hard_state.term && can_vote && self.is_log_up_to_date(last);
        if granted {
            self.hard_state.vote = Some(message.from.clone());
            self.record_hard_state();
            self.restart_election_timer();
        }
        let reply = self.message(&message.from, Body::VoteReply { granted });
        self.outbox.send_after(self.outbox.latest_write(), reply);
    }

    pub(super) fn on_vote_reply(&mut self, from: Member, granted: bool) {
        match &mut self.role {
            Role::Candidate(grants) if granted => {
                grants.insert(from);
                self.count_votes();
            }
            _ => {}
        }
    }

    /// Stops leading; proposals stay open until their outcome is known or their deadline is over.
    pub(super) fn step_down(&mut self, reason: &'static str) {
        if !self.is_leader() {
            return;
        }
        self.report(Event::SteppedDown(self.hard_state.term, reason));
        let deadline = self.now + self.settings.settle_after;
        for expiry in self.proposals.values_mut() {
            expiry.get_or_insert(deadline);
        }
        self.fail_barriers();
        self.role = Role::Follower;
        self.leader = None;
        self.restart_election_timer();
    }

    fn is_log_up_to_date(&self, last: Position) -> bool {
        last.covers(&self.log.last()) || !self.guards.log_up_to_date
    }

    fn other_voters(&self) -> Vec<Member> {
        let voters = self.membership().all_voters();
        voters.filter(|voter| **voter != self.me).cloned().collect()
    }

    fn count_votes(&mut self) {
        let membership = self.membership();
        let (Role::PreCandidate(grants) | Role::Candidate(grants)) = &self.role else {
            return;
        };
        let has_quorum = membership.is_quorum(|voter| grants.contains(voter));
        match self.role {
            Role::PreCandidate(_) if has_quorum => self.campaign(false),
            Role::Candidate(_) if has_quorum => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader(Box::new(Leader {
            elected_at: self.now,
            members_since: self.now,
            first_index: self.log.last().index + 1,
            progress: IndexMap::new(),
            rounds: std::collections::VecDeque::new(),
            heartbeat_at: self.now,
            round_due: false,
            uncommitted_bytes: 0,
            barriers: std::collections::VecDeque::new(),
            transfer: None,
            repair: None,
            reported_no_spare: None,
        }));
        self.leader = Some(self.me.clone());
        self.report(Event::Elected(self.hard_state.term));
        self.append(Payload::Blank);
        self.track_members();
        self.begin_round();
    }

    /// Adds replication state for new members and drops that of removed ones.
    pub(super) fn track_members(&mut self) {
        let members: Vec<Member> = self.membership().members().cloned().collect();
        let next = self.log.last().index + 1;
        let (me, now) = (self.me.clone(), self.now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.members_since = now;
        leader.progress.retain(|member, _| members.contains(member));
        for member in members.into_iter().filter(|member| *member != me) {
            leader
                .progress
                .entry(member)
                .or_insert_with(|| Progress::new(next, now));
        }
    }
}
