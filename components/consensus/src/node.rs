//! One node of the group.

mod apply;
mod change;
mod election;
mod follower;
mod founding;
mod lease;
mod outbox;
mod read;
mod receive;
mod repair;
mod replication;
mod role;
mod snapshot;
mod transfer;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexSet;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::ids::{GroupId, Index, NodeId, Sequence, Term};
use crate::log::Log;
use crate::{
    Action, Body, Entry, Event, Guards, HardState, InitialState, Member, Membership, Message,
    Payload, Position, Record, Refusal, Settings,
};

use founding::Founding;
use outbox::Outbox;
use read::LocalBarriers;
use role::Role;
use snapshot::IncomingSnapshot;

/// A node of the replicated log, which turns times and messages into [`Action`]s.
///
/// All times are monotonic and count from a moment that the caller chooses.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    guards: Guards,
    me: Member,
    now: Duration,
    rng: StdRng,
    hard_state: HardState,
    log: Log,
    commit: Index,
    applied: Index,
    /// Last entry of the log that is synced to disk.
    durable: Index,
    role: Role,
    leader: Option<Member>,
    /// Time until which this node promised to vote for no node but the leader.
    promised_until: Duration,
    election_at: Duration,
    poll_at: Duration,
    outbox: Outbox,
    /// Open proposals of this node, each with the time at which its outcome is reported as unknown;
    /// `None` until this node steps down.
    proposals: BTreeMap<(Index, Term), Option<Duration>>,
    local_barriers: LocalBarriers,
    incoming: Option<IncomingSnapshot>,
    /// Write that stores a received snapshot; nothing is applied until it is synced.
    restoring: Option<Sequence>,
    applied_bytes: usize,
    snapshotting: bool,
    stalled: bool,
    /// Whether this node votes and stores the log but never leads.
    passive: bool,
    founding: Founding,
    /// Processes outside the settings that may belong to the group, the newest last.
    learned_peers: IndexSet<NodeId>,
    /// Processes that this node last reported to ask to be added to their group.
    asked_peers: Vec<NodeId>,
}

impl Node {
    /// Builds a node from the content of its data folder; `seed` randomizes election timeouts.
    pub fn new(
        settings: Settings,
        me: Member,
        initial_state: InitialState,
        now: Duration,
        seed: u64,
    ) -> Self {
        let guards = settings.guards();
        let snapshot_index = initial_state
            .snapshot
            .as_ref()
            .map_or(0, |meta| meta.position.index);
        let log = Log::new(initial_state.snapshot, initial_state.entries);
        let promised_until = match guards.restart_wait {
            true => now + settings.election_timeout,
            false => now,
        };
        let mut node = Node {
            guards,
            me,
            now,
            rng: StdRng::seed_from_u64(seed),
            hard_state: initial_state.hard_state,
            commit: snapshot_index,
            applied: snapshot_index,
            durable: log.last().index,
            log,
            role: Role::Follower,
            leader: None,
            promised_until,
            election_at: now,
            poll_at: now,
            outbox: Outbox::new(guards.sync_before_answer),
            proposals: BTreeMap::new(),
            local_barriers: LocalBarriers::default(),
            incoming: None,
            restoring: None,
            applied_bytes: 0,
            snapshotting: false,
            stalled: false,
            passive: false,
            founding: Founding::default(),
            learned_peers: IndexSet::new(),
            asked_peers: Vec::new(),
            settings,
        };
        // A promise to an earlier leader has expired after one timeout, so the usual random wait is
        // cut to a short jitter.
        node.election_at = now + node.settings.election_timeout + node.jitter();
        node
    }

    /// Advances the time; starts heartbeats, elections, repairs and step-downs that are due.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        self.settle_overdue_proposals();
        self.expire_barriers();
        match self.role {
            _ if self.stalled => {}
            Role::Leader(_) => self.tick_leader(),
            _ if self.now >= self.election_at => self.begin_election(),
            _ if self.hard_state.group.is_none() && self.now >= self.poll_at => self.poll_peers(),
            _ => {}
        }
    }

    /// Proposes a command, and returns the position that it has in the log if it is committed.
    ///
    /// # Errors
    /// Refuses without any effect if this node is not the leader, is transferring its leadership or
    /// has too many uncommitted bytes.
    pub fn propose(&mut self, now: Duration, command: Bytes) -> Result<Position, Refusal> {
        self.advance(now);
        let max_bytes = self.settings.max_uncommitted_bytes;
        match &self.role {
            Role::Leader(leader) if leader.transfer.is_some() => Err(Refusal::Transferring),
            Role::Leader(leader) if leader.uncommitted_bytes > max_bytes => {
                Err(Refusal::Overloaded(leader.uncommitted_bytes))
            }
            Role::Leader(_) => {
                let position = self.append(Payload::Command(command));
                self.proposals.insert((position.index, position.term), None);
                Ok(position)
            }
            _ => Err(Refusal::NotLeader(self.leader.clone())),
        }
    }

    /// Reports that all writes up to a sequence number are synced.
    pub fn on_write_synced(&mut self, now: Duration, sequence: Sequence) {
        self.advance(now);
        self.stalled = false;
        if let Some(durable) = self.outbox.on_write_synced(sequence) {
            self.durable = durable;
        }
        self.finish_restore();
        self.advance_commit();
    }

    /// Reports that the disk is full; the node neither leads nor answers until the next
    /// [`Node::on_write_synced`].
    pub fn stall(&mut self, now: Duration) {
        self.advance(now);
        self.stalled = true;
        self.step_down("the disk is full");
    }

    /// Sets whether this node only votes and stores the log, as one that can't apply its entries; it
    /// then gives up its leadership and is not elected.
    pub fn set_passive(&mut self, now: Duration, passive: bool) {
        self.advance(now);
        self.passive = passive;
        if passive {
            self.step_down("entries of the log can't be applied");
        }
    }

    /// Takes a snapshot with the next entries that are applied.
    pub fn snapshot_soon(&mut self) {
        self.applied_bytes = self.applied_bytes.max(self.settings.snapshot_bytes);
    }

    /// Returns the actions that arose since the last call, in order.
    pub fn actions(&mut self) -> Vec<Action> {
        if matches!(&self.role, Role::Leader(leader) if leader.round_due) {
            self.begin_round();
            self.confirm_barriers();
        }
        self.replicate_all();
        let last = self.log.last().index;
        self.outbox.flush(last);
        if !self.guards.sync_before_answer {
            self.durable = last;
            self.advance_commit();
        }
        self.outbox.take()
    }

    /// Returns the identity of this node.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the group; `None` while the data folder is empty.
    pub fn group(&self) -> Option<GroupId> {
        self.hard_state.group
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }

    /// Returns whether this node is the leader of its term, with or without a lease.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the position of the last entry of the log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the last committed entry that this node knows of.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Returns the last entry that an [`Action::Apply`] or [`Action::Restore`] covered.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// Returns the last entry of this node's log that is synced.
    pub fn durable_index(&self) -> Index {
        self.durable
    }

    /// Returns the latest membership in this node's log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        self.check_quorum();
    }

    fn restart_election_timer(&mut self) {
        let base = self.settings.election_timeout;
        let spread = self.rng.next_u64() % (base.as_micros() as u64).max(1);
        self.election_at = self.now + base + Duration::from_micros(spread);
    }

    /// Returns a random time shorter than the heartbeat interval, so that nodes don't start
    /// elections at the same moment.
    fn jitter(&mut self) -> Duration {
        let longest = self.settings.heartbeat.as_micros() as u64;
        Duration::from_micros(self.rng.next_u64() % longest.max(1))
    }

    fn append(&mut self, payload: Payload) -> Position {
        let entry = Entry {
            index: self.log.last().index + 1,
            term: self.hard_state.term,
            payload,
        };
        if let Role::Leader(leader) = &mut self.role {
            leader.uncommitted_bytes += entry.size();
        }
        self.outbox.record(Record::Entry(entry.clone()));
        self.log.push(entry.clone());
        entry.position()
    }

    fn record_hard_state(&mut self) {
        self.outbox.record_hard_state(self.hard_state.clone());
    }

    fn message(&self, to: &Member, body: Body) -> Message {
        Message {
            group: self.hard_state.group,
            from: self.me.clone(),
            to: to.node.clone(),
            to_disk: Some(to.disk),
            term: self.hard_state.term,
            body,
        }
    }

    fn send(&mut self, to: &Member, body: Body) {
        let message = self.message(to, body);
        self.outbox.send(message);
    }

    fn report(&mut self, event: Event) {
        self.outbox.push(Action::Log(event));
    }
}
