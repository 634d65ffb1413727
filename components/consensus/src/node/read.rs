//! Read barriers: when a barrier has passed, every entry committed before the request is applied.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{Index, ReadId, Round};
use crate::{Action, Body, Member};

use super::Node;
use super::role::Role;

/// A barrier that waits at the leader until a quorum answers a heartbeat round.
#[derive(Debug)]
pub(super) struct Barrier {
    id: ReadId,
    /// Follower that requested it; `None` for this node itself.
    origin: Option<Member>,
    /// Last entry that the requester has to apply before the barrier passes.
    index: Index,
    /// Heartbeat round that a quorum has to answer.
    round: Round,
}

/// Barriers that this node requested, as the leader or from it.
#[derive(Debug, Default)]
pub(super) struct LocalBarriers {
    /// Barriers requested from the leader, each with the time at which it fails.
    requested: IndexMap<ReadId, Duration>,
    /// Barriers that wait for this node to apply an entry.
    waiting: Vec<(Index, ReadId)>,
}

impl Node {
    /// Requests a read barrier; [`Action::ReadBarrier`] reports its result.
    pub fn request_read_barrier(&mut self, now: Duration, id: ReadId) {
        self.advance(now);
        let deadline = self.now + self.settings.election_timeout;
        match (self.is_leader(), self.leader.clone()) {
            (true, _) => self.add_barrier(id, None),
            (false, Some(leader)) => {
                self.local_barriers.requested.insert(id, deadline);
                self.send(&leader, Body::Read { id });
            }
            (false, None) => self.end_barrier(id, false),
        }
    }

    pub(super) fn on_read(&mut self, from: &Member, id: ReadId) {
        match self.is_leader() {
            true => self.add_barrier(id, Some(from.clone())),
            false => self.send(from, Body::ReadReply { id, index: None }),
        }
    }

    pub(super) fn on_read_reply(&mut self, id: ReadId, index: Option<Index>) {
        match (self.local_barriers.requested.swap_remove(&id), index) {
            (Some(_), Some(index)) => {
                self.local_barriers.waiting.push((index, id));
                self.pass_barriers();
            }
            (Some(_), None) => self.end_barrier(id, false),
            (None, _) => {}
        }
    }

    /// Adds a barrier that waits for the next heartbeat round, which starts after the request.
    fn add_barrier(&mut self, id: ReadId, origin: Option<Member>) {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let barrier = Barrier {
            id,
            origin,
            index: commit.max(leader.first_index),
            round: leader.round() + 1,
        };
        leader.barriers.push_back(barrier);
        leader.round_due = true;
    }

    /// Confirms the barriers whose heartbeat round a quorum answered.
    pub(super) fn confirm_barriers(&mut self) {
        let answered = self.answered_round();
        while let Role::Leader(leader) = &mut self.role
            && let Some(barrier) = leader
                .barriers
                .pop_front_if(|barrier| barrier.round <= answered)
        {
            let Barrier {
                id, origin, index, ..
            } = barrier;
            match origin {
                Some(from) => self.send(
                    &from,
                    Body::ReadReply {
                        id,
                        index: Some(index),
                    },
                ),
                None => self.local_barriers.waiting.push((index, id)),
            }
        }
        self.pass_barriers();
    }

    /// Fails the barriers that wait for a heartbeat round when this node stops leading.
    pub(super) fn fail_barriers(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for barrier in std::mem::take(&mut leader.barriers) {
            match barrier.origin {
                Some(from) => self.send(
                    &from,
                    Body::ReadReply {
                        id: barrier.id,
                        index: None,
                    },
                ),
                None => self.end_barrier(barrier.id, false),
            }
        }
    }

    /// Passes the barriers whose entry is applied.
    pub(super) fn pass_barriers(&mut self) {
        if self.restoring.is_some() {
            return;
        }
        let applied = self.applied;
        let passed: Vec<ReadId> = self
            .local_barriers
            .waiting
            .extract_if(.., |(index, _)| *index <= applied)
            .map(|(_, id)| id)
            .collect();
        for id in passed {
            self.end_barrier(id, true);
        }
    }

    pub(super) fn expire_barriers(&mut self) {
        let now = self.now;
        let expired: Vec<ReadId> = self
            .local_barriers
            .requested
            .iter()
            .filter(|(_, deadline)| now >= **deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.local_barriers.requested.swap_remove(&id);
            self.end_barrier(id, false);
        }
    }

    fn end_barrier(&mut self, id: ReadId, passed: bool) {
        self.outbox.push(Action::ReadBarrier { id, passed });
    }
}
