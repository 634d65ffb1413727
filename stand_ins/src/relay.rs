//! A TCP relay that can drop, delay or reset the traffic of its connections.

mod admin;
mod direction;
mod mode;

pub use mode::{Mode, Scope};

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::{Lifecycle, web};

/// Number of a connection, counted from 1 in the order of opening.
pub type ConnectionId = u64;

/// A running relay; it is killed when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    target: SocketAddr,
    lifecycle: Lifecycle,
    connections: Mutex<Connections>,
}

#[derive(Debug, Default)]
struct Connections {
    total: ConnectionId,
    new_mode: Mode,
    open: IndexMap<ConnectionId, watch::Sender<Mode>>,
}

impl Relay {
    /// Starts a relay to `target` on a loopback port that the system assigns.
    ///
    /// # Errors
    /// Fails when the listener cannot be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Relay> {
        Relay::start_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target).await
    }

    /// Starts a relay from `listen` to `target`.
    ///
    /// # Errors
    /// Fails when the listener cannot be bound.
    pub async fn start_on(listen: SocketAddr, target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let core = Arc::new(Core {
            target,
            lifecycle: Lifecycle::default(),
            connections: Mutex::default(),
        });
        core.lifecycle.spawn(accept(listener, core.clone()));
        Ok(Relay { address, core })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the lifecycle of the relay.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.core.lifecycle
    }

    /// Sets the mode of the connections in `scope`.
    pub fn set_mode(&self, scope: Scope, mode: Mode) {
        self.core.set_mode(scope, mode);
    }

    /// Returns the open connections.
    pub fn open_connections(&self) -> Vec<ConnectionId> {
        self.core.connections().open.keys().copied().collect()
    }

    /// Returns the number of connections opened since the start.
    pub fn connection_count(&self) -> u64 {
        self.core.connections().total
    }

    /// Serves the admin API on `listen` and returns the address of its listener.
    ///
    /// # Errors
    /// Fails when the listener cannot be bound.
    pub async fn serve_admin(&self, listen: SocketAddr) -> io::Result<SocketAddr> {
        let core = self.core.clone();
        let handler = move |request| admin::handle(core.clone(), request);
        web::serve(listen, self.core.lifecycle.clone(), handler).await
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.core.lifecycle.kill();
    }
}

impl Core {
    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn set_mode(&self, scope: Scope, mode: Mode) {
        let mut connections = self.connections();
        if matches!(scope, Scope::All | Scope::New) {
            connections.new_mode = mode;
        }
        for (id, connection) in &connections.open {
            if scope.covers(*id) {
                connection.send_replace(mode);
            }
        }
    }

    fn register(&self) -> (ConnectionId, watch::Receiver<Mode>) {
        let mut connections = self.connections();
        connections.total += 1;
        let (id, sender) = (connections.total, watch::Sender::new(connections.new_mode));
        let receiver = sender.subscribe();
        connections.open.insert(id, sender);
        (id, receiver)
    }
}

async fn accept(listener: TcpListener, core: Arc<Core>) {
    loop {
        // A failed accept affects one connection only; the next one may succeed.
        let Ok((caller, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let (id, mode) = core.register();
        let task_core = core.clone();
        core.lifecycle.spawn(async move {
            forward(caller, task_core.target, mode).await;
            task_core.connections().open.shift_remove(&id);
        });
    }
}

async fn forward(mut caller: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut resets = mode.clone();
    let connected = tokio::select! {
        connected = TcpStream::connect(target) => connected,
        _ = resets.wait_for(|mode| *mode == Mode::Reset) => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(mut target) = connected else {
        let _ = caller.set_zero_linger();
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let was_reset = {
        let (from_caller, to_caller) = caller.split();
        let (from_target, to_target) = target.split();
        let up = direction::run(from_caller, to_target, mode.clone(), Mode::action_up);
        let down = direction::run(from_target, to_caller, mode, Mode::action_down);
        tokio::select! {
            _ = async { tokio::join!(up, down) } => false,
            reset = resets.wait_for(|mode| *mode == Mode::Reset) => reset.is_ok(),
        }
    };
    if was_reset {
        let _ = caller.set_zero_linger();
        let _ = target.set_zero_linger();
    }
}
