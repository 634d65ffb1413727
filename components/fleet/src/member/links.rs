//! Connections to all control processes, and calls through any of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::ids::NodeId;
use config::settings::Peer;
use errors::{Error, Result, Step};
use indexmap::{IndexMap, IndexSet};
use link::{Connection, Incoming};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{info, warn};
use wire::{Answer, Push, Request};

use super::Shared;

/// Wait before a connection is opened again.
const REDIAL: Duration = Duration::from_millis(200);
/// Wait for an answer before the next control process is asked as well.
const HEDGE: Duration = Duration::from_millis(250);

/// Open connections by control process.
pub(crate) struct Links {
    open: Mutex<IndexMap<NodeId, Connection>>,
    preferred: Mutex<Option<NodeId>>,
    subscribed: Mutex<IndexSet<NodeId>>,
    settings: link::Settings,
}

impl Links {
    pub(crate) fn new(settings: link::Settings) -> Self {
        Links {
            open: Mutex::default(),
            preferred: Mutex::default(),
            subscribed: Mutex::default(),
            settings,
        }
    }

    pub(crate) fn open(&self) -> MutexGuard<'_, IndexMap<NodeId, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the open connections, the one to the last known leader first.
    pub(crate) fn ordered(&self) -> Vec<Connection> {
        let preferred = self.preferred().clone();
        let open = self.open();
        let mut links: Vec<_> = open.iter().collect();
        links.sort_by_key(|(node, _)| Some(*node) != preferred.as_ref());
        links.into_iter().map(|(_, link)| link.clone()).collect()
    }

    pub(crate) fn prefer(&self, leader: NodeId) {
        *self.preferred() = Some(leader);
    }

    /// Sees to it that enough control processes pass announcements on to this entry.
    fn subscribe(&self, wanted: usize) {
        let open = self.open();
        let mut subscribed = self
            .subscribed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        subscribed.retain(|node| open.get(node).is_some_and(Connection::is_open));
        for (node, link) in open.iter().filter(|(_, link)| link.is_open()) {
            if subscribed.len() >= wanted {
                return;
            }
            if subscribed.insert(node.clone()) {
                link.push(Push::Subscribe);
            }
        }
    }

    fn lost(&self, node: &NodeId) {
        self.open().swap_remove(node);
        let mut subscribed = self
            .subscribed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        subscribed.swap_remove(node);
    }

    pub(crate) fn close(&self) {
        for link in self.open().values() {
            link.close();
        }
    }

    pub(crate) fn push_all(&self, push: &Push) {
        for link in self.open().values() {
            link.push(push.clone());
        }
    }

    /// Asks one control process after the other until one answers. The request must be one that
    /// may arrive twice.
    pub(crate) async fn call(&self, request: Request, limit: Duration) -> Result<Answer> {
        let deadline = Instant::now() + limit;
        let mut left = self.ordered().into_iter();
        let mut calls = JoinSet::new();
        let mut next = Instant::now();
        let mut last = None;
        loop {
            tokio::select! {
                () = sleep_until(next), if left.len() > 0 => {
                    let (link, request) = (left.next(), request.clone());
                    if let Some(link) = link {
                        calls.spawn(async move { link.call(request, limit).await });
                    }
                    next = Instant::now() + HEDGE;
                }
                Some(Ok(answer)) = calls.join_next() => match answer {
                    Ok(answer) => return Ok(answer),
                    Err(error) => {
                        last = Some(error);
                        next = Instant::now();
                    }
                },
                () = sleep_until(deadline) => break,
                else => break,
            }
        }
        let peer = errors::Peer::Named("control".into());
        Err(last.unwrap_or(Error::Timeout(Step::Connect, peer, limit)))
    }

    fn preferred(&self) -> MutexGuard<'_, Option<NodeId>> {
        self.preferred
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Opens connections to control processes that joined the group.
    fn follow_group(self: &Arc<Self>, group: Vec<NodeId>) {
        let Some(port) = self.settings.peer_port else {
            return;
        };
        let address = |name: &NodeId| Some(SocketAddr::new(name.parse().ok()?, port));
        let peer = |node: &NodeId| {
            let address = address(node)?;
            Some(Peer {
                node: node.clone(),
                address,
                operators: address,
            })
        };
        let mut known = self.group.lock().unwrap_or_else(PoisonError::into_inner);
        for peer in group.iter().filter_map(peer) {
            if !known.contains(&peer.node) && !self.settings.peers.contains(&peer) {
                tokio::spawn(keep(self.clone(), peer));
            }
        }
        *known = group.into_iter().collect();
    }

    /// Reports whether a connection to a control process is to be kept open.
    fn keeps(&self, peer: &Peer) -> bool {
        let group = self.group.lock().unwrap_or_else(PoisonError::into_inner);
        self.settings.peers.contains(peer) || group.contains(&peer.node)
    }
}

/// Keeps a connection to one control process open until the member stops, or the process is no
/// longer in the group.
pub(crate) async fn keep(shared: Arc<Shared>, peer: Peer) {
    let mut stopped = shared.stopped.subscribe();
    let mut failed = false;
    while !*shared.stopped.borrow() && shared.keeps(&peer) {
        match link::dial(peer.address, &shared.identity, shared.links.settings).await {
            Ok((connection, messages)) => {
                info!("fleet: connected to control \"{}\"", peer.node);
                failed = false;
                serve(&shared, &peer, connection, messages).await;
            }
            Err(error) if !failed => {
                warn!("fleet: no connection to control \"{}\": {error}", peer.node);
                failed = true;
            }
            Err(_) => {}
        }
        tokio::select! {
            () = sleep(REDIAL) => {}
            _ = stopped.wait_for(|stopped| *stopped) => {}
        }
    }
}

async fn serve(
    shared: &Arc<Shared>,
    peer: &Peer,
    connection: Connection,
    mut messages: mpsc::Receiver<Incoming>,
) {
    shared
        .links
        .open()
        .insert(peer.node.clone(), connection.clone());
    shared.links.subscribe(shared.settings.subscriptions);
    shared.introduce(&connection);
    shared.ask.notify_one();
    while let Some(message) = messages.recv().await {
        match message {
            Incoming::Push(Push::Newest(version), _) if version > shared.freshness().holds() => {
                shared.ask.notify_one();
            }
            Incoming::Push(Push::Upstreams(deltas), age) => {
                shared.learn(deltas, age, &connection);
            }
            Incoming::Push(Push::Group(group), _) => shared.follow_group(group),
            Incoming::Push(Push::Draining(upstreams), _) => shared.drain(upstreams),
            Incoming::Push(Push::Missing(upstreams), _) => {
                shared.repeat(&upstreams, &connection);
            }
            _ => {}
        }
    }
    connection.close();
    shared.links.lost(&peer.node);
    shared.links.subscribe(shared.settings.subscriptions);
}
