//! Calls to the cloud that only one process may make at a time: scaling and usage reports.
//!
//! The leader takes over the duties by a command in the replicated log, which gives it a fencing
//! number. It starts once no call of an earlier holder can be in progress, and stops when its lease
//! ends. Usage is committed before it is reported, so that a later holder reports the same counts.

mod scaling;
mod usage;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::ids::ServiceId;
use indexmap::IndexMap;
use placement::autoscaler::Autoscaler;
use state::{Change, Command, Output};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::Node;
use crate::external::{Fence, Protocol};
use crate::orders::{Call, exchange};
use crate::replica::Replica;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the end of a holder's lease until its calls are taken to have ended.
const HOLDER_LEASE_MARGIN: Duration = Duration::from_millis(500);

/// State of the duties in one process.
struct Duties<R> {
    node: Arc<Node<R>>,
    protocol: Arc<dyn Protocol>,
    cloud: SocketAddr,
    /// Term in which the duties were taken over last, and the fence of that take-over.
    fence: Option<(u64, Fence)>,
    /// Autoscalers by service; cleared with each take-over.
    autoscalers: IndexMap<ServiceId, Autoscaler>,
}

/// Runs the duties until the process stops, if a cloud API is set. They are idle unless this
/// process is the leader.
pub(crate) async fn run<R>(node: Arc<Node<R>>, protocol: Arc<dyn Protocol>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let Some(cloud) = node.settings.cloud else {
        return;
    };
    let mut duties = Duties {
        node,
        protocol,
        cloud,
        fence: None,
        autoscalers: IndexMap::new(),
    };
    while !*duties.node.stopped.borrow() {
        sleep(ROUND_INTERVAL).await;
        if let Some((term, fence)) = duties.acquire().await {
            duties.scale(term, &fence).await;
            duties.report_usage(term, &fence).await;
        }
    }
}

impl<R: Replica<Command = Command, Output = Output>> Duties<R> {
    /// Returns the term and the fence under which calls may be made now, after a take-over if
    /// needed.
    async fn acquire(&mut self) -> Option<(u64, Fence)> {
        let term = self.node.order_term()?;
        let (_, since) = self.node.leadership_since()?;
        if since.elapsed() < self.node.settings.usage.lease + HOLDER_LEASE_MARGIN {
            return None;
        }
        match &self.fence {
            Some((fence_term, fence)) if *fence_term == term => return Some((term, fence.clone())),
            _ => {}
        }
        let holder = self.node.settings.node.clone();
        let change = Change::TakeDuties {
            holder: holder.clone(),
        };
        match self.node.commit(change).await {
            Ok(Output::Fence(number)) => {
                info!(
                    order = number,
                    "duties: taken over in term {term} with fencing number {number}"
                );
                self.fence = Some((term, Fence { holder, number }));
                self.autoscalers.clear();
            }
            Ok(output) => warn!("duties: not taken over: unexpected output {output:?}"),
            Err(failure) => warn!("duties: not taken over: {failure:?}"),
        }
        self.fence.clone()
    }

    /// Makes a call unless leadership was lost; returns the status of the response.
    async fn call(&self, term: u64, call: &Call) -> errors::Result<u16> {
        let node = self.node.clone();
        let may_write = move || node.leads() && node.replica.status().term == term;
        let (status, _) = exchange(call, may_write).await?;
        Ok(status.as_u16())
    }
}
