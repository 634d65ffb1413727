//! Connections with entries and with the other control processes.

mod forward;
mod group;
mod listener;

pub(crate) use group::follow_group;
pub(crate) use listener::listen;

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::ids::{NodeId, Version};
use config::release::{self, Level};
use config::settings::Peer;
use consensus::Message;
use indexmap::{IndexMap, IndexSet};
use link::{Connection, Incoming};
use state::{Command, Output};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};
use wire::{Answer, Body, CallId, Failure, Push, Request, Role};

use crate::replica::Replica;
use crate::{Node, readable};

/// Delay before a connection is opened again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

/// Open connections of a control process.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Connections that this process opened, by the other control process.
    outgoing: Mutex<IndexMap<NodeId, Connection>>,
    /// Connections that this process accepted, by the order in which they were accepted.
    incoming: Mutex<IndexMap<u64, Connection>>,
    next_number: AtomicU64,
    /// Control processes to which a task keeps a connection open.
    dialers: Mutex<IndexSet<NodeId>>,
}

impl Peers {
    pub(crate) fn outgoing(&self) -> MutexGuard<'_, IndexMap<NodeId, Connection>> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn incoming(&self) -> MutexGuard<'_, IndexMap<u64, Connection>> {
        self.incoming.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a task that keeps a connection to a control process open. Returns false if there
    /// is one already.
    pub(crate) fn register_dialer(&self, node: &NodeId) -> bool {
        let mut dialers = self.dialers.lock().unwrap_or_else(PoisonError::into_inner);
        dialers.insert(node.clone())
    }

    /// Returns one connection to each control process that is connected.
    pub(crate) fn control_connections(&self) -> Vec<Connection> {
        let mut connections = self.outgoing().clone();
        for connection in self.incoming().values() {
            let hello = connection.hello();
            if hello.role == Role::Control && connection.is_open() {
                connections
                    .entry(hello.node.clone())
                    .or_insert(connection.clone());
            }
        }
        connections.into_values().collect()
    }

    /// Returns an open connection to a control process, whichever end opened it.
    fn connection_to(&self, node: &NodeId) -> Option<Connection> {
        let outgoing = self.outgoing().get(node).filter(|c| c.is_open()).cloned();
        let find_incoming = || {
            let incoming = self.incoming();
            let mut open = incoming.values().filter(|c| c.is_open());
            let matches =
                |c: &&Connection| c.hello().role == Role::Control && c.hello().node == *node;
            open.find(matches).cloned()
        };
        outgoing.or_else(find_incoming)
    }

    /// Returns what a control process can read; that of the oldest releases without a connection.
    pub(crate) fn level_of(&self, node: &NodeId) -> Level {
        let connection = self.connection_to(node);
        connection.map_or(release::UNDECLARED, |connection| connection.level())
    }

    /// Returns what all control processes in contact can read; `None` without any.
    pub(crate) fn lowest_level(&self) -> Option<Level> {
        let connections = self.control_connections();
        connections.iter().map(Connection::level).min()
    }

    /// Reports whether a connection to a control process is open.
    pub(crate) fn is_connected(&self, node: &NodeId) -> bool {
        self.connection_to(node).is_some()
    }

    /// Notifies all connected entries that a newer version is committed.
    pub(crate) fn announce_version(&self, version: Version) {
        self.push_to_entries(&Push::Newest(version));
    }

    /// Sends a message to all connected entries.
    pub(crate) fn push_to_entries(&self, push: &Push) {
        for connection in self.incoming().values() {
            if connection.hello().role == Role::Entry {
                connection.push(push.clone());
            }
        }
    }

    /// Sends a message of the replica to its receiver, without log entries that the receiver can't
    /// read. Without a connection it is dropped.
    pub(crate) fn send_replica_message(&self, from: &NodeId, message: Message) {
        let connection = self.connection_to(&message.to);
        let level = connection.as_ref().map_or(0, Connection::level);
        let message = readable::message(message, level);
        let mut bytes = Vec::new();
        match (connection, ciborium::into_writer(&message, &mut bytes)) {
            (Some(connection), Ok(())) => connection.push(Push::Log {
                from: from.clone(),
                message: bytes.into(),
            }),
            (Some(_), Err(error)) => warn!("control: a replica message can't be encoded: {error}"),
            (None, _) => {}
        }
    }

    /// Tells control processes who is in the group, also those in it: one of them may have lost its
    /// disk and know nobody but the processes in its settings.
    pub(super) fn push_group(&self, group: &[NodeId]) {
        for connection in self.control_connections() {
            connection.push(Push::Group(group.to_vec()));
        }
    }

    pub(crate) fn close(&self) {
        let outgoing = self.outgoing();
        let incoming = self.incoming();
        for connection in outgoing.values().chain(incoming.values()) {
            connection.close();
        }
    }
}

/// Keeps a connection to another control process open until this process stops or the other is
/// neither listed in the settings nor in the group.
pub(crate) async fn keep_connection<R>(node: Arc<Node<R>>, peer: Peer)
where
    R: Replica<Command = Command, Output = Output>,
{
    let mut stopped = node.stopped.subscribe();
    while !*node.stopped.borrow() && node.needs_connection(&peer.node) {
        let opened = link::dial(peer.address, &node.identity, node.settings.link).await;
        if let Ok((connection, messages)) = opened {
            info!(
                build = connection.build(),
                level = connection.level(),
                "control: connected to control \"{}\"",
                peer.node
            );
            node.peers
                .outgoing()
                .insert(peer.node.clone(), connection.clone());
            node.announcements.send_all(&connection);
            // The settings of the other one may name no member.
            node.tell_group();
            serve(&node, &connection, messages).await;
            node.peers.outgoing().swap_remove(&peer.node);
        }
        tokio::select! {
            () = sleep(REDIAL_DELAY) => {}
            _ = stopped.wait_for(|stopped| *stopped) => {}
        }
    }
    let mut dialers = node
        .peers
        .dialers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    dialers.swap_remove(&peer.node);
}

async fn serve<R>(
    node: &Arc<Node<R>>,
    connection: &Connection,
    mut messages: mpsc::Receiver<Incoming>,
) where
    R: Replica<Command = Command, Output = Output>,
{
    while let Some(message) = messages.recv().await {
        match message {
            Incoming::Call(id, request, age) => match request.body {
                Body::Hold(deltas) => {
                    node.handle_hold(connection, deltas, age);
                    connection.answer(id, Ok(Answer::Done));
                }
                _ => {
                    tokio::spawn(answer(node.clone(), connection.clone(), id, request));
                }
            },
            Incoming::Push(Push::Log { message, .. }, _) => deliver(node, connection, &message),
            Incoming::Push(push, age) => node.handle_push(connection, push, age),
        }
    }
    connection.close();
}

async fn answer<R>(node: Arc<Node<R>>, connection: Connection, id: CallId, request: Request)
where
    R: Replica<Command = Command, Output = Output>,
{
    let answer = match is_allowed(&connection, &request) {
        true => node.handle(request).await,
        false => Err(Failure::Refused(
            "request is not the sender's to make".into(),
        )),
    };
    connection.answer(id, answer);
}

/// Passes a message of another replica to this process's replica if it comes from the process that
/// it names as its sender.
fn deliver<R>(node: &Node<R>, connection: &Connection, bytes: &[u8])
where
    R: Replica<Command = Command, Output = Output>,
{
    let hello = connection.hello();
    match ciborium::from_reader::<Message, _>(bytes) {
        Ok(message) if hello.role == Role::Control && message.from.node == hello.node => {
            node.replica.deliver(message);
        }
        Ok(_) => warn!(
            "control: refused a replica message from \"{}\": it names another sender",
            hello.node
        ),
        // A release that knows further messages may have sent it; messages may be lost.
        Err(error) => warn!(
            "control: dropped a replica message of \"{}\" that can't be read: {error}",
            hello.node
        ),
    }
}

/// Sends the replica's messages until the process stops.
pub(crate) async fn send_replica_messages<R>(
    node: Arc<Node<R>>,
    mut outgoing: mpsc::Receiver<Message>,
) {
    let mut stopped = node.stopped.subscribe();
    loop {
        tokio::select! {
            message = outgoing.recv() => match message {
                Some(message) => node.peers.send_replica_message(&node.settings.node, message),
                None => return,
            },
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}

/// Reports whether the other end may make the request. An entry may make requests only in its own
/// name, and no operators' requests; a control process may forward any request.
fn is_allowed(connection: &Connection, request: &Request) -> bool {
    let hello = connection.hello();
    match (hello.role, &request.body) {
        (Role::Control, _) => true,
        (
            Role::Entry,
            Body::Submit { .. } | Body::Replace { .. } | Body::Edit { .. } | Body::Query(_),
        ) => false,
        (Role::Entry, _) => {
            request.node == hello.node
                && request.incarnation == hello.incarnation
                && !request.forwarded
        }
    }
}
