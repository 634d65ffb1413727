//! The driver thread: runs the replicated log and applies its committed entries.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use config::ids::NodeId;
use config::release;
use consensus::ids::ReadId;
use consensus::{Action, Entry, Event, Message, Node, Outcome, Payload, Position, SnapshotMeta};
use errors::{Error, Peer, Result, Step};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{debug, error, info, warn};

use super::Status;
use super::input::Input;
use super::job::Job;
use super::state_machine::StateMachine;

/// Maximum number of inputs that are handled before the resulting actions are executed.
const MAX_INPUTS_PER_TURN: usize = 1_024;

/// State of the driver thread.
pub(super) struct Driver<M: StateMachine> {
    pub(super) node: Node,
    pub(super) machine: M,
    /// Start of the node's clock.
    pub(super) origin: Instant,
    pub(super) tick_interval: Duration,
    pub(super) inputs: Receiver<Input<M::Output>>,
    pub(super) jobs: Sender<Job>,
    pub(super) outgoing: mpsc::Sender<Message>,
    pub(super) status: watch::Sender<Status>,
    pub(super) proposals: BTreeMap<(u64, u64), oneshot::Sender<Result<M::Output>>>,
    pub(super) reads: BTreeMap<ReadId, oneshot::Sender<Result<()>>>,
    pub(super) next_read: ReadId,
    /// Whether the last write failed because the disk is full.
    pub(super) disk_is_full: bool,
    /// Whether the log or a snapshot holds what this release can't read. The replica then votes and
    /// stores the log, and applies nothing until it receives a snapshot that it can read.
    pub(super) is_unreadable: bool,
    /// Members of a group, as another process named them.
    pub(super) told_group: Vec<NodeId>,
}

impl<M: StateMachine> Driver<M> {
    /// Runs until it is stopped.
    ///
    /// # Errors
    /// Fails when the data folder can't be used any more; the process must end then.
    pub(super) fn run(mut self) -> Result<()> {
        if self.is_unreadable {
            let now = self.now();
            self.node.set_passive(now, true);
        }
        loop {
            match self.inputs.recv_timeout(self.tick_interval) {
                Ok(input) => {
                    if !self.handle_inputs(input)? {
                        return Ok(());
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = self.now();
            self.node.tick(now);
            self.execute_actions()?;
        }
    }

    /// Handles the waiting inputs; returns false once the driver has to stop.
    fn handle_inputs(&mut self, first: Input<M::Output>) -> Result<bool> {
        let mut next = Some(first);
        for _ in 0..MAX_INPUTS_PER_TURN {
            match next {
                None => break,
                Some(Input::Stop) => return Ok(false),
                Some(input) => self.handle_input(input)?,
            }
            next = self.inputs.try_recv().ok();
        }
        match next {
            Some(Input::Stop) => Ok(false),
            Some(input) => self.handle_input(input).map(|()| true),
            None => Ok(true),
        }
    }

    fn handle_input(&mut self, input: Input<M::Output>) -> Result<()> {
        // The clock is read after the input was received: an earlier time would make promises to
        // other replicas end too early.
        let now = self.now();
        match input {
            Input::Message(message) => self.node.receive(now, message),
            Input::Propose(command, reply) => match self.node.propose(now, command) {
                Ok(position) => drop(
                    self.proposals
                        .insert((position.index, position.term), reply),
                ),
                Err(refusal) => drop(reply.send(Err(refusal_error(&refusal)))),
            },
            Input::ReadBarrier(reply) => {
                self.next_read = self.next_read.wrapping_add(1);
                self.reads.insert(self.next_read, reply);
                self.node.request_read_barrier(now, self.next_read);
            }
            Input::TransferLeadership(reply) => {
                let started = self.node.transfer_leadership(now);
                let _ = reply.send(started.map_err(|refusal| refusal_error(&refusal)));
            }
            Input::Group(group) => {
                self.node.learn_peers(group.clone());
                self.told_group = group;
            }
            Input::WriteSynced(sequence) => {
                if std::mem::take(&mut self.disk_is_full) {
                    info!("replica: the disk accepts writes again");
                }
                self.node.on_write_synced(now, sequence);
            }
            Input::DiskFull(cause) => {
                if !std::mem::replace(&mut self.disk_is_full, true) {
                    warn!("replica: paused until writes succeed: {cause}");
                }
                self.node.stall(now);
            }
            Input::StorageFailed(cause) => return Err(cause),
            Input::SnapshotSaved(meta, Ok(())) => {
                debug!(
                    "replica: stored a snapshot up to entry {}",
                    meta.position.index
                );
                self.node.on_snapshot_saved(now, Some(meta));
            }
            Input::SnapshotSaved(_, Err(cause)) => {
                warn!("replica: storing a snapshot failed: {cause}");
                self.node.on_snapshot_saved(now, None);
            }
            Input::ChunkRead {
                to,
                index,
                offset,
                part,
            } => self.node.on_chunk_read(now, &to, index, offset, part),
            Input::Stop => {}
        }
        Ok(())
    }

    fn execute_actions(&mut self) -> Result<()> {
        let actions = self.node.actions();
        // The end of a leader's lease is published before any message is sent that allows another
        // node to become the leader. Its start is published after all earlier entries are applied.
        if self.node.leads_until().is_none() {
            self.publish();
        }
        for action in actions {
            self.execute(action)?;
        }
        self.publish();
        Ok(())
    }

    fn execute(&mut self, action: Action) -> Result<()> {
        match action {
            Action::Send(message) => self.send(message),
            Action::Write(write) => self.submit(Job::Write(write))?,
            Action::Apply(entries) => entries.into_iter().for_each(|entry| self.apply(entry)),
            Action::Restore(meta) => self.restore(&meta)?,
            Action::Snapshot(_) if self.is_unreadable => {
                let now = self.now();
                self.node.on_snapshot_saved(now, None);
            }
            Action::Snapshot(meta) => self.submit(Job::Snapshot(meta, self.machine.snapshot()?))?,
            Action::ReadChunk {
                to,
                index,
                offset,
                length,
            } => self.submit(Job::ReadChunk {
                to,
                index,
                offset,
                length,
            })?,
            Action::Settle(position, outcome) => self.settle(position, outcome),
            Action::ReadBarrier { id, passed } => self.finish_read(id, passed),
            Action::Log(event) => log(&event),
        }
        Ok(())
    }

    fn send(&self, message: Message) {
        let to = message.to.clone();
        if self.outgoing.try_send(message).is_err() {
            debug!("replica: dropped a message to {to}: the outgoing queue is full or closed");
        }
    }

    fn submit(&self, job: Job) -> Result<()> {
        self.jobs.send(job).map_err(|_| self.storage_ended())
    }

    /// Returns the error with which the storage thread ended, or a general one if it panicked.
    fn storage_ended(&self) -> Error {
        let failure = self.inputs.try_iter().find_map(|input| match input {
            Input::StorageFailed(cause) => Some(cause),
            _ => None,
        });
        failure.unwrap_or_else(|| {
            let reason = String::from("the storage thread ended");
            Error::Invalid(Step::Store, Peer::Local, reason)
        })
    }

    fn apply(&mut self, entry: Entry) {
        let position = entry.position();
        let Payload::Command(bytes) = entry.payload else {
            return;
        };
        if self.is_unreadable {
            return;
        }
        let command: M::Command = match ciborium::from_reader(bytes.as_ref()) {
            Ok(command) => command,
            Err(cause) => {
                let index = position.index;
                return self.stop_applying(&format!("log entry {index} can't be read: {cause}"));
            }
        };
        if M::level(&command) > release::UNDECLARED {
            // A process that is put back to an older release then starts after this entry.
            self.node.snapshot_soon();
        }
        let output = self.machine.apply(position, command);
        if let Some(reply) = self.proposals.remove(&(position.index, position.term)) {
            let _ = reply.send(Ok(output));
        }
    }

    /// Goes on without applying entries, so that a later release does not end this process.
    fn stop_applying(&mut self, reason: &str) {
        self.is_unreadable = true;
        let now = self.now();
        self.node.set_passive(now, true);
        error!(
            "replica: {reason}; this process votes and stores the log until it gets a snapshot \
             that it can read"
        );
    }

    /// Loads a received snapshot. Blocks until the storage thread has read it, as no entry may be
    /// applied before.
    fn restore(&mut self, meta: &SnapshotMeta) -> Result<()> {
        let (reply, loaded) = channel();
        self.submit(Job::LoadSnapshot(meta.position.index, reply))?;
        let bytes = loaded.recv().map_err(|_| self.storage_ended())??;
        info!(
            "replica: restoring a snapshot up to entry {}",
            meta.position.index
        );
        match self.machine.restore(&bytes) {
            Ok(()) if self.is_unreadable => {
                self.is_unreadable = false;
                let now = self.now();
                self.node.set_passive(now, false);
                info!("replica: applies entries again");
            }
            Ok(()) => {}
            Err(cause) => self.stop_applying(&format!("a snapshot can't be read: {cause}")),
        }
        Ok(())
    }

    fn settle(&mut self, position: Position, outcome: Outcome) {
        let Some(reply) = self.proposals.remove(&(position.index, position.term)) else {
            return;
        };
        let error = match outcome {
            Outcome::Lost => {
                let reason =
                    String::from("another leader's entry replaced the command: it has no effect");
                Error::Protocol(Step::Route, Peer::Local, reason)
            }
            Outcome::Unknown => {
                let reason = String::from("the lead was lost: it may or may not take effect");
                Error::Protocol(Step::Commit, Peer::Local, reason)
            }
        };
        let _ = reply.send(Err(error));
    }

    fn finish_read(&mut self, id: ReadId, passed: bool) {
        if let Some(reply) = self.reads.remove(&id) {
            let reason = String::from("no leader confirmed the read barrier");
            let error = Error::Protocol(Step::Commit, Peer::Local, reason);
            let is_current = passed && !self.is_unreadable;
            let _ = reply.send(if is_current { Ok(()) } else { Err(error) });
        }
    }

    fn publish(&self) {
        let membership = self.node.membership();
        let names = |members: &[consensus::Member]| {
            members.iter().map(|member| member.node.clone()).collect()
        };
        let leads_until = self.node.leads_until();
        self.status.send_replace(Status {
            term: self.node.term(),
            leader: self.node.leader().map(|leader| leader.node.clone()),
            leads_until: leads_until.map(|until| self.origin + until),
            last_index: self.node.last().index,
            commit_index: self.node.commit_index(),
            voters: names(&membership.voters),
            learners: names(&membership.learners),
            margin: self.node.margin(),
            is_swapping: membership.is_swapping(),
            told_group: self.told_group.clone(),
        });
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// Returns the error for a refusal; its step `Route` means that the command has no effect.
fn refusal_error(refusal: &consensus::Refusal) -> Error {
    let peer = match refusal {
        consensus::Refusal::NotLeader(Some(leader)) => Peer::Name(leader.node.clone()),
        _ => Peer::Local,
    };
    Error::Protocol(Step::Route, peer, refusal.to_string())
}

fn log(event: &Event) {
    match event {
        Event::NoSpare(_) | Event::SteppedDown(..) => warn!("replica: {event}"),
        _ => info!("replica: {event}"),
    }
}
