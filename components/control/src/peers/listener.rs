//! The listener for entries and the other control processes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use link::{Connection, Incoming};
use state::{Command, Output};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;
use tracing::{info, warn};
use wire::{Push, Role};

use super::serve;
use crate::Node;
use crate::replica::Replica;

/// Maximum number of connections in their handshake at one time.
const MAX_HANDSHAKES: usize = 256;
/// Delay after the listener failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
