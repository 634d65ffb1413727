//! Connections to all control processes, and calls over any of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::ids::NodeId;
use config::release::{self, Level};
use config::settings::Peer;
use errors::{Error, Result, Step};
use indexmap::{IndexMap, IndexSet};
use link::{Connection, Incoming};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{info, warn};
use upstream::StreamKey;
use wire::{Answer, Push, Request};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Shared;

/// Time since a connection was opened before it is preferred for a subscription: a control process that
/// has just started knows few upstreams.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Delay before a connection is opened again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Time without an answer after which a call is also sent to the next control process.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Open connections, by control process.
pub(crate) struct Links {
    connections: Mutex<IndexMap<NodeId, Connection>>,
    /// Last known leader of the control group.
    leader: Mutex<Option<NodeId>>,
    subscribed: Mutex<IndexSet<NodeId>>,
    /// Control processes to which a connection has been open for [`SETTLING_TIME`].
    settled: Mutex<IndexSet<NodeId>>,
    settings: link::Settings,
}

impl Links {
    pub(crate) fn new(settings: link::Settings) -> Self {
        Links {
            connections: Mutex::default(),
            leader: Mutex::default(),
            subscribed: Mutex::default(),
            settled: Mutex::default(),
            settings,
        }
    }

    pub(crate) fn connections(&self) -> MutexGuard<'_, IndexMap<NodeId, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the open connections, starting with the one to the last known leader.
    pub(crate) fn leader_first(&self) -> Vec<Connection> {
        let leader = self.leader().clone();
        let connections = self.connections();
        let mut links: Vec<_> = connections.iter().collect();
        links.sort_by_key(|(node, _)| Some(*node) != leader.as_ref());
        links.into_iter().map(|(_, link)| link.clone()).collect()
    }

    /// Returns the open connections in the order in which the control processes hold the records of
    /// a stream. It is the same at all entries, by rendezvous hashing.
    pub(crate) fn holders(&self, key: &StreamKey) -> Vec<Connection> {
        self.ordered(|node| xxh3_64_with_seed(node.as_bytes(), key.seed()))
    }

    /// Records that the leader, which may declare nothing, has shown that it can read a level.
    pub(crate) fn raise_level_of(&self, node: &NodeId, level: Level) {
        if let Some(link) = self.connections().get(node) {
            link.raise_level(level);
        }
    }

    /// Returns the open connections over which this entry fetches texts.
    pub(crate) fn text_sources(&self, entry: &NodeId) -> Vec<Connection> {
        let sources = self.spread(entry).into_iter();
        sources
            .filter_map(|(_, link)| (link.level() >= release::EDITS).then_some(link))
            .collect()
    }

    /// Returns the open connections in an order that spreads the entries over the control processes,
    /// by rendezvous hashing, with the leader last, as it has other work to do.
    fn spread(&self, entry: &NodeId) -> Vec<(NodeId, Connection)> {
        let leader = self.leader().clone();
        let seed = xxh3_64(entry.as_bytes());
        self.ordered_by_name(|node| {
            let is_leader = Some(node) == leader.as_ref();
            (is_leader, xxh3_64_with_seed(node.as_bytes(), seed))
        })
    }

    /// Returns the open connections, ordered by a key of the control process.
    fn ordered<K: Ord>(&self, key: impl Fn(&NodeId) -> K) -> Vec<Connection> {
        let ordered = self.ordered_by_name(key).into_iter();
        ordered.map(|(_, link)| link).collect()
    }

    /// Returns the open connections with the names of the control processes, ordered by a key of these.
    fn ordered_by_name<K: Ord>(&self, key: impl Fn(&NodeId) -> K) -> Vec<(NodeId, Connection)> {
        let connections = self.connections();
        let open = connections.iter().filter(|(_, link)| link.is_open());
        let mut ordered: Vec<_> = open
            .map(|(node, link)| (node.clone(), link.clone()))
            .collect();
        ordered.sort_by_cached_key(|(node, _)| key(node));
        ordered
    }

    pub(crate) fn set_leader(&self, leader: NodeId) {
        *self.leader() = Some(leader);
    }

    /// Subscribes `entry` to announcements from up to `wanted` control processes, and cancels its other
    /// subscriptions. Each entry prefers others, so that none of them relays to most of the entries.
    fn subscribe(&self, entry: &NodeId, wanted: usize) {
        // Locked first, so that of two changes the later one decides.
        let mut subscribed = self
            .subscribed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut spread = self.spread(entry);
        let settled = self.settled().clone();
        spread.sort_by_key(|(node, _)| !settled.contains(node));
        subscribed.retain(|node| spread.iter().any(|(open, _)| open == node));
        for (index, (node, link)) in spread.iter().enumerate() {
            if index < wanted && subscribed.insert(node.clone()) {
                link.push(Push::Subscribe);
            } else if index >= wanted && subscribed.swap_remove(node) {
                link.push(Push::Unsubscribe);
            }
        }
    }

    fn remove(&self, node: &NodeId) {
        self.connections().swap_remove(node);
        self.settled().swap_remove(node);
        let mut subscribed = self
            .subscribed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        subscribed.swap_remove(node);
    }

    pub(crate) fn close(&self) {
        for link in self.connections().values() {
            link.close();
        }
    }

    /// Sends a request to one control process after the other until one answers. The request must
    /// be idempotent, since more than one of them may receive it.
    ///
    /// # Errors
    /// If no control process answers within `limit`: the last error, or a timeout.
    pub(crate) async fn call(&self, request: Request, limit: Duration) -> Result<Answer> {
        let deadline = Instant::now() + limit;
        let mut untried = self.leader_first().into_iter();
        let mut calls = JoinSet::new();
        let mut next_attempt = Instant::now();
        let mut last_error = None;
        loop {
            tokio::select! {
                () = sleep_until(next_attempt), if untried.len() > 0 => {
                    let (link, request) = (untried.next(), request.clone());
                    if let Some(link) = link {
                        calls.spawn(async move { link.call(request, limit).await });
                    }
                    next_attempt = Instant::now() + HEDGE_DELAY;
                }
                Some(Ok(answer)) = calls.join_next() => match answer {
                    Ok(answer) => return Ok(answer),
                    Err(error) => {
                        last_error = Some(error);
                        next_attempt = Instant::now();
                    }
                },
                // Disabled once all attempts have failed: the call then ends before the deadline.
                () = sleep_until(deadline), if untried.len() > 0 || !calls.is_empty() => break,
                else => break,
            }
        }
        let peer = errors::Peer::Name("control".into());
        Err(last_error.unwrap_or(Error::Timeout(Step::Connect, peer, limit)))
    }

    fn settled(&self) -> MutexGuard<'_, IndexSet<NodeId>> {
        self.settled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leader(&self) -> MutexGuard<'_, Option<NodeId>> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Subscribes to announcements from as many control processes as the settings say.
    fn subscribe(&self) {
        let settings = &self.settings;
        self.links.subscribe(&settings.node, settings.subscriptions);
    }

    /// Replaces the members of the group, and connects to those that joined.
    fn update_group(self: &Arc<Self>, group: Vec<NodeId>) {
        let Some(port) = self.settings.peer_port else {
            return;
        };
        let peer = |node: &NodeId| {
            let address = SocketAddr::new(node.parse().ok()?, port);
            Some(Peer {
                node: node.clone(),
                address,
                operators: address,
            })
        };
        for peer in group.iter().filter_map(peer) {
            if self.register_link(&peer.node) {
                tokio::spawn(maintain(self.clone(), peer));
            }
        }
        *self.group() = group.into_iter().collect();
    }

    /// Registers the task that maintains the connection to a control process. Returns whether there
    /// was none, so that the caller has to spawn it.
    pub(crate) fn register_link(&self, node: &NodeId) -> bool {
        let mut linked = self.linked.lock().unwrap_or_else(PoisonError::into_inner);
        linked.insert(node.clone())
    }

    /// Reports whether a control process is listed in the settings or belongs to the group.
    fn is_peer(&self, node: &NodeId) -> bool {
        let is_listed = self.settings.peers.iter().any(|peer| peer.node == *node);
        is_listed || self.group().contains(node)
    }

    pub(crate) fn group(&self) -> MutexGuard<'_, IndexSet<NodeId>> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Maintains the connection to a control process until the member stops, or the process is no
/// longer one of its peers.
pub(crate) async fn maintain(shared: Arc<Shared>, peer: Peer) {
    let mut stopped = shared.stopped.subscribe();
    let mut failed = false;
    while !*shared.stopped.borrow() && shared.is_peer(&peer.node) {
        match link::dial(peer.address, &shared.identity, shared.links.settings).await {
            Ok((connection, messages)) => {
                info!(
                    build = connection.build(),
                    level = connection.level(),
                    "fleet: connected to control \"{}\"",
                    peer.node
                );
                failed = false;
                receive(&shared, &peer, connection, messages).await;
            }
            Err(error) if !failed => {
                warn!("fleet: can't connect to control \"{}\": {error}", peer.node);
                failed = true;
            }
            Err(_) => {}
        }
        tokio::select! {
            () = sleep(REDIAL_DELAY) => {}
            _ = stopped.wait_for(|stopped| *stopped) => {}
        }
    }
    let mut linked = shared.linked.lock().unwrap_or_else(PoisonError::into_inner);
    linked.swap_remove(&peer.node);
}

/// Handles the messages of an open connection until it is closed.
async fn receive(
    shared: &Arc<Shared>,
    peer: &Peer,
    connection: Connection,
    mut messages: mpsc::Receiver<Incoming>,
) {
    shared
        .links
        .connections()
        .insert(peer.node.clone(), connection.clone());
    shared.subscribe();
    shared.send_all(&connection);
    shared.confirm_now.notify_one();
    let settling = sleep(SETTLING_TIME);
    tokio::pin!(settling);
    loop {
        let message = tokio::select! {
            message = messages.recv() => message,
            () = &mut settling, if !shared.links.settled().contains(&peer.node) => {
                shared.links.settled().insert(peer.node.clone());
                shared.subscribe();
                continue;
            }
        };
        let Some(message) = message else { break };
        match message {
            Incoming::Push(Push::Newest(version), _) if version > shared.freshness().version() => {
                shared.hear(version, &peer.node);
                shared.confirm_now.notify_one();
            }
            Incoming::Push(Push::Upstreams(deltas), age) => {
                shared.apply_deltas(deltas, age, &connection);
            }
            Incoming::Call(id, request, age) => {
                connection.answer(id, shared.answer(request.body, age, &connection));
            }
            Incoming::Push(Push::Group(group), _) => shared.update_group(group),
            Incoming::Push(Push::Draining(upstreams), _) => shared.set_draining(upstreams),
            Incoming::Push(Push::Missing(upstreams), _) => {
                shared.send_full(&upstreams, &connection);
            }
            _ => {}
        }
    }
    connection.close();
    shared.links.remove(&peer.node);
    shared.subscribe();
}
