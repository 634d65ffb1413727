//! An in-memory replica without peers, for tests and trials on one machine.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use config::ids::NodeId;
use errors::{Error, Peer, Result, Step};
use state::{Command, Output, Position};

use crate::Machine;
use crate::replica::{Replica, Status};

/// Length of the leader's lease that the replica reports.
const LEASE: Duration = Duration::from_secs(3_600);

/// A group of one replica that keeps no log.
#[derive(Debug)]
pub struct MemoryReplica {
    node: NodeId,
    machine: Machine,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    term: u64,
    index: u64,
    leads: bool,
}

impl MemoryReplica {
    /// Creates a group of one that is the leader of term 1.
    pub fn new(node: NodeId, machine: Machine) -> Self {
        MemoryReplica {
            node,
            machine,
            inner: Mutex::new(Inner {
                term: 1,
                index: 0,
                leads: true,
            }),
        }
    }

    /// Makes the replica the leader of a new term, or ends its leadership.
    pub fn set_leader(&self, leads: bool) {
        let mut inner = self.lock();
        inner.leads = leads;
        inner.term += u64::from(leads);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn not_leader(&self) -> Error {
        let reason = "this process is not the leader".to_owned();
        Error::Protocol(Step::Route, Peer::Name(self.node.clone()), reason)
    }
}

impl Replica for MemoryReplica {
    type Command = Command;
    type Output = Output;

    async fn propose(&self, command: Command) -> Result<Output> {
        let mut inner = self.lock();
        if !inner.leads {
            return Err(self.not_leader());
        }
        inner.index += 1;
        let position = Position {
            term: inner.term,
            index: inner.index,
        };
        Ok(self.machine.apply(position, command))
    }

    async fn read_barrier(&self) -> Result<()> {
        match self.lock().leads {
            true => Ok(()),
            false => Err(self.not_leader()),
        }
    }

    async fn transfer_leadership(&self) -> Result<()> {
        Ok(())
    }

    fn deliver(&self, _message: consensus::Message) {}

    fn status(&self) -> Status {
        let inner = self.lock();
        Status {
            term: inner.term,
            leader: inner.leads.then(|| self.node.clone()),
            leads_until: inner.leads.then(|| Instant::now() + LEASE),
            last_index: inner.index,
            commit_index: inner.index,
            voters: vec![self.node.clone()],
            learners: Vec::new(),
            margin: None,
            is_swapping: false,
            told_group: Vec::new(),
        }
    }
}
