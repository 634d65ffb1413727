//! A simulated group: network, clocks, faults, and checks after every step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use consensus::ids::{NodeId, Term};
use consensus::{Action, Entry, Event, Fate, Member, Message, Node, Payload, Settings, Stored};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::disk::Disk;
use crate::server::{Clock, Server, State};

/// Time between two steps.
pub(crate) const STEP: Duration = Duration::from_millis(5);
const GROUP: u64 = 99;

/// Everything that is simulated.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) settings: Settings,
    pub(crate) servers: BTreeMap<NodeId, Server>,
    pub(crate) now: Duration,
    pub(crate) events: Vec<(NodeId, Event)>,
    /// Processes that start as spares.
    pub(crate) spares: BTreeSet<NodeId>,
    /// Pairs between which messages are lost.
    pub(crate) cuts: BTreeSet<(NodeId, NodeId)>,
    pub(crate) loss_percent: u64,
    pub(crate) double_percent: u64,
    pub(crate) max_delay_ms: u64,
    /// What was found to be wrong, first fault first.
    pub(crate) faults: Vec<String>,
    /// Messages sent, for tests that tamper with them.
    pub(crate) messages: Vec<(Duration, Message)>,
    committed: BTreeMap<u64, (Entry, u64)>,
    leaders: BTreeMap<Term, Member>,
    lost: BTreeSet<(u64, Term)>,
    acknowledged: u64,
    next_command: u64,
    next_disk: u64,
    rng: StdRng,
}

impl World {
    /// Builds a group of voters `a`, `b`, ... and spares after them.
    pub(crate) fn new(settings: Settings, voters: usize, spares: usize, seed: u64) -> Self {
        let names: Vec<NodeId> = (0..voters + spares)
            .map(|place| NodeId::from(char::from(b'a' + place as u8).to_string()))
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
            cuts: BTreeSet::new(),
            loss_percent: 0,
            double_percent: 0,
            max_delay_ms: 10,
            faults: Vec::new(),
            messages: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            lost: BTreeSet::new(),
            acknowledged: 0,
            next_command: 1,
            next_disk: 1,
            rng: StdRng::seed_from_u64(seed),
        };
        let members: Vec<Member> = names.into_iter().map(|node| world.member(node)).collect();
        let stored = Stored::founding(GROUP, members[..voters].to_vec());
        for (place, me) in members.into_iter().enumerate() {
            let disk = Disk {
                stored: if place < voters {
                    stored.clone()
                } else {
                    Stored::default()
                },
                ..Disk::default()
            };
            world.add(me, disk);
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
            offset: Duration::from_millis(self.rng.next_u64() % 100_000),
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
                is_full: false,
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
        let stored = server.disk.stored.clone();
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
    }

    /// Kills a process; what was not synced is lost.
    pub(crate) fn kill(&mut self, name: &str) {
        let server = self.servers.get_mut(name).unwrap();
        server.node = None;
        server.leads_until = None;
        server.disk.crash();
    }

    /// Kills a process and empties its disk; it comes back under another identity unless the
    /// guard is out.
    pub(crate) fn wipe(&mut self, name: &str) {
        self.kill(name);
        let me = match self.settings.guards.disk_identity {
            true => self.member(name.into()),
            false => self.servers[name].me.clone(),
        };
        let server = self.servers.get_mut(name).unwrap();
        server.me = me;
        server.disk = Disk::default();
    }

    /// Freezes a process, as SIGSTOP does.
    pub(crate) fn freeze(&mut self, name: &str, time: Duration) {
        let until = self.now + time;
        self.servers.get_mut(name).unwrap().frozen_until = until;
    }

    /// Cuts one direction.
    pub(crate) fn cut(&mut self, from: &str, to: &str) {
        self.cuts.insert((from.into(), to.into()));
    }

    /// Cuts a process off from all others, both ways.
    pub(crate) fn isolate(&mut self, name: &str) {
        let others: Vec<NodeId> = self.servers.keys().cloned().collect();
        for other in others {
            self.cut(name, &other);
            self.cut(&other, name);
        }
    }

    /// Proposes a command at a process; `None` where it refuses.
    pub(crate) fn propose(&mut self, name: &str) -> Option<consensus::Mark> {
        let number = self.next_command;
        let now = self.now;
        let server = self.servers.get_mut(name).unwrap();
        let local = server.clock.read(now);
        let node = server.node.as_mut()?;
        let command = Bytes::copy_from_slice(&number.to_le_bytes());
        let mark = node.propose(local, command).ok()?;
        server.proposals.insert((mark.index, mark.term), None);
        self.next_command += 1;
        Some(mark)
    }

    /// Asks for a read barrier at a process.
    pub(crate) fn read(&mut self, name: &str, id: u64) {
        let (now, acknowledged) = (self.now, self.acknowledged);
        let server = self.servers.get_mut(name).unwrap();
        let local = server.clock.read(now);
        if let Some(node) = server.node.as_mut() {
            server.reads.insert(id, (acknowledged, None));
            node.read(local, id);
        }
    }

    /// Returns the leader with a lease, as all see it.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        let mut leaders = self
            .servers
            .values()
            .filter(|server| self.has_lease(server));
        leaders.next().map(|server| server.me.node.clone())
    }

    fn has_lease(&self, server: &Server) -> bool {
        let local = server.clock.read(self.now);
        server.leads_until.is_some_and(|until| local < until)
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until a condition holds; returns whether it does.
    pub(crate) fn run_until(&mut self, time: Duration, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end && !holds(self) {
            self.step();
        }
        holds(self)
    }

    /// Does one step of time.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let names: Vec<NodeId> = self.servers.keys().cloned().collect();
        for name in names {
            self.drive(&name);
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
                // The socket's buffer keeps what a frozen process doesn't read.
                self.messages.push((server.frozen_until, message));
                continue;
            }
            let local = server.clock.read(now);
            let name = server.me.node.clone();
            if let Some(node) = server.node.as_mut() {
                node.receive(local, message);
                self.act(&name);
            }
        }
    }

    fn drive(&mut self, name: &str) {
        let now = self.now;
        let draw = self.rng.next_u64();
        let server = self.servers.get_mut(name).unwrap();
        if server.frozen_until > now || server.node.is_none() {
            return;
        }
        let local = server.clock.read(now);
        let node = server.node.as_mut().unwrap();
        node.tick(local);
        if server.is_full && !server.disk.unsynced.is_empty() {
            node.stall(local);
        } else if draw.is_multiple_of(2)
            && let Some(sequence) = server.disk.sync()
        {
            let mut last = sequence;
            while draw.is_multiple_of(3)
                && let Some(next) = server.disk.sync()
            {
                last = next;
            }
            node.persisted(local, last);
        }
        self.act(name);
    }

    /// Does what a node asks for.
    fn act(&mut self, name: &str) {
        loop {
            let server = self.servers.get_mut(name).unwrap();
            let Some(node) = server.node.as_mut() else {
                return;
            };
            let actions = node.actions();
            server.leads_until = node.leads_until();
            if node.is_leader() {
                let (term, me) = (node.term(), node.me().clone());
                self.note_leader(term, me);
            }
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.do_one(name, action);
            }
        }
    }

    fn do_one(&mut self, name: &str, action: Action) {
        let now = self.now;
        let server = self.servers.get_mut(name).unwrap();
        let local = server.clock.read(now);
        match action {
            Action::Send(message) => self.post(message),
            Action::Write(write) => server.disk.unsynced.push_back(write),
            Action::Apply(entries) => {
                for entry in entries {
                    self.apply(name, entry);
                }
            }
            Action::Restore(meta) => {
                let (stored, data) = server.disk.snapshots.last().unwrap();
                assert!(stored.mark.index >= meta.mark.index);
                server.state = State::load(data);
            }
            Action::Snapshot(meta) => {
                if server.state.index != meta.mark.index {
                    let fault = format!("{name} is at {} for {meta:?}", server.state.index);
                    self.faults.push(fault);
                    return;
                }
                let data = server.state.save();
                // A snapshot is written after the records before it.
                while let Some(sequence) = server.disk.sync() {
                    server.node.as_mut().unwrap().persisted(local, sequence);
                }
                server.disk.save(meta.clone(), data);
                server.node.as_mut().unwrap().compacted(local, Some(meta));
            }
            Action::Fetch {
                to,
                index,
                offset,
                length,
            } => {
                let found = server
                    .disk
                    .snapshots
                    .iter()
                    .find(|(meta, _)| meta.mark.index == index);
                let part = found.map(|(_, data)| {
                    let end = data.len().min(offset as usize + length);
                    (data.slice(offset as usize..end), end == data.len())
                });
                server
                    .node
                    .as_mut()
                    .unwrap()
                    .fetched(local, &to, index, offset, part);
            }
            Action::Settle(mark, fate) => {
                server.proposals.insert((mark.index, mark.term), Some(fate));
                if fate == Fate::Lost {
                    self.check_lost(mark);
                }
            }
            Action::Read { id, passed } => self.check_read(name, id, passed),
            Action::Log(event) => self.events.push((name.into(), event)),
        }
    }

    fn post(&mut self, message: Message) {
        let is_cut = self
            .cuts
            .contains(&(message.from.node.clone(), message.to.clone()));
        let draw = self.rng.next_u64();
        if is_cut || draw % 100 < self.loss_percent {
            return;
        }
        let copies = if (draw >> 8) % 100 < self.double_percent {
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

    fn apply(&mut self, name: &str, entry: Entry) {
        let server = self.servers.get_mut(name).unwrap();
        let mark = entry.mark();
        if mark.index != server.state.index + 1 {
            let at = server.state.index;
            self.faults
                .push(format!("{name} applies {} after {at}", mark.index));
            return;
        }
        let bytes = match &entry.payload {
            Payload::Command(command) => command.clone(),
            _ => Bytes::new(),
        };
        server.state.apply(mark, &bytes);
        let checksum = server.state.checksum;
        if server.proposals.remove(&(mark.index, mark.term)).is_some() {
            self.acknowledged = self.acknowledged.max(mark.index);
        }
        match self.committed.get(&mark.index) {
            None if self.lost.contains(&(mark.index, mark.term)) => {
                let fault = format!("{mark:?} was called lost and is committed");
                self.faults.push(fault);
            }
            None => {
                self.committed.insert(mark.index, (entry, checksum));
            }
            Some((known, state)) if *known != entry || *state != checksum => {
                let fault = format!("{name} applies {entry:?} where {known:?} was committed");
                self.faults.push(fault);
            }
            Some(_) => {}
        }
    }

    fn note_leader(&mut self, term: Term, me: Member) {
        let known = self.leaders.entry(term).or_insert_with(|| me.clone());
        if *known != me {
            let fault = format!("{known} and {me} lead in term {term}");
            self.faults.push(fault);
        }
    }

    fn check_leases(&mut self) {
        let holders: Vec<String> = self
            .servers
            .values()
            .filter(|server| self.has_lease(server))
            .map(|server| server.me.to_string())
            .collect();
        if holders.len() > 1 {
            self.faults
                .push(format!("{holders:?} hold a lease at {:?}", self.now));
        }
    }

    fn check_lost(&mut self, mark: consensus::Mark) {
        let is_committed = self
            .committed
            .get(&mark.index)
            .is_some_and(|(entry, _)| entry.mark() == mark);
        if is_committed {
            self.faults
                .push(format!("{mark:?} is committed and was called lost"));
        }
        self.lost.insert((mark.index, mark.term));
    }

    fn check_read(&mut self, name: &str, id: u64, passed: bool) {
        let server = self.servers.get_mut(name).unwrap();
        let Some((needed, end)) = server.reads.get_mut(&id) else {
            return;
        };
        *end = Some(passed);
        if passed && server.state.index < *needed {
            let fault = format!(
                "{name} reads at {} and {needed} was answered",
                server.state.index
            );
            self.faults.push(fault);
        }
    }

    /// Returns whether the group keeps a quorum of live disks without a voter's.
    pub(crate) fn can_lose(&self, name: &str) -> bool {
        let all_bear = self.servers.values().all(|server| {
            let Some(node) = &server.node else {
                return true;
            };
            let membership = node.membership();
            let kept = membership
                .voters
                .iter()
                .filter(|voter| voter.node != name && self.servers[&voter.node].me == **voter);
            membership.voters.is_empty() || kept.count() >= membership.quorum()
        });
        all_bear && self.servers.values().all(|server| server.node.is_some())
    }

    /// Starts all processes that are down.
    pub(crate) fn start_all(&mut self) {
        let names: Vec<NodeId> = self.servers.keys().cloned().collect();
        for name in names {
            if self.servers[&name].node.is_none() {
                self.start(&name);
            }
        }
    }

    /// Hands the leader's place over.
    pub(crate) fn transfer(&mut self) {
        let now = self.now;
        for server in self.servers.values_mut() {
            let local = server.clock.read(now);
            if let Some(node) = server.node.as_mut() {
                let _ = node.transfer(local);
                server.leads_until = node.leads_until();
            }
        }
    }

    /// Asks every process for a read barrier.
    pub(crate) fn read_everywhere(&mut self) {
        let names: Vec<NodeId> = self.servers.keys().cloned().collect();
        for name in names {
            let id = self.rng.next_u64();
            self.read(&name, id);
        }
    }

    /// Ends all faults.
    pub(crate) fn end_faults(&mut self) {
        self.cuts.clear();
        self.loss_percent = 0;
        self.double_percent = 0;
        self.max_delay_ms = 10;
        for server in self.servers.values_mut() {
            server.is_full = false;
            server.frozen_until = Duration::ZERO;
        }
        self.start_all();
    }

    /// Returns whether the group comes to the target number of live voters, and a new entry is
    /// applied by all members, in time.
    pub(crate) fn recovers(&mut self, time: Duration) -> bool {
        let is_whole = |world: &World| world.is_whole();
        if !self.run_until(time, is_whole) {
            return false;
        }
        let leader = self.leader().unwrap();
        let Some(mark) = self.propose(&leader) else {
            return false;
        };
        self.run_until(time, |world| {
            let mut servers = world.servers.values();
            servers.all(|server| server.state.index >= mark.index)
        })
    }

    fn is_whole(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let membership = self.servers[&leader].node.as_ref().unwrap().membership();
        let all_live = membership
            .members()
            .all(|member| self.servers[&member.node].me == *member);
        let all_in = self
            .servers
            .values()
            .all(|server| membership.contains(&server.me));
        membership.voters.len() == membership.target && all_live && all_in
    }

    /// Returns a short description of all nodes.
    pub(crate) fn summary(&self) -> String {
        let nodes = self
            .servers
            .values()
            .filter_map(|server| server.node.as_ref());
        let lines = nodes.map(|node| {
            format!(
                "\n{} term {} leads {} last {:?} commit {} durable {} of {:?}",
                node.me(),
                node.term(),
                node.is_leader(),
                node.last(),
                node.commit_index(),
                node.durable_index(),
                node.membership(),
            )
        });
        lines.collect()
    }
}
