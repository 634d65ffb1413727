//! Processes that hold changes of upstreams, so that what is acknowledged outlasts the process that
//! acknowledges it.

use std::time::Duration;

use config::ids::NodeId;
use config::release;
use link::Connection;
use tokio::task::JoinSet;
use tokio::time::timeout;
use upstream::StreamKey;
use wire::{Body, Delta, Push, Request};

/// Longest wait for confirmations. An upstream turns to another process after one second without
/// an answer.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of upstreams in one message.
const MAX_UPSTREAMS_PER_MESSAGE: usize = 500;

/// Other processes that are asked to hold changes.
#[derive(Debug, Default)]
pub struct Holders {
    /// Processes that confirm that they hold the changes.
    pub confirming: Vec<Connection>,
    /// Processes to which the changes are only sent.
    pub informed: Vec<Connection>,
    /// Confirmations that are needed.
    pub needed: usize,
}

impl Holders {
    /// Selects a majority of `members`, to which `own` may belong. Other processes are informed.
    pub fn majority(members: &[NodeId], own: &NodeId, connections: Vec<Connection>) -> Holders {
        let is_member = |connection: &Connection| members.contains(&connection.hello().node);
        let (confirming, informed) = connections.into_iter().partition(is_member);
        let majority = members.len() / 2 + 1;
        Holders {
            confirming,
            informed,
            needed: majority - usize::from(members.contains(own)),
        }
    }

    /// Sends the changes in requests that `request` makes. Returns whether enough processes confirm
    /// that they hold them, as soon as that is certain.
    pub async fn hold(self, deltas: Vec<Delta>, request: impl Fn(Body) -> Request) -> bool {
        for connection in &self.informed {
            inform(connection, &deltas);
        }
        let mut calls = JoinSet::new();
        for connection in self.confirming {
            let requests = requests(&connection, &deltas);
            let requests: Vec<Request> = requests.into_iter().map(&request).collect();
            calls.spawn(confirm(connection, requests));
        }
        let mut held = 0;
        let count = async {
            while held < self.needed
                && let Some(confirmed) = calls.join_next().await
            {
                held += usize::from(matches!(confirmed, Ok(true)));
            }
        };
        let _ = timeout(CONFIRMATION_TIMEOUT, count).await;
        // Those that are slower get the changes all the same.
        calls.detach_all();
        held >= self.needed
    }
}

/// Sends changes without a confirmation.
pub fn inform(connection: &Connection, deltas: &[Delta]) {
    for part in deltas.chunks(MAX_UPSTREAMS_PER_MESSAGE) {
        connection.push(Push::Upstreams(part.to_vec()));
    }
}

/// Returns the requests whose answers confirm that the other end holds the changes.
fn requests(connection: &Connection, deltas: &[Delta]) -> Vec<Body> {
    if connection.level() >= release::HOLDS {
        let parts = deltas.chunks(MAX_UPSTREAMS_PER_MESSAGE);
        return parts.map(|part| Body::Hold(part.to_vec())).collect();
    }
    // Older releases confirm no changes, but they apply these before they answer a later request.
    inform(connection, deltas);
    vec![Body::FindOrigin(StreamKey::new("", ""))]
}

async fn confirm(connection: Connection, requests: Vec<Request>) -> bool {
    for request in requests {
        if connection
            .call(request, CONFIRMATION_TIMEOUT)
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}
