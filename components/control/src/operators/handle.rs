//! Passes requests from the HTTP server's threads to the runtime of the control process.

use std::sync::Arc;

use config::Keys;
use state::{Command, Output};
use tokio::sync::{mpsc, oneshot};
use wire::{Answer, Body, Failure, Request};

use crate::replica::Replica;
use crate::{Metrics, Node};

/// Maximum number of operators' requests that wait to be handled.
const QUEUE_LENGTH: usize = 64;

/// A request, and the sender for its answer.
type QueuedRequest = (Body, oneshot::Sender<Result<Answer, Failure>>);

/// A handle through which HTTP handlers send requests to the node. It is cheap to clone.
#[derive(Clone)]
pub struct Handle {
    pub(super) keys: Arc<Keys>,
    pub(super) metrics: Metrics,
    pub(super) budget: web::Budget,
    requests: mpsc::Sender<QueuedRequest>,
}

impl Handle {
    /// Starts the task that answers requests.
    pub fn start<R>(node: Arc<Node<R>>, keys: Keys) -> Handle
    where
        R: Replica<Command = Command, Output = Output>,
    {
        let (requests, receiver) = mpsc::channel(QUEUE_LENGTH);
        let handle = Handle {
            keys: Arc::new(keys),
            metrics: node.metrics.clone(),
            budget: node.budget.clone(),
            requests,
        };
        tokio::spawn(answer(node, receiver));
        handle
    }

    /// Sends a request to the node, which forwards it to the leader if necessary.
    pub(super) async fn call(&self, body: Body) -> Result<Answer, Failure> {
        let (sender, receiver) = oneshot::channel();
        if self.requests.send((body, sender)).await.is_err() {
            // The process is stopping, and nothing was proposed.
            return Err(Failure::NoLeader);
        }
        let stopping = |_| Err(Failure::Uncertain("the process is stopping".into()));
        receiver.await.unwrap_or_else(stopping)
    }
}

async fn answer<R>(node: Arc<Node<R>>, mut requests: mpsc::Receiver<QueuedRequest>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let mut stopped = node.stopped.subscribe();
    loop {
        let queued = tokio::select! {
            queued = requests.recv() => queued,
            _ = stopped.wait_for(|stopped| *stopped) => None,
        };
        let Some((body, sender)) = queued else {
            return;
        };
        let node = node.clone();
        tokio::spawn(async move {
            let request = Request {
                node: node.settings.node.clone(),
                incarnation: node.settings.incarnation,
                forwarded: false,
                body,
            };
            let _ = sender.send(node.handle(request).await);
        });
    }
}
