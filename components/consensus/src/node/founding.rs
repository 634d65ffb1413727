//! Founding (bootstrap) of a group by processes whose data folders are all empty.
//!
//! Of the processes that are not spares, only the one whose name sorts first founds the group, and
//! only after every other process answered that its data folder is empty. If the disk of the
//! founder is emptied later, it asks again under a new identity, learns that the others belong to
//! a group, and founds no second one.

use indexmap::IndexMap;

use crate::ids::{DiskId, NodeId};
use crate::{Body, Entry, Event, Member, Membership, Message, Payload, Record};

use super::Node;

/// Answers of the other processes to [`Body::FoundingQuery`].
#[derive(Debug, Default)]
pub(super) struct Founding {
    answers: IndexMap<NodeId, Answer>,
}

/// Answer of one process.
#[derive(Debug)]
struct Answer {
    member: Member,
    founded: bool,
    spare: bool,
}

impl Node {
    pub(super) fn on_founding_query(&mut self, message: &Message) {
        let body = Body::FoundingReply {
            asker_disk: message.from.disk,
            founded: self.hard_state.group.is_some(),
            spare: self.settings.spare,
        };
        self.send(&message.from, body);
    }

    pub(super) fn on_founding_reply(
        &mut self,
        from: &Member,
        asker_disk: DiskId,
        founded: bool,
        spare: bool,
    ) {
        if asker_disk != self.me.disk || self.hard_state.group.is_some() {
            return;
        }
        let answer = Answer {
            member: from.clone(),
            founded,
            spare,
        };
        self.founding.answers.insert(from.node.clone(), answer);
        self.found_group();
    }

    /// Founds the group if all data folders are empty and this node sorts first.
    pub(super) fn found_group(&mut self) {
        if self.settings.spare || !self.all_peers_are_empty() {
            return;
        }
        let answers = self.founding.answers.values();
        let mut voters: Vec<Member> = answers
            .filter(|answer| !answer.spare)
            .map(|answer| answer.member.clone())
            .chain([self.me.clone()])
            .collect();
        voters.sort();
        if voters.first() != Some(&self.me) {
            return;
        }
        self.report(Event::Founded(voters.len()));
        self.hard_state.group = Some(self.me.disk);
        self.hard_state.term = 1;
        self.hard_state.vote = Some(self.me.clone());
        self.record_hard_state();
        let entry = Entry {
            index: 1,
            term: 1,
            payload: Payload::Members(Membership::new(voters)),
        };
        self.outbox.record(Record::Entry(entry.clone()));
        self.log.push(entry);
        self.election_at = self.now;
        // No leader was elected before the founding, so this node has not promised to withhold its
        // vote from other nodes.
        self.promised_until = self.now;
    }

    fn all_peers_are_empty(&self) -> bool {
        let mut others = self
            .settings
            .peers
            .iter()
            .filter(|peer| **peer != self.me.node);
        others.all(|peer| {
            self.founding
                .answers
                .get(peer)
                .is_some_and(|answer| !answer.founded)
        })
    }
}
