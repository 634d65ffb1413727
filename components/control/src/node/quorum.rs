//! Tells operators when the group has no leader, and which of its members can be reached.

use std::sync::Arc;
use std::time::{Duration, Instant};

use state::{Command, Output};
use tokio::time::sleep;
use tracing::{info, warn};

use super::Node;
use crate::replica::Replica;

/// Time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a leader after which the group is reported; an election takes less.
const REPORT_AFTER: Duration = Duration::from_secs(2);

/// Reports in logs and metrics while no leader is known here.
pub(crate) async fn watch_quorum<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let mut last_led = Instant::now();
    let mut is_reported = false;
    while !*node.stopped.borrow() {
        sleep(POLL_INTERVAL).await;
        let status = node.replica.status();
        let has_leader = node.leads() || status.leader.is_some();
        node.metrics.has_leader.set(i64::from(has_leader));
        let elapsed = last_led.elapsed();
        match has_leader {
            true if is_reported => {
                is_reported = false;
                info!(
                    elapsed_ms = elapsed.as_millis(),
                    "control: the group has a leader again"
                );
            }
            false if !is_reported && elapsed > REPORT_AFTER => {
                is_reported = true;
                let reached = |name: &&config::ids::NodeId| {
                    **name == node.settings.node || node.peers.is_connected(name)
                };
                let reached: Vec<_> = status.voters.iter().filter(reached).collect();
                warn!(
                    elapsed_ms = elapsed.as_millis(),
                    voters = status.voters.join(", "),
                    reached = reached.len(),
                    "control: the group has no leader; {} of {} voters can be reached",
                    reached.len(),
                    status.voters.len()
                );
            }
            _ => {}
        }
        if has_leader {
            last_led = Instant::now();
        }
    }
}
