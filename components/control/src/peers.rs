//! Connections with entries and with the other control processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::ids::{NodeId, Version};
use config::release::{self, Level};
use config::settings::Peer;
use consensus::Message;
use errors::Step;
use indexmap::{IndexMap, IndexSet};
use link::{Connection, Incoming};
use state::{Command, Output};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;
use tracing::{info, warn};
use wire::{Answer, Body, Failure, Push, Request, Role};

use crate::replica::Replica;
use crate::{Node, readable};

/// Time between two checks of the group's members.
const GROUP_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a connection is opened again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a request that is forwarded to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time added to an operator's wait when a submission is forwarded to the leader.
const SUBMIT_MARGIN: Duration = Duration::from_secs(3);
/// Maximum number of connections in their handshake at one time.
const MAX_HANDSHAKES: usize = 256;
/// Delay after the listener failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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

    /// Forwards a request to the leader.
    pub(crate) async fn forward(
        &self,
        leader: &NodeId,
        request: Request,
    ) -> Result<Answer, Failure> {
        let connection = self.connection_to(leader);
        let Some(connection) = connection else {
            return Err(Failure::NoLeader);
        };
        let limit = forward_limit(&request.body);
        let request = Request {
            forwarded: true,
            ..request
        };
        let (fetches, held) = match request.body {
            Body::Confirm { version, fetches } => (fetches, version),
            _ => (false, 0),
        };
        match connection.call(request, limit).await {
            Ok(answer) => {
                if let Answer::FreshnessLease(lease) = &answer
                    && fetches
                    && lease.version > held
                    && lease.source.is_none()
                {
                    // A leader that declares nothing, and leaves texts to be fetched.
                    connection.raise_level(release::EDITS);
                }
                Ok(answer)
            }
            Err(error) if error.step() == Step::Route => Err(Failure::NoLeader),
            Err(errors::Error::Invalid(_, _, reason)) => Err(Failure::Refused(reason.into())),
            Err(error) => Err(Failure::Uncertain(error.to_string().into())),
        }
    }

    /// Forwards a request to one member of the group after the other until one of them, or the leader
    /// to which it passes the request on, answers. It is never forwarded to another process that
    /// forwards only.
    pub(crate) async fn forward_to_group(
        &self,
        group: &[NodeId],
        request: Request,
    ) -> Result<Answer, Failure> {
        if request.forwarded {
            return Err(Failure::NoLeader);
        }
        let limit = forward_limit(&request.body);
        // Releases before the declaration don't tell the group, and none of them forwards only.
        let is_member = |connection: &Connection| {
            group.contains(&connection.hello().node) || connection.level() < release::DECLARED
        };
        let connections = self.control_connections();
        for connection in connections.into_iter().filter(is_member) {
            match connection.call(request.clone(), limit).await {
                Ok(answer) => return Ok(answer),
                Err(error) if error.step() == Step::Route => {}
                Err(errors::Error::Invalid(_, _, reason)) => {
                    return Err(Failure::Refused(reason.into()));
                }
                Err(error) => return Err(Failure::Uncertain(error.to_string().into())),
            }
        }
        Err(Failure::NoLeader)
    }

    /// Tells control processes who is in the group, `all` of them or those that are not.
    fn push_group(&self, group: &[NodeId], all: bool) {
        for connection in self.incoming().values() {
            let hello = connection.hello();
            if hello.role == Role::Control && (all || !group.contains(&hello.node)) {
                connection.push(Push::Group(group.to_vec()));
            }
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

/// Returns the longest wait for the answer to a request that is forwarded.
fn forward_limit(body: &Body) -> Duration {
    match body {
        Body::Submit { wait_ms, .. }
        | Body::Replace { wait_ms, .. }
        | Body::Edit { wait_ms, .. } => Duration::from_millis(*wait_ms) + SUBMIT_MARGIN,
        _ => FORWARD_TIMEOUT,
    }
}

/// Accepts connections until the process stops.
pub(crate) async fn listen<R>(node: Arc<Node<R>>, listener: TcpListener)
where
    R: Replica<Command = Command, Output = Output>,
{
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let mut stopped = node.stopped.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        match (accepted, handshakes.clone().try_acquire_owned()) {
            (Ok((stream, _)), Ok(permit)) => {
                let node = node.clone();
                tokio::spawn(async move {
                    let opened = accept(&node, stream).await;
                    drop(permit);
                    if let Some((connection, messages)) = opened {
                        serve_accepted(node, connection, messages).await;
                    }
                });
            }
            (Ok((_, address)), Err(_)) => {
                warn!(
                    "control: refused {address}: {MAX_HANDSHAKES} connections are in their handshake"
                );
            }
            (Err(error), _) => {
                warn!("control: accepting a connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept<R>(
    node: &Node<R>,
    stream: TcpStream,
) -> Option<(Connection, mpsc::Receiver<Incoming>)> {
    match link::accept(stream, &node.identity, node.settings.link).await {
        Ok(opened) => Some(opened),
        Err(error) => {
            warn!("control: refused a connection: {error}");
            None
        }
    }
}

async fn serve_accepted<R>(
    node: Arc<Node<R>>,
    connection: Connection,
    messages: mpsc::Receiver<Incoming>,
) where
    R: Replica<Command = Command, Output = Output>,
{
    let number = node.peers.next_number.fetch_add(1, Ordering::Relaxed);
    let name = connection.hello().node.clone();
    info!(
        build = connection.build(),
        level = connection.level(),
        "control: \"{name}\" connected"
    );
    node.peers.incoming().insert(number, connection.clone());
    if connection.hello().role == Role::Entry {
        let draining = crate::node::draining(&node.machine.read());
        connection.push(Push::Draining(draining));
        connection.push(Push::Group(node.group()));
    } else {
        node.tell_group();
    }
    serve(&node, &connection, messages).await;
    node.peers.incoming().swap_remove(&number);
    node.announcements.unsubscribe(&connection);
    info!("control: \"{name}\" disconnected");
}

/// Opens connections to control processes that join the group, if they are named by their IP
/// addresses, and notifies the entries of the group's members.
pub(crate) async fn follow_group<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let mut known_group = Vec::new();
    while !*node.stopped.borrow() {
        sleep(GROUP_POLL_INTERVAL).await;
        let group = node.group();
        if group == known_group {
            continue;
        }
        info!("control: group members: {}", group.join(", "));
        node.peers.push_to_entries(&Push::Group(group.clone()));
        node.tell_group();
        for peer in group.iter().filter_map(|name| node.peer(name)) {
            if node.peers.register_dialer(&peer.node) {
                tokio::spawn(keep_connection(node.clone(), peer));
            }
        }
        known_group = group;
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns the voters and learners of the group, sorted, or those that another process named.
    pub(crate) fn group(&self) -> Vec<NodeId> {
        let status = self.replica.status();
        let mut group = [status.voters, status.learners, status.told_group].concat();
        group.sort_unstable();
        group.dedup();
        group
    }

    /// Tells control processes outside the group who is in it. A process that forwards only tells all,
    /// as it may be the only one that a member without its disk is told of.
    fn tell_group(&self) {
        let group = self.group();
        if !group.is_empty() {
            let all = self.replica.forwards_only();
            self.peers.push_group(&group, all);
        }
    }

    /// Returns the addresses of a control process that is named by its IP address.
    fn peer(&self, name: &NodeId) -> Option<Peer> {
        let port = self.settings.peer_port?;
        let address = SocketAddr::new(name.parse().ok()?, port);
        Some(Peer {
            node: name.clone(),
            address,
            operators: address,
        })
    }

    /// Reports whether a connection to a control process has to be kept open.
    fn needs_connection(&self, node: &NodeId) -> bool {
        let mut listed = self.settings.peers.iter();
        listed.any(|other| other.node == *node) || self.group().contains(node)
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
            Incoming::Call(id, request, _) => {
                let (node, connection) = (node.clone(), connection.clone());
                tokio::spawn(async move {
                    let answer = match is_allowed(&connection, &request) {
                        true => node.handle(request).await,
                        false => Err(Failure::Refused(
                            "request is not the sender's to make".into(),
                        )),
                    };
                    connection.answer(id, answer);
                });
            }
            Incoming::Push(Push::Log { message, .. }, _) => deliver(node, connection, &message),
            Incoming::Push(push, age) => node.handle_push(connection, push, age),
        }
    }
    connection.close();
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
