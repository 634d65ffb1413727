//! A replica that takes part in a control group.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use config::ids::NodeId;
use consensus::{Member, Message, Node};
use errors::{Error, Peer, Result, Step};
use storage::{Disk, Folder, Store};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{error, info, warn};

use super::driver::Driver;
use super::input::Input;
use super::state_machine::StateMachine;
use super::storage_worker::StorageWorker;
use super::{Replica, Settings, Status};

/// Time between two checks of the status during a transfer of leadership.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for a transfer of leadership, in election timeouts.
const TRANSFER_ELECTION_TIMEOUTS: u32 = 3;

/// Handle of a replica in a control group. The replica runs on two threads of its own.
///
/// It sends messages for other processes to the channel given at the start, and receives theirs
/// through [`ConsensusReplica::receive`]. Messages may be lost, duplicated or reordered.
#[derive(Debug)]
pub struct ConsensusReplica<M: StateMachine> {
    inputs: Sender<Input<M::Output>>,
    status: watch::Receiver<Status>,
    /// Longest time until another voter is the leader.
    transfer_timeout: Duration,
    machine: std::marker::PhantomData<fn() -> M>,
}

impl<M: StateMachine> ConsensusReplica<M> {
    /// Opens the data folder, restores the state and starts the threads.
    ///
    /// The receiver gets the error that ends the replica when its data folder fails or its state
    /// machine panics. The process must end then, and must not write to the folder again. After a
    /// planned end the receiver is closed without an error, once the folder can be opened again.
    ///
    /// # Errors
    /// Fails when the folder is damaged, in use, or can't be read or written.
    pub fn start(
        settings: Settings,
        machine: M,
        outgoing: mpsc::Sender<Message>,
    ) -> Result<(Self, oneshot::Receiver<Error>)> {
        let disk = Disk::open(&settings.folder)?;
        Self::start_in(disk, settings, machine, outgoing)
    }

    /// Like [`ConsensusReplica::start`], in a folder that is already open.
    ///
    /// # Errors
    /// Fails when the folder is damaged, or can't be read or written.
    pub fn start_in<D: Folder>(
        folder: D,
        settings: Settings,
        mut machine: M,
        outgoing: mpsc::Sender<Message>,
    ) -> Result<(Self, oneshot::Receiver<Error>)> {
        let (store, recovery) = Store::open(folder, settings.storage.clone())?;
        let me = Member {
            node: settings.node.clone(),
            disk: recovery.disk,
        };
        if recovery.truncated_bytes > 0 {
            let bytes = recovery.truncated_bytes;
            warn!("replica: removed {bytes} bytes of an incomplete write at the end of the log");
        }
        info!("replica: starting as {me}");
        let mut is_unreadable = false;
        if let Some(meta) = &recovery.initial_state.snapshot {
            let restored = machine.restore(&store.load_snapshot(meta.position.index)?);
            if let Err(cause) = restored {
                is_unreadable = true;
                error!(
                    "replica: the snapshot can't be read: {cause}; this process votes and stores \
                     the log until it gets one that it can read"
                );
            }
        }
        let (inputs, input_receiver) = channel();
        let (jobs, job_receiver) = channel();
        let (status, status_receiver) = watch::channel(Status::default());
        let (failed, failure) = oneshot::channel();
        let worker = StorageWorker::new(
            store,
            job_receiver,
            inputs.clone(),
            settings.full_disk_retry_delay,
        );
        let origin = Instant::now();
        let transfer_timeout = settings.consensus.election_timeout * TRANSFER_ELECTION_TIMEOUTS;
        let seed = me.disk ^ u64::from(std::process::id());
        let driver = Driver {
            node: Node::new(
                settings.consensus,
                me,
                recovery.initial_state,
                Duration::ZERO,
                seed,
            ),
            machine,
            origin,
            tick_interval: settings.tick_interval,
            inputs: input_receiver,
            jobs,
            outgoing,
            status,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            // Random, so that a late answer to a barrier of an earlier run passes none of this run.
            next_read: rand::random(),
            disk_is_full: false,
            is_unreadable,
            told_group: Vec::new(),
        };
        let storage = spawn("storage", move || worker.run())?;
        spawn("replica", move || {
            let result = catch_unwind(AssertUnwindSafe(|| driver.run()));
            // Joined first, so that the folder is closed before the end of the replica is reported.
            let _ = storage.join();
            let cause = match result {
                Ok(Ok(())) => return,
                Ok(Err(cause)) => cause,
                Err(_) => {
                    let reason = String::from("the state machine panicked");
                    Error::Invalid(Step::Commit, Peer::Local, reason)
                }
            };
            let _ = failed.send(cause);
        })?;
        let replica = ConsensusReplica {
            inputs,
            status: status_receiver,
            transfer_timeout,
            machine: std::marker::PhantomData,
        };
        Ok((replica, failure))
    }

    /// Receives a message of another process.
    pub fn receive(&self, message: Message) {
        let _ = self.inputs.send(Input::Message(message));
    }

    /// Returns a receiver that is notified of each change of the status.
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    async fn send<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<Result<T>>) -> Input<M::Output>,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        let ended = || {
            let reason = String::from("the replica ended: it may or may not take effect");
            Error::Protocol(Step::Commit, Peer::Local, reason)
        };
        self.inputs.send(input(reply)).map_err(|_| ended())?;
        answer.await.map_err(|_| ended())?
    }
}

impl<M: StateMachine> Replica for ConsensusReplica<M> {
    type Command = M::Command;
    type Output = M::Output;

    async fn propose(&self, command: M::Command) -> Result<M::Output> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&command, &mut bytes)
            .map_err(|cause| Error::Other(Step::Route, Peer::Local, Box::new(cause)))?;
        self.send(|reply| Input::Propose(bytes.into(), reply)).await
    }

    async fn read_barrier(&self) -> Result<()> {
        self.send(Input::ReadBarrier).await
    }

    async fn transfer_leadership(&self) -> Result<()> {
        if self.status().leads_until.is_none() || self.status().voters.len() < 2 {
            return Ok(());
        }
        let term = self.status().term;
        let deadline = Instant::now() + self.transfer_timeout;
        self.send(Input::TransferLeadership).await?;
        loop {
            let status = self.status();
            match status.leader {
                Some(_) if status.term > term => return Ok(()),
                _ if Instant::now() < deadline => tokio::time::sleep(TRANSFER_POLL_INTERVAL).await,
                _ => {
                    let limit = self.transfer_timeout;
                    return Err(Error::Timeout(Step::Stop, Peer::Local, limit));
                }
            }
        }
    }

    fn deliver(&self, message: Message) {
        self.receive(message);
    }

    fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    fn learn_group(&self, group: Vec<NodeId>) {
        let _ = self.inputs.send(Input::Group(group));
    }
}

impl<M: StateMachine> Drop for ConsensusReplica<M> {
    fn drop(&mut self) {
        let _ = self.inputs.send(Input::Stop);
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(work);
    thread.map_err(|cause| Error::Io(Step::Load, Peer::Local, cause))
}
