//! Start and stop of the control process.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::time::Duration;

use config::text::Parser;
use config::{Keys, Settings as ConfigSettings};
use errors::{Error, Peer, Result, Step};
use state::{Command, Output};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tracing::{error, info};

use crate::external::Protocol;
use crate::operators::{self, Handle};
use crate::replica::{ConsensusReplica, ForwardingReplica, Replica};
use crate::{Machine, Node, Settings, announcements, clock, duties, external, node, orders, peers};

/// Folder of the files with the software versions at which streams began, in the data folder.
const ORIGINS_FOLDER: &str = "origins";
/// Longest wait for a transfer of leadership on a planned stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which answers are still sent on a planned stop.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// Maximum number of messages of the replica that wait to be sent.
const MESSAGE_QUEUE_LENGTH: usize = 1_024;

/// Listening sockets of a control process.
#[derive(Debug)]
pub struct Sockets {
    peers: StdListener,
    operators: Option<StdListener>,
}

impl Sockets {
    /// Listens on both addresses; for port 0 the system chooses a port.
    ///
    /// # Errors
    /// Fails when an address can't be listened on.
    pub fn bind(peers: SocketAddr, operators: SocketAddr) -> Result<Sockets> {
        Sockets::bind_some(peers, Some(operators))
    }

    fn bind_some(peers: SocketAddr, operators: Option<SocketAddr>) -> Result<Sockets> {
        let bind = |address| {
            StdListener::bind(address)
                .map_err(|error| Error::Io(Step::Listen, Peer::Address(address), error))
        };
        Ok(Sockets {
            peers: bind(peers)?,
            operators: operators.map(bind).transpose()?,
        })
    }

    /// Returns the addresses of the listeners for peers and for operators.
    ///
    /// # Errors
    /// Fails when the operating system can't report the address of a socket.
    pub fn addresses(&self) -> Result<(SocketAddr, Option<SocketAddr>)> {
        let address = |listener: &StdListener| {
            let address = listener.local_addr();
            address.map_err(|error| Error::Io(Step::Listen, Peer::Local, error))
        };
        let operators = self.operators.as_ref().map(address).transpose()?;
        Ok((address(&self.peers)?, operators))
    }

    fn into_listeners(self) -> Result<(TcpListener, Option<StdListener>)> {
        let wrap = |error| Error::Io(Step::Listen, Peer::Local, error);
        self.peers.set_nonblocking(true).map_err(wrap)?;
        let peers = TcpListener::from_std(self.peers).map_err(wrap)?;
        Ok((peers, self.operators))
    }
}

/// A running control process.
pub struct Process<R> {
    /// State that the tasks share.
    pub node: Arc<Node<R>>,
    /// Address of the listener for entries and control processes.
    pub peer_address: SocketAddr,
    /// Address of the HTTP listener for operators; `None` if an external API replaces it.
    pub operators_address: Option<SocketAddr>,
    operators: Option<operators::Server>,
}

impl<R: Replica<Command = Command, Output = Output>> Process<R> {
    /// Serves on the sockets, and starts all tasks on the current runtime.
    ///
    /// # Errors
    /// Fails when a socket can't be served.
    pub fn start(node: Arc<Node<R>>, keys: Keys, sockets: Sockets) -> Result<Process<R>> {
        let (peer_address, operators_address) = sockets.addresses()?;
        let (listener, operators) = sockets.into_listeners()?;
        let serve = |listener| {
            let handle = Handle::start(node.clone(), keys);
            operators::Server::start(listener, handle, node.settings.max_connections)
        };
        let operators = operators.map(serve).transpose()?;
        // Registered for this process itself, so that it opens no connection to itself.
        node.peers.register_dialer(&node.settings.node);
        for peer in &node.settings.peers {
            if node.peers.register_dialer(&peer.node) {
                tokio::spawn(peers::keep_connection(node.clone(), peer.clone()));
            }
        }
        tokio::spawn(peers::listen(node.clone(), listener));
        tokio::spawn(peers::follow_group(node.clone()));
        tokio::spawn(announcements::run(node.clone()));
        tokio::spawn(announcements::run_outbox(node.clone()));
        tokio::spawn(announcements::run_leaves(node.clone()));
        tokio::spawn(node::notify_entries(node.clone()));
        tokio::spawn(node::run_leader_tasks(node.clone()));
        tokio::spawn(node::run_rollouts(node.clone()));
        if !node.replica.forwards_only() {
            tokio::spawn(node::watch_quorum(node.clone()));
        }
        let operators_note = operators_address.map_or(String::new(), |address| {
            format!(" and on {address} for operators")
        });
        info!(
            "control: listens on {peer_address} for entries and control processes{operators_note}"
        );
        if operators_address.is_some() {
            // Orders for single instances exist only in Chervilloft's own cloud API. A platform's
            // cloud API accepts a number of instances per service and slot, which the duties send.
            tokio::spawn(orders::run(node.clone()));
        }
        Ok(Process {
            operators_address,
            node,
            peer_address,
            operators,
        })
    }

    /// Transfers leadership to another process if there is one, then stops all tasks.
    pub async fn stop(self) {
        if self.node.leads() {
            let _ = timeout(TRANSFER_TIMEOUT, self.node.replica.transfer_leadership()).await;
        }
        sleep(ANSWER_GRACE_PERIOD).await;
        self.node.forward_changes();
        self.abort();
    }

    /// Stops all tasks without a transfer of leadership, like a crash.
    pub fn abort(self) {
        self.node.stopped.send_replace(true);
        if let Some(operators) = &self.operators {
            operators.stop();
        }
        self.node.peers.close();
        info!("control: stopped");
    }
}

/// Listener for upstreams and operators of a platform that has its own protocol.
#[derive(Clone)]
pub struct ExternalApi {
    /// Protocol of the platform.
    pub protocol: Arc<dyn Protocol>,
    /// Address to listen on.
    pub address: SocketAddr,
}

/// Runs a control process until SIGTERM or SIGINT. If `external` is set, its listener replaces the
/// one for operators.
///
/// # Errors
/// Fails when the process can't listen or handle signals, or when its data folder fails.
pub async fn run(
    settings: ConfigSettings,
    keys: Keys,
    external: Option<ExternalApi>,
) -> Result<()> {
    let wrap = |error| Error::Io(Step::Load, Peer::Local, error);
    let signals = Signals {
        terminate: signal(SignalKind::terminate()).map_err(wrap)?,
        interrupt: signal(SignalKind::interrupt()).map_err(wrap)?,
        reload: signal(SignalKind::hangup()).map_err(wrap)?,
    };
    let peers = SocketAddr::new(settings.address, settings.control.peer_port);
    let operators = SocketAddr::new(settings.address, settings.control.operators_port);
    let sockets = Sockets::bind_some(peers, external.is_none().then_some(operators))?;
    let parser = external.as_ref().map(|external| external.protocol.parser());
    if settings.control.forwards_only {
        let process = start_forwarding(&settings, keys, sockets, parser)?;
        let (_never_fails, failure) = oneshot::channel();
        return serve(process, external, failure, signals).await;
    }
    let (process, failure) = start_group_with_parser(&settings, keys, sockets, parser)?;
    serve(process, external, failure, signals).await
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// Serves until a signal ends the process, or its replica ends.
async fn serve<R>(
    process: Process<R>,
    external: Option<ExternalApi>,
    mut failure: oneshot::Receiver<Error>,
    mut signals: Signals,
) -> Result<()>
where
    R: Replica<Command = Command, Output = Output>,
{
    let server = match external {
        Some(external) => Some(serve_external(&process.node, external)?),
        None => None,
    };
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => {
                info!("control: received SIGTERM, stopping");
                break;
            }
            _ = signals.interrupt.recv() => {
                info!("control: received SIGINT, stopping");
                break;
            }
            _ = signals.reload.recv() => info!(
                "control: received SIGHUP, settings take effect at the next start"
            ),
            Ok(failed) = &mut failure => {
                error!("control: the replica ended: {failed}");
                return Err(failed);
            }
        }
    }
    if let Some(server) = server {
        server.stop();
    }
    process.stop().await;
    Ok(())
}

fn serve_external<R>(node: &Arc<Node<R>>, external: ExternalApi) -> Result<web::Server>
where
    R: Replica<Command = Command, Output = Output>,
{
    tokio::spawn(duties::run(node.clone(), external.protocol.clone()));
    let server = external::start(node.clone(), external.protocol, external.address)?;
    info!(
        "control: listens on {} for upstreams and operators",
        external.address
    );
    Ok(server)
}

/// Starts a process that takes part in a control group. The receiver gets the error that ends the
/// replica; the process must end then.
///
/// # Errors
/// Fails when the data folder or a socket can't be used.
pub fn start_group(
    settings: &ConfigSettings,
    keys: Keys,
    sockets: Sockets,
) -> Result<(Process<ConsensusReplica<Machine>>, oneshot::Receiver<Error>)> {
    start_group_with_parser(settings, keys, sockets, None)
}

/// Like [`start_group`], with a parser of the operators' text in place of the default.
///
/// # Errors
/// If the data folder or a socket can't be used.
pub fn start_group_with_parser(
    settings: &ConfigSettings,
    keys: Keys,
    sockets: Sockets,
    parser: Option<Parser>,
) -> Result<(Process<ConsensusReplica<Machine>>, oneshot::Receiver<Error>)> {
    let machine = Machine::default();
    let (outgoing, messages) = mpsc::channel(MESSAGE_QUEUE_LENGTH);
    let (replica, failure) = ConsensusReplica::start(settings.into(), machine.clone(), outgoing)?;
    let own_settings = Settings {
        origins_folder: Some(settings.data_folder.join(ORIGINS_FOLDER)),
        ..own_settings(settings, &keys, parser)
    };
    let node = Node::new(own_settings, replica, machine);
    tokio::spawn(peers::send_replica_messages(node.clone(), messages));
    let process = Process::start(node, keys, sockets)?;
    Ok((process, failure))
}

/// Starts a process that keeps no log and forwards all requests to the group.
///
/// # Errors
/// If a socket can't be used.
pub fn start_forwarding(
    settings: &ConfigSettings,
    keys: Keys,
    sockets: Sockets,
    parser: Option<Parser>,
) -> Result<Process<ForwardingReplica>> {
    let (outgoing, messages) = mpsc::channel(MESSAGE_QUEUE_LENGTH);
    let replica = ForwardingReplica::new(settings.node.clone(), outgoing);
    let own_settings = own_settings(settings, &keys, parser);
    let node = Node::new(own_settings, replica, Machine::default());
    tokio::spawn(peers::send_replica_messages(node.clone(), messages));
    Process::start(node, keys, sockets)
}

fn own_settings(settings: &ConfigSettings, keys: &Keys, parser: Option<Parser>) -> Settings {
    let defaults = Settings::default();
    Settings {
        node: settings.node.clone(),
        incarnation: clock::unix_ms(),
        peers: settings.controls(),
        peer_port: (!settings.seeds.is_empty()).then_some(settings.control.peer_port),
        parser: parser.unwrap_or(defaults.parser),
        usage: settings.control.usage,
        limit_window: settings.control.limit_window,
        secret: keys.fleet.clone(),
        freshness_lease: settings.control.freshness_lease,
        leader_lease: settings.control.election_timeout,
        cloud: settings.control.cloud,
        claim_retention: settings.control.claim_retention,
        budget_bytes: settings.machine.budget_bytes(),
        max_connections: settings.machine.max_connections(),
        ..defaults
    }
}
