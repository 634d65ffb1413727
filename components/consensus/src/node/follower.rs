//! Handling of entries from the leader.

use crate::ids::{Index, Round};
use crate::{Body, Entry, Member, Outcome, Position, Record};

use super::Node;

impl Node {
    pub(super) fn on_append(
        &mut self,
        from: &Member,
        prev: Position,
        entries: Vec<Entry>,
        commit: Index,
        round: Round,
    ) {
        let matches_log = prev.index <= self.log.base().index || self.log.holds(prev);
        if !matches_log {
            self.reject(from, prev, round);
            return;
        }
        if self.conflicts_with_committed(&entries) {
            return;
        }
        let end = prev.index + entries.len() as Index;
        let is_heartbeat = entries.is_empty();
        self.append_entries(entries);
        // A heartbeat is answered without waiting for pending writes, as the leader would otherwise
        // lose its lease while the disk is slow. Without `sync_before_answer`, no reply waits, and
        // all entries up to `end` are reported as matched.
        let (matched, after) = match is_heartbeat && self.guards.sync_before_answer {
            true => (end.min(self.durable), self.outbox.hard_state_write()),
            false => (end, self.outbox.latest_write()),
        };
        self.commit_to(commit.min(end));
        let reply = self.message(from, Body::Accepted { matched, round });
        self.outbox.send_after(after, reply);
    }

    fn reject(&mut self, from: &Member, prev: Position, round: Round) {
        let last = self.log.last().index;
        let hint = match prev.index > last {
            true => last,
            false => self.log.previous_term_end(prev.index).max(self.commit),
        };
        let body = Body::Rejected {
            prev: prev.index,
            hint,
            round,
        };
        let reply = self.message(from, body);
        self.outbox
            .send_after(self.outbox.hard_state_write(), reply);
    }

    /// Returns whether entries conflict with committed ones, which a correct leader never sends.
    fn conflicts_with_committed(&self, entries: &[Entry]) -> bool {
        let mut committed = entries.iter().filter(|entry| entry.index <= self.commit);
        committed.any(|entry| {
            let term = self.log.term(entry.index);
            term.is_some_and(|term| term != entry.term)
        })
    }

    fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let index = entry.index;
            match self.log.term(index) {
                _ if index <= self.log.base().index => {}
                Some(term) if term == entry.term => {}
                Some(_) => {
                    self.truncate_log(index);
                    self.store_entry(entry);
                }
                None => self.store_entry(entry),
            }
        }
    }

    fn store_entry(&mut self, entry: Entry) {
        self.outbox.record(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Drops entries that conflict with those of the current leader.
    fn truncate_log(&mut self, from: Index) {
        self.log.truncate(from);
        self.durable = self.durable.min(from - 1);
        self.outbox.truncate(from - 1);
        if !self.guards.report_lost_after_commit {
            let removed = self.proposals.split_off(&(from, 0));
            for ((index, term), _) in removed {
                self.settle_proposal(Position { index, term }, Outcome::Lost);
            }
        }
    }
}
