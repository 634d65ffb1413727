//! Commit and application of entries, and the outcomes of proposals.

use crate::ids::Index;
use crate::{Action, Entry, Outcome, Position, SnapshotMeta};

use super::Node;
use super::role::Role;

impl Node {
    /// Advances the commit index up to the last entry that a quorum has synced, if it is of the
    /// leader's own term: an entry of an earlier term may still be replaced (Raft, section 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let index = self
            .membership()
            .quorum_value(|voter| match leader.progress.get(voter) {
                Some(progress) => progress.matched,
                None if *voter == self.me => self.durable,
                None => 0,
            });
        let is_own_term =
            self.log.term(index) == Some(self.hard_state.term) || !self.guards.commit_own_term;
        if is_own_term && index > self.commit {
            self.commit_to(index);
            self.after_commit();
        }
    }

    /// Marks the log as committed up to an index, and applies it.
    pub(super) fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last().index));
        self.apply();
    }

    pub(super) fn apply(&mut self) {
        if self.restoring.is_some() || self.applied >= self.commit {
            return;
        }
        let entries: Vec<Entry> = (self.applied + 1..=self.commit)
            .filter_map(|index| self.log.get(index).cloned())
            .collect();
        let bytes: usize = entries.iter().map(Entry::size).sum();
        self.applied_bytes += bytes;
        if let Role::Leader(leader) = &mut self.role {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(bytes);
        }
        self.applied = self.commit;
        let positions: Vec<Position> = entries.iter().map(Entry::position).collect();
        self.outbox.push(Action::Apply(entries));
        positions
            .into_iter()
            .for_each(|position| self.settle_proposals_at(position));
        self.pass_barriers();
        self.take_snapshot_if_due();
    }

    /// Removes the committed proposal, whose outcome `Action::Apply` reports, and settles the other
    /// proposals at its index as lost.
    fn settle_proposals_at(&mut self, committed: Position) {
        let Position { index, term } = committed;
        let same_index: Vec<Position> = self
            .proposals
            .range((index, 0)..=(index, u64::MAX))
            .map(|((index, term), _)| Position {
                index: *index,
                term: *term,
            })
            .collect();
        for position in same_index {
            match position.term == term {
                true => drop(self.proposals.remove(&(position.index, position.term))),
                false => self.settle_proposal(position, Outcome::Lost),
            }
        }
    }

    /// Settles the outcome of the proposals up to `index`, which a received snapshot covers, as
    /// unknown, because the snapshot does not show it.
    pub(super) fn settle_proposals_upto(&mut self, index: Index) {
        let rest = self.proposals.split_off(&(index + 1, 0));
        let covered = std::mem::replace(&mut self.proposals, rest);
        for ((index, term), _) in covered {
            self.settle_proposal(Position { index, term }, Outcome::Unknown);
        }
    }

    /// Settles the proposals whose outcome did not become known in time.
    pub(super) fn settle_overdue_proposals(&mut self) {
        let now = self.now;
        let overdue: Vec<Position> = self
            .proposals
            .iter()
            .filter(|(_, deadline)| deadline.is_some_and(|deadline| now >= deadline))
            .map(|((index, term), _)| Position {
                index: *index,
                term: *term,
            })
            .collect();
        for position in overdue {
            self.settle_proposal(position, Outcome::Unknown);
        }
    }

    pub(super) fn settle_proposal(&mut self, position: Position, outcome: Outcome) {
        self.proposals.remove(&(position.index, position.term));
        self.outbox.push(Action::Settle(position, outcome));
    }

    fn take_snapshot_if_due(&mut self) {
        let snapshot_index = self
            .log
            .snapshot
            .as_ref()
            .map_or(0, |meta| meta.position.index);
        let is_due = self.applied_bytes >= self.settings.snapshot_bytes
            || self.applied - snapshot_index >= self.settings.snapshot_entries;
        let Some(term) = self.log.term(self.applied) else {
            return;
        };
        if is_due && !self.snapshotting {
            self.snapshotting = true;
            self.applied_bytes = 0;
            let position = Position {
                index: self.applied,
                term,
            };
            let membership = self.log.membership_at(self.applied).clone();
            // The entries have to be stored before the snapshot that covers them.
            self.outbox.flush(self.log.last().index);
            self.outbox.push(Action::Snapshot(SnapshotMeta {
                position,
                membership,
            }));
        }
    }
}
