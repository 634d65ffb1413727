//! Membership changes, one at a time, and requests to join the group.

use std::time::Duration;

use indexmap::IndexSet;

use crate::ids::{Index, NodeId};
use crate::{Body, Event, Member, Membership, Message, Payload, Refusal};

use super::Node;
use super::role::Role;

/// Largest number of learned processes that are kept.
const MAX_LEARNED_PEERS: usize = 64;

impl Node {
    /// Proposes a membership, which takes effect at once on this node.
    ///
    /// # Errors
    /// Refuses if this node is not the leader, has not committed an entry of its term, or if a
    /// change or a leadership transfer is in progress.
    pub fn change_membership(
        &mut self,
        now: Duration,
        membership: Membership,
    ) -> Result<(), Refusal> {
        self.advance(now);
        match &self.role {
            Role::Leader(_) if self.may_change() => {
                self.append(Payload::Members(membership));
                self.track_members();
                self.advance_commit();
                Ok(())
            }
            Role::Leader(_) => Err(Refusal::ChangeInProgress),
            _ => Err(Refusal::NotLeader(self.leader.clone())),
        }
    }

    /// Returns whether this node may begin a membership change: the last change and an entry of the
    /// leader's own term are committed, and no leadership transfer is in progress.
    pub(super) fn may_change(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let (index, membership) = self.log.membership();
        let is_committed = index <= self.commit && !membership.is_swapping();
        let is_ready = is_committed || !self.guards.single_change;
        let has_committed_own_term =
            self.commit >= leader.first_index || !self.guards.own_term_before_change;
        is_ready && has_committed_own_term && leader.transfer.is_none()
    }

    /// Ends a swap of voters once its start is committed; returns the index of the entry that ends
    /// it.
    pub(super) fn end_swap(&mut self) -> Option<Index> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let (index, membership) = self.log.membership();
        let is_due = membership.is_swapping() && index.max(leader.first_index) <= self.commit;
        if !is_due {
            return None;
        }
        let next = membership.with_swap_ended();
        let position = self.append(Payload::Members(next));
        self.track_members();
        Some(position.index)
    }

    /// Adds the sender as a learner if it is not a member.
    pub(super) fn on_join(&mut self, message: &Message) {
        let is_foreign = message.group.is_some() && message.group != self.hard_state.group;
        let member = &message.from;
        if is_foreign || self.membership().contains(member) || !self.may_change() {
            return;
        }
        let next = self.membership().with_learner(member);
        if self.change_membership(self.now, next).is_ok() {
            self.report(Event::Joined(member.clone()));
        }
    }

    /// Learns of processes that may belong to the group, which this node asks to be added while it is
    /// no member. Those of the settings alone decide whether a group is founded.
    pub fn learn_peers(&mut self, peers: Vec<NodeId>) {
        for peer in peers {
            self.learn_peer(peer);
        }
    }

    fn learn_peer(&mut self, peer: NodeId) {
        // Inserted at the end, so that the oldest one is dropped.
        self.learned_peers.shift_remove(&peer);
        self.learned_peers.insert(peer);
        if self.learned_peers.len() > MAX_LEARNED_PEERS {
            self.learned_peers.shift_remove_index(0);
        }
    }

    /// Learns that the sender of a message for the former data folder of this process belongs to the
    /// group in which that was a member. It may be the leader, which the settings need not name.
    pub(super) fn learn_from_stray(&mut self, message: &Message) {
        let is_for_former_folder = message.to == self.me.node && message.to_disk.is_some();
        let is_foreign = self.hard_state.group.is_some() && message.group != self.hard_state.group;
        if is_for_former_folder && message.group.is_some() && !is_foreign {
            self.learn_peer(message.from.node.clone());
        }
    }

    /// Asks all processes that are known to add this node to their group. A node without a group also
    /// asks those in its settings whether they belong to one.
    pub(super) fn poll_peers(&mut self) {
        self.poll_at = self.now + self.settings.election_timeout;
        let is_empty = self.hard_state.group.is_none();
        if is_empty {
            self.found_group();
        }
        let known = self.known_processes();
        self.report_asked(&known);
        for node in known {
            self.send_to_process(&node, Body::Join);
        }
        if is_empty {
            for node in self.settings.peers.clone() {
                self.send_to_process(&node, Body::FoundingQuery);
            }
        }
    }

    /// Returns the other processes of the settings, of the group as far as this node knows it, and
    /// those that it learned of.
    fn known_processes(&self) -> Vec<NodeId> {
        let members = self.membership().members().map(|member| &member.node);
        let known = self.settings.peers.iter().chain(members);
        let known: IndexSet<&NodeId> = known.chain(&self.learned_peers).collect();
        let others = known.into_iter().filter(|node| **node != self.me.node);
        others.cloned().collect()
    }

    /// Sends a message to a process, whatever its data folder.
    fn send_to_process(&mut self, node: &NodeId, body: Body) {
        let to = Member {
            node: node.clone(),
            disk: 0,
        };
        let mut message = self.message(&to, body);
        message.to_disk = None;
        self.outbox.send(message);
    }

    /// Reports which processes this node asks to be added, if it is no member and asks others than
    /// before.
    fn report_asked(&mut self, peers: &[NodeId]) {
        let is_member = self.membership().contains(&self.me);
        if !is_member && self.asked_peers != peers {
            self.asked_peers = peers.to_vec();
            self.report(Event::AsksToJoin(peers.to_vec()));
        }
    }
}
