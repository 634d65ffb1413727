//! A simulated group: network, clocks, faults, and checks after every step.

mod checks;
mod connections;
mod faults;
mod requests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use consensus::ids::{NodeId, Term};
use consensus::{
    Action, Body, Entry, Event, InitialState, Member, Message, Node, Outcome, Settings,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::disk::Disk;
use crate::server::{Clock, Server, State};

/// Time between two steps.
pub(crate) const STEP: Duration = Duration::from_millis(5);
const GROUP: u64 = 99;

/// A simulated group and its environment.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) settings: Settings,
    pub(crate) servers: BTreeMap<NodeId, Server>,
    pub(crate) now: Duration,
    pub(crate) events: Vec<(NodeId, Event)>,
    /// Processes that start as spares.
    pub(crate) spares: BTreeSet<NodeId>,
    /// What each process was told of the group; `None` if all processes know each other.
    told: Option<BTreeMap<NodeId, Vec<NodeId>>>,
    next_tell: Duration,
    /// Directions, from sender to receiver, in which messages are lost.
    pub(crate) cuts: BTreeSet<(NodeId, NodeId)>,
    /// Processes to which messages with entries are lost; heartbeats are delivered.
    pub(crate) entries_blocked_to: BTreeSet<NodeId>,
    /// Index from which entries are not delivered to any process.
    pub(crate) entries_blocked_from: Option<u64>,
    pub(crate) loss_percent: u64,
    pub(crate) duplicate_percent: u64,
    pub(crate) max_delay_ms: u64,
    has_jumped: bool,
    /// Violations that the checks found, in order.
    pub(crate) violations: Vec<String>,
    /// Messages in flight with their time of delivery; tests add their own.
    pub(crate) messages: Vec<(Duration, Message)>,
    /// Committed entries by index, each with the checksum of the state after it.
    committed: BTreeMap<u64, (Entry, u64)>,
    /// Leader of each term.
    leaders: BTreeMap<Term, Member>,
    /// Proposals that were reported as lost.
    lost: BTreeSet<(u64, Term)>,
    /// Last committed entry when each spare began to replace a voter.
    repairs: BTreeMap<Member, u64>,
    /// Last proposal that the proposing node applied.
    acknowledged: u64,
    next_command: u64,
    next_disk: u64,
    rng: StdRng,
}

impl World {
    /// Builds a group of voters `a`, `b`, ... and spares after them.
    pub(crate) fn new(settings: Settings, voters: usize, spares: usize, seed: u64) -> Self {
        let names: Vec<NodeId> = (0..voters + spares)
            .map(|number| NodeId::from(char::from(b'a' + number as u8).to_string()))
            .collect();
        let mut world = World {
            settings: Settings {
                peers: names.clone(),
                ..settings
            },
            servers: BTreeMap::new(),
            now: Duration::ZERO,
            events: Vec::new(),
            spares: names[voters..].iter().cloned().collect(),
            told: None,
            next_tell: Duration::ZERO,
            cuts: BTreeSet::new(),
            entries_blocked_to: BTreeSet::new(),
            entries_blocked_from: None,
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 10,
            has_jumped: false,
            violations: Vec::new(),
            messages: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            lost: BTreeSet::new(),
            repairs: BTreeMap::new(),
            acknowledged: 0,
            next_command: 1,
            next_disk: 1,
            rng: StdRng::seed_from_u64(seed),
        };
        let members: Vec<Member> = names.into_iter().map(|node| world.member(node)).collect();
        let stored = InitialState::founding(GROUP, members[..voters].to_vec());
        for (number, me) in members.into_iter().enumerate() {
            let disk = match number < voters {
                true => Disk::with(stored.clone()),
                false => Disk::default(),
            };
            world.add(me, disk);
        }
        world
    }

    /// Builds processes whose disks are empty, so that they have to found a group.
    pub(crate) fn unfounded(settings: Settings, voters: usize, spares: usize, seed: u64) -> Self {
        let mut world = World::new(settings, voters, spares, seed);
        let names: Vec<NodeId> = world.servers.keys().cloned().collect();
        for name in names {
            world.wipe(&name);
            world.start(&name);
        }
        world
    }

    fn member(&mut self, node: NodeId) -> Member {
        let disk = self.next_disk;
        self.next_disk += 1;
        Member { node, disk }
    }

    fn add(&mut self, me: Member, disk: Disk) {
        const SPREAD_PERMILLE: u64 = 48;
        let rate = 1_000 - SPREAD_PERMILLE / 2 + self.rng.next_u64() % (SPREAD_PERMILLE + 1);
        let clock = Clock {
            rate_permille: rate as u32,
            offset: Duration::from_millis(100_000 + self.rng.next_u64() % 100_000),
        };
        let node = me.node.clone();
        self.servers.insert(
            node.clone(),
            Server {
                me,
                node: None,
                disk,
                clock,
                frozen_until: Duration::ZERO,
                is_disk_full: false,
                is_disk_hung: false,
                state: State::default(),
                leads_until: None,
                proposals: BTreeMap::new(),
                reads: BTreeMap::new(),
            },
        );
        self.start(&node);
    }

    /// Starts a process from its disk.
    pub(crate) fn start(&mut self, name: &str) {
        let seed = self.rng.next_u64();
        let (settings, now) = (self.settings.clone(), self.now);
        let server = self.servers.get_mut(name).unwrap();
        let stored = server.disk.open();
        server.state = match server.disk.snapshots.last() {
            Some((_, data)) => State::load(data),
            None => State::default(),
        };
        let spare = self.spares.contains(name);
        let settings = Settings { spare, ..settings };
        let local = server.clock.read(now);
        server.node = Some(Node::new(settings, server.me.clone(), stored, local, seed));
        server.proposals.clear();
        server.reads.clear();
        if let Some(told) = &mut self.told {
            told.remove(name);
        }
    }

    /// Advances the time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the time until a condition holds, at most by `time`; returns whether it holds.
    pub(crate) fn run_until(&mut self, time: Duration, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end && !holds(self) {
            self.step();
        }
        holds(self)
    }

    /// Advances the time by one step.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.tell_groups();
        self.deliver();
        let names: Vec<NodeId> = self.servers.keys().cloned().collect();
        for name in names {
            self.run_server(&name);
        }
        self.check_leases();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, message)| message)
            .collect();
        for message in due {
            let Some(server) = self.servers.get_mut(&message.to) else {
                continue;
            };
            if server.frozen_until > now {
                // The socket buffers messages while the process is frozen.
                self.messages.push((server.frozen_until, message));
                continue;
            }
            let local = server.clock.read(now);
            let name = server.me.node.clone();
            if let Some(node) = server.node.as_mut() {
                node.receive(local, message);
                self.perform_actions(&name);
            }
        }
    }

    fn run_server(&mut self, name: &str) {
        let now = self.now;
        let draw = self.rng.next_u64();
        let server = self.servers.get_mut(name).unwrap();
        if server.frozen_until > now || server.node.is_none() {
            return;
        }
        let local = server.clock.read(now);
        let node = server.node.as_mut().unwrap();
        node.tick(local);
        if server.is_disk_full && !server.disk.unsynced.is_empty() {
            node.stall(local);
        } else if !server.is_disk_hung
            && draw.is_multiple_of(2)
            && let Some(sequence) = server.disk.sync()
        {
            let mut last = sequence;
            while draw.is_multiple_of(3)
                && let Some(next) = server.disk.sync()
            {
                last = next;
            }
            node.on_write_synced(local, last);
        }
        self.perform_actions(name);
    }

    /// Performs the actions of a node until it returns no more.
    fn perform_actions(&mut self, name: &str) {
        loop {
            let server = self.servers.get_mut(name).unwrap();
            let Some(node) = server.node.as_mut() else {
                return;
            };
            let actions = node.actions();
            server.leads_until = node.leads_until();
            if node.is_leader() {
                let (term, me) = (node.term(), node.me().clone());
                self.check_leader(term, me);
            }
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform(name, action);
            }
        }
    }

    fn perform(&mut self, name: &str, action: Action) {
        let now = self.now;
        let server = self.servers.get_mut(name).unwrap();
        let local = server.clock.read(now);
        match action {
            Action::Send(message) => self.enqueue(message),
            Action::Write(write) => server.disk.unsynced.push_back(write),
            Action::Apply(entries) => {
                for entry in entries {
                    self.apply(name, entry);
                }
            }
            Action::Restore(meta) => {
                let (stored, data) = server.disk.snapshots.last().unwrap();
                assert!(stored.position.index >= meta.position.index);
                server.state = State::load(data);
            }
            Action::Snapshot(meta) => {
                if server.state.index != meta.position.index {
                    let violation = format!(
                        "{name} applied entries up to {} at snapshot {meta:?}",
                        server.state.index
                    );
                    self.violations.push(violation);
                    return;
                }
                let data = server.state.save();
                // Pending records have to be written before the snapshot that covers them.
                while let Some(sequence) = server.disk.sync() {
                    server
                        .node
                        .as_mut()
                        .unwrap()
                        .on_write_synced(local, sequence);
                }
                server.disk.save(meta.clone(), data);
                server
                    .node
                    .as_mut()
                    .unwrap()
                    .on_snapshot_saved(local, Some(meta));
            }
            Action::ReadChunk {
                to,
                index,
                offset,
                length,
            } => {
                let found = server
                    .disk
                    .snapshots
                    .iter()
                    .find(|(meta, _)| meta.position.index == index);
                let part = found.map(|(_, data)| {
                    let start = data.len().min(offset as usize);
                    let end = data.len().min(start + length);
                    (data.slice(start..end), end == data.len())
                });
                server
                    .node
                    .as_mut()
                    .unwrap()
                    .on_chunk_read(local, &to, index, offset, part);
            }
            Action::Settle(position, outcome) => {
                server
                    .proposals
                    .insert((position.index, position.term), Some(outcome));
                if outcome == Outcome::Lost {
                    self.check_lost(position);
                }
            }
            Action::ReadBarrier { id, passed } => self.check_read(name, id, passed),
            Action::Log(event) => self.record_event(name, event),
        }
    }

    fn enqueue(&mut self, message: Message) {
        let is_cut = self
            .cuts
            .contains(&(message.from.node.clone(), message.to.clone()));
        let draw = self.rng.next_u64();
        let is_lost = is_cut || self.is_blocked(&message) || !self.is_connected(&message);
        if is_lost || draw % 100 < self.loss_percent {
            return;
        }
        let copies = if (draw >> 8) % 100 < self.duplicate_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = 1 + self.rng.next_u64() % self.max_delay_ms.max(1);
            self.messages
                .push((self.now + Duration::from_millis(delay), message.clone()));
        }
    }

    fn is_blocked(&self, message: &Message) -> bool {
        let Body::Append { entries, .. } = &message.body else {
            return false;
        };
        let from = self.entries_blocked_from.unwrap_or(u64::MAX);
        let is_late = entries.iter().any(|entry| entry.index >= from);
        is_late || !entries.is_empty() && self.entries_blocked_to.contains(&message.to)
    }
}
