//! Replication of entries to the members.

use crate::ids::{Index, Round};
use crate::progress::{Mode, Progress};
use crate::{Body, Member, Position};

use super::Node;
use super::role::Role;

impl Node {
    /// Starts a heartbeat round and repairs when they are due.
    pub(super) fn tick_leader(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if self.now >= leader.heartbeat_at {
            self.expire_transfer();
            self.begin_round();
            self.repair_membership();
        }
    }

    /// Sends entries to all members that lack some, up to the limit of messages in flight.
    pub(super) fn replicate_all(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members: Vec<Member> = leader.progress.keys().cloned().collect();
        for member in members {
            while self.replicate(&member) {}
        }
    }

    /// Sends one message with entries, or starts to send a snapshot; returns whether there may be
    /// more to send.
    fn replicate(&mut self, member: &Member) -> bool {
        let last = self.log.last().index;
        let max_inflight = self.settings.max_inflight;
        let Some(progress) = self.progress_of(member) else {
            return false;
        };
        let next = progress.next;
        match &progress.mode {
            Mode::Probe { sent: true } | Mode::Snapshot { .. } => false,
            Mode::Pipeline(in_flight) if in_flight.len() >= max_inflight => false,
            _ if next > last => false,
            _ => self.send_entries(member, next),
        }
    }

    fn send_entries(&mut self, member: &Member, next: Index) -> bool {
        let prev = next - 1;
        let Some(term) = self.log.term(prev) else {
            self.begin_snapshot(member);
            return false;
        };
        let entries = self.log.slice(next, self.settings.max_append_bytes);
        let end = prev + entries.len() as Index;
        if let Some(progress) = self.progress_of(member) {
            match &mut progress.mode {
                Mode::Probe { sent } => *sent = true,
                Mode::Pipeline(in_flight) => {
                    in_flight.push_back(end);
                    progress.next = end + 1;
                }
                Mode::Snapshot { .. } => {}
            }
        }
        let body = Body::Append {
            prev: Position { index: prev, term },
            entries,
            commit: self.commit,
            round: self.round(),
        };
        self.send(member, body);
        true
    }

    /// Sends a heartbeat, whose answer also shows whether earlier entries were lost.
    pub(super) fn send_heartbeat(&mut self, member: &Member) {
        let Some(progress) = self.progress_of(member) else {
            return;
        };
        let prev = match &mut progress.mode {
            Mode::Snapshot { .. } => 0,
            Mode::Probe { sent } => {
                *sent = false;
                progress.next - 1
            }
            Mode::Pipeline(_) => progress.next - 1,
        };
        let position = self
            .log
            .term(prev)
            .map(|term| Position { index: prev, term });
        if position.is_none() && prev > 0 {
            // The preceding entry was compacted, so entries in flight can't be sent again if they
            // are lost.
            self.begin_snapshot(member);
        }
        // Every log contains index 0, so the heartbeat is not rejected.
        let prev = position.unwrap_or_default();
        let body = Body::Append {
            prev,
            entries: Vec::new(),
            commit: self.commit,
            round: self.round(),
        };
        self.send(member, body);
        self.retry_chunk(member);
    }

    pub(super) fn on_accepted(&mut self, from: &Member, matched: Index, round: Round) {
        let matched = matched.min(self.log.last().index);
        if let Some(progress) = self.progress_of(from) {
            progress.accept(matched);
        }
        self.on_member_contact(from, round);
        self.advance_commit();
        self.after_progress(from);
    }

    pub(super) fn on_rejected(&mut self, from: &Member, prev: Index, hint: Index, round: Round) {
        if let Some(progress) = self.progress_of(from) {
            progress.reject(prev, hint);
        }
        self.on_member_contact(from, round);
    }

    pub(super) fn progress_of(&mut self, member: &Member) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leader) => leader.progress.get_mut(member),
            _ => None,
        }
    }

    pub(super) fn round(&self) -> Round {
        match &self.role {
            Role::Leader(leader) => leader.round(),
            _ => 0,
        }
    }
}
