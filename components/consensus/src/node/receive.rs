//! Dispatch of received messages.

use std::time::Duration;

use crate::{Body, Message};

use super::Node;

impl Node {
    /// Handles a message; messages for another group or data folder are dropped.
    pub fn receive(&mut self, now: Duration, message: Message) {
        self.advance(now);
        if self.stalled || !message.is_valid() {
            return;
        }
        if !self.is_for_this_node(&message) {
            self.learn_from_stray(&message);
            return;
        }
        match &message.body {
            Body::FoundingQuery => self.on_founding_query(&message),
            Body::FoundingReply {
                asker_disk,
                founded,
                spare,
            } => self.on_founding_reply(&message.from, *asker_disk, *founded, *spare),
            Body::Join => self.on_join(&message),
            _ if !self.accept_group(&message) => {}
            Body::PreVote { last } => self.on_pre_vote(&message, *last),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(&message, *granted),
            Body::Vote { last, transfer } => self.on_vote(&message, *last, *transfer),
            Body::Read { id } => self.on_read(&message.from, *id),
            Body::ReadReply { id, index } => self.on_read_reply(*id, *index),
            _ => self.receive_in_term(message),
        }
    }

    fn receive_in_term(&mut self, message: Message) {
        if message.term < self.hard_state.term {
            self.reject_stale(&message);
            return;
        }
        if message.term > self.hard_state.term {
            self.enter_term(message.term);
        }
        let Message { from, body, .. } = message;
        match body {
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::Append {
                prev,
                entries,
                commit,
                round,
            } => {
                self.on_leader_contact(&from);
                self.on_append(&from, prev, entries, commit, round);
            }
            Body::Chunk { chunk, round } => {
                self.on_leader_contact(&from);
                self.on_chunk(&from, chunk, round);
            }
            Body::Accepted { matched, round } => self.on_accepted(&from, matched, round),
            Body::Rejected { prev, hint, round } => self.on_rejected(&from, prev, hint, round),
            Body::Received {
                index,
                offset,
                round,
            } => self.on_chunk_received(&from, index, offset, round),
            Body::TimeoutNow => self.on_timeout_now(&from),
            _ => {}
        }
    }

    /// Returns whether a message is addressed to this process and its data folder.
    fn is_for_this_node(&self, message: &Message) -> bool {
        let is_own_disk = match message.to_disk {
            Some(disk) => disk == self.me.disk || !self.guards.disk_identity,
            None => matches!(message.body, Body::FoundingQuery | Body::Join),
        };
        message.to == self.me.node && is_own_disk && message.from != self.me
    }

    /// Returns whether sender and receiver are in the same group. A node with an empty data folder
    /// joins the group that a vote request, an append or a snapshot chunk names.
    fn accept_group(&mut self, message: &Message) -> bool {
        match (self.hard_state.group, message.group) {
            (Some(own), Some(other)) => own == other,
            (None, Some(other)) => {
                let can_join = matches!(
                    message.body,
                    Body::PreVote { .. }
                        | Body::Vote { .. }
                        | Body::Append { .. }
                        | Body::Chunk { .. }
                );
                if can_join {
                    self.hard_state.group = Some(other);
                    self.record_hard_state();
                }
                can_join
            }
            _ => false,
        }
    }

    /// Replies to a former leader with the current term, upon which it steps down.
    fn reject_stale(&mut self, message: &Message) {
        let body = match &message.body {
            Body::Append { prev, round, .. } => Body::Rejected {
                prev: prev.index,
                hint: 0,
                round: *round,
            },
            Body::Chunk { chunk, round } => Body::Received {
                index: chunk.meta.position.index,
                offset: 0,
                round: *round,
            },
            _ => return,
        };
        let reply = self.message(&message.from, body);
        self.outbox
            .send_after(self.outbox.hard_state_write(), reply);
    }
}
