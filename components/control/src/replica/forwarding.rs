//! The replica of a control process without a disk: it keeps no log and has no vote. The process
//! forwards requests to the group.

use std::sync::{Mutex, MutexGuard, PoisonError};

use config::ids::NodeId;
use consensus::{Body, Member, Message};
use errors::{Error, Peer, Result, Step};
use state::{Command, Output};
use tokio::sync::mpsc;

use super::{Replica, Status};

/// Takes part in no group, and knows the members of one.
#[derive(Debug)]
pub struct ForwardingReplica {
    me: Member,
    group: Mutex<Vec<NodeId>>,
    outgoing: mpsc::Sender<Message>,
}

impl ForwardingReplica {
    /// Creates the replica of process `node`, which sends its messages to `outgoing`.
    pub fn new(node: NodeId, outgoing: mpsc::Sender<Message>) -> Self {
        ForwardingReplica {
            me: Member {
                node,
                disk: rand::random(),
            },
            group: Mutex::default(),
            outgoing,
        }
    }

    fn group(&self) -> MutexGuard<'_, Vec<NodeId>> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn keeps_no_log() -> Error {
        let reason = "this process forwards requests only".to_owned();
        Error::Protocol(Step::Route, Peer::Local, reason)
    }
}

impl Replica for ForwardingReplica {
    type Command = Command;
    type Output = Output;

    async fn propose(&self, _command: Command) -> Result<Output> {
        Err(Self::keeps_no_log())
    }

    async fn read_barrier(&self) -> Result<()> {
        Err(Self::keeps_no_log())
    }

    async fn transfer_leadership(&self) -> Result<()> {
        Ok(())
    }

    /// Answers those that found a group, so that they do not wait for this process.
    fn deliver(&self, message: Message) {
        if message.body != Body::FoundingQuery {
            return;
        }
        let reply = Message {
            group: None,
            from: self.me.clone(),
            to: message.from.node,
            to_disk: Some(message.from.disk),
            term: 0,
            body: Body::FoundingReply {
                asker_disk: message.from.disk,
                founded: false,
                spare: true,
            },
        };
        // A lost reply is asked for again.
        let _ = self.outgoing.try_send(reply);
    }

    fn status(&self) -> Status {
        Status {
            told_group: self.group().clone(),
            ..Status::default()
        }
    }

    fn forwards_only(&self) -> bool {
        true
    }

    fn learn_group(&self, group: Vec<NodeId>) {
        *self.group() = group;
    }
}
