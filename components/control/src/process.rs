//! The control process from start to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::{Keys, Settings as Configured};
use errors::{Error, Peer, Result, Step};
use state::{Command, Output};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};
use tracing::info;

use crate::operators::{self, Gate};
use crate::replica::Replica;
use crate::{Machine, Memory, Node, Settings, clock, node, peers};

/// Longest wait for another process to take the lead on a planned stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Wait for answers that are on their way on a planned stop.
const DRAIN: Duration = Duration::from_millis(200);

/// A running control process.
pub struct Process<R> {
    /// What its tasks share.
    pub node: Arc<Node<R>>,
    /// Address of the listener for entries and control processes.
    pub peer_address: SocketAddr,
    /// Address of the HTTP listener for operators.
    pub operators_address: SocketAddr,
    operators: operators::Server,
}

impl<R: Replica<Command = Command, Output = Output>> Process<R> {
    /// Listens on both addresses and starts all tasks on the current runtime.
    ///
    /// # Errors
    /// Fails when an address can't be listened on.
    pub async fn start(
        node: Arc<Node<R>>,
        keys: Keys,
        peer_address: SocketAddr,
        operators_address: SocketAddr,
    ) -> Result<Process<R>> {
        let listen = |address| move |error| Error::Io(Step::Listen, Peer::Address(address), error);
        let listener = TcpListener::bind(peer_address)
            .await
            .map_err(listen(peer_address))?;
        let peer_address = listener.local_addr().map_err(listen(peer_address))?;
        let gate = Gate::start(node.clone(), keys);
        let operators = operators::Server::start(operators_address, gate)?;
        for peer in &node.settings.peers {
            if peer.node != node.settings.node {
                tokio::spawn(peers::keep(node.clone(), peer.clone()));
            }
        }
        tokio::spawn(peers::listen(node.clone(), listener));
        tokio::spawn(node::tell_versions(node.clone()));
        tokio::spawn(node::lead(node.clone()));
        info!(
            "control: listens on {peer_address} for the fleet and on {} for operators",
            operators.address()
        );
        Ok(Process {
            operators_address: operators.address(),
            node,
            peer_address,
            operators,
        })
    }

    /// Stops all tasks; another process takes the lead before if there is one.
    pub async fn stop(self) {
        if self.node.leads() {
            let _ = timeout(TRANSFER_TIMEOUT, self.node.replica.hand_over()).await;
        }
        sleep(DRAIN).await;
        self.node.stopped.send_replace(true);
        self.operators.stop();
        self.node.peers.close();
        info!("control: stopped");
    }
}

/// Runs a control process until SIGTERM or SIGINT.
///
/// # Errors
/// Fails when the process can't listen or take signals.
pub async fn run(settings: Configured, keys: Keys) -> Result<()> {
    let take = |error| Error::Io(Step::Load, Peer::Local, error);
    let mut terminate = signal(SignalKind::terminate()).map_err(take)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(take)?;
    let machine = Machine::default();
    let replica = Memory::new(settings.node.clone(), machine.clone());
    let node = Node::new(
        Settings {
            node: settings.node.clone(),
            incarnation: clock::unix_ms(),
            peers: settings.control_peers.clone(),
            secret: keys.fleet.clone(),
            freshness_lease: settings.control.freshness_lease,
            claim_retention: settings.control.claim_retention,
            ..Settings::default()
        },
        replica,
        machine,
    );
    let peers = SocketAddr::new(settings.address, settings.control.peer_port);
    let operators = SocketAddr::new(settings.address, settings.control.operators_port);
    let process = Process::start(node, keys, peers, operators).await?;
    tokio::select! {
        _ = terminate.recv() => info!("control: SIGTERM, stops"),
        _ = interrupt.recv() => info!("control: SIGINT, stops"),
    }
    process.stop().await;
    Ok(())
}
