//! Processes that know a few others by their settings, and connect to those that they are told of.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use consensus::ids::NodeId;
use consensus::{Member, Message, Settings};
use rand::Rng;

use crate::disk::Disk;

use super::World;

/// Time between two messages of a process on who is in the group.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for another leader.
const LEAD_TIMEOUT: Duration = Duration::from_secs(60);

impl World {
    /// Builds a group in which all processes know the founders only, and connect to the others once
    /// they are told of them.
    pub(crate) fn seeded(settings: Settings, founders: usize, spares: usize, seed: u64) -> Self {
        let mut world = World::new(settings, founders, spares, seed);
        world.settings.peers.truncate(founders);
        world.told = Some(BTreeMap::new());
        let names: Vec<NodeId> = world.servers.keys().cloned().collect();
        for name in names {
            world.kill(&name);
            world.start(&name);
        }
        world
    }

    /// Ends a process for good, and starts another one with an empty disk and a new name. Returns the
    /// name.
    pub(crate) fn replace(&mut self, name: &str) -> NodeId {
        self.kill(name);
        let last = self.servers.keys().next_back().expect("a process");
        let next = char::from(last.as_bytes()[0] + 1);
        self.servers.remove(name);
        let me = self.member(NodeId::from(next.to_string()));
        let joined = me.node.clone();
        self.spares.insert(joined.clone());
        self.add(me, Disk::default());
        joined
    }

    /// Returns whether each voter, by the leader's membership, still has the disk it joined with.
    pub(crate) fn have_voters_disks(&self) -> bool {
        let has_disk = |voter: &Member| {
            let server = self.servers.get(&voter.node);
            server.is_some_and(|server| server.me == *voter)
        };
        let leader = self.leader();
        leader.is_some_and(|leader| self.node(&leader).membership().all_voters().all(has_disk))
    }

    /// Returns a process at random.
    pub(crate) fn draw_process(&mut self) -> NodeId {
        let index = self.rng.next_u64() as usize % self.servers.len();
        self.servers.keys().nth(index).expect("a process").clone()
    }

    /// Advances the time until a process leads that the settings don't name.
    pub(crate) fn elect_unlisted(&mut self) {
        let end = self.now + LEAD_TIMEOUT;
        loop {
            let leader = self.elect();
            if !self.settings.peers.contains(&leader) {
                return;
            }
            assert!(self.now < end, "no other leader: {}", self.summary());
            self.transfer();
            self.run(self.settings.election_timeout);
        }
    }

    /// Returns whether one of the ends of a message has opened a connection to the other one.
    pub(super) fn is_connected(&self, message: &Message) -> bool {
        let (from, to) = (&message.from.node, &message.to);
        self.told.is_none() || self.dials(from).contains(to) || self.dials(to).contains(from)
    }

    /// Returns the processes to which a process opens connections.
    fn dials(&self, name: &NodeId) -> BTreeSet<NodeId> {
        let peers = self.settings.peers.iter().cloned();
        let told = self.told.iter().filter_map(|told| told.get(name)).flatten();
        peers
            .chain(self.group_of(name))
            .chain(told.cloned())
            .collect()
    }

    /// Returns the members of the group that a process belongs to, or that it was told of.
    fn group_of(&self, name: &NodeId) -> Vec<NodeId> {
        let node = self
            .servers
            .get(name)
            .and_then(|server| server.node.as_ref());
        let Some(node) = node else {
            return Vec::new();
        };
        let told = self.told.as_ref().and_then(|told| told.get(name));
        match node.group() {
            Some(_) => node
                .membership()
                .members()
                .map(|member| member.node.clone())
                .collect(),
            None => told.cloned().unwrap_or_default(),
        }
    }

    /// Lets each process tell its group to those that have opened a connection to it.
    pub(super) fn tell_groups(&mut self) {
        if self.told.is_none() || self.now < self.next_tell {
            return;
        }
        self.next_tell = self.now + TELL_INTERVAL;
        let names: Vec<NodeId> = self.servers.keys().cloned().collect();
        for receiver in &names {
            for teller in self.dials(receiver) {
                let group = self.group_of(&teller);
                let is_cut = self.cuts.contains(&(teller, receiver.clone()));
                if !group.is_empty() && !is_cut {
                    self.tell(receiver, group);
                }
            }
        }
    }

    fn tell(&mut self, receiver: &NodeId, group: Vec<NodeId>) {
        let server = self.servers.get_mut(receiver);
        if let Some(node) = server.and_then(|server| server.node.as_mut()) {
            node.learn_peers(group.clone());
            let told = self.told.get_or_insert_default();
            told.insert(receiver.clone(), group);
        }
    }
}
